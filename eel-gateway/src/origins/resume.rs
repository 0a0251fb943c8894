//! Finds out at which version a stream began that a caller asks to continue.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use eel_origin::{Found, OriginKey, OriginRecord, Origins, StreamId};
use eel_store::{KeyValue as _, RangeRequest, StoreResult};
use eel_types::Name;
use eel_verdict::{Reason, Refusal};
use tokio::time::timeout;

use super::{defaults::apply_default, retention_ms};
use crate::{context::Context, metrics::ResumedLabel};

/// How long a caller waits until the records are read.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// When a caller should come back whose stream's version cannot be read now, in ms.
const RETRY_AFTER_MS: u64 = 500;

/// Returns the version at which the stream began whose first event the attempt `resumes` brought; `None` if the caller
/// does not name the attempt.
///
/// The records are read after the caller has asked, so that they hold all streams of which it can have events.
///
/// # Errors
///
/// The refusal to send to the caller if the version is not known.
pub(crate) async fn version_of(
    context: &Context,
    service: &Name,
    resumes: Option<&str>,
) -> Result<Name, Refusal> {
    let stream = resumes.map(StreamId::of);
    let own = stream.map(|it| context.origins.journal().find(it));
    if let Some(Found::Recorded(origin)) = own
        && origin.service == *service
    {
        return Ok(known(context, "own", origin.version));
    }
    let Ok(Ok(origins)) = timeout(READ_TIMEOUT, read(context)).await else {
        count(context, "unreadable");
        return Err(Refusal::not_run(Reason::StoreUnavailable).retry_after(RETRY_AFTER_MS));
    };
    let default = || context.origins.default_version(service);
    let (source, version) = match stream.map(|it| origins.find(it)) {
        Some(Found::Recorded(origin)) => (
            "record",
            Some(origin.version).filter(|_| origin.service == *service),
        ),
        Some(Found::NotRecorded) => ("default", default()),
        Some(Found::Ambiguous) => ("ambiguous", None),
        // Without a name, all streams must have begun at one version.
        None => (
            "unnamed",
            default().filter(|version| !origins.has_other_than(service, version)),
        ),
    };
    let Some(version) = version else {
        count(context, "unknown");
        return Err(Refusal::not_run(Reason::NoTarget));
    };
    Ok(known(context, source, version))
}

fn known(context: &Context, source: &'static str, version: Name) -> Name {
    count(context, source);
    version
}

fn count(context: &Context, source: &'static str) {
    let counts = &context.metrics.resumed_streams;
    counts.get_or_create(&ResumedLabel { source }).inc();
}

/// Reads all records; callers that wait at the same time share a read that started after the last of them had asked.
async fn read(context: &Context) -> StoreResult<Arc<Origins>> {
    let asked = Instant::now();
    let mut last = context.origins.last_read.lock().await;
    if let Some((started, origins)) = &*last
        && *started >= asked
    {
        return Ok(origins.clone());
    }
    let started = Instant::now();
    let request = RangeRequest::prefix(context.origins.keys.all());
    let outcome = context.store.range(&request).await.inspect_err(|error| {
        context.on_store_failure("read the origins of streams", error.current_context());
    })?;
    context.on_store_response();
    let mut origins = Origins::default();
    let (now_ms, ttl_ms) = (context.clock.now_ms(), retention_ms(context));
    let mut leftovers = context.origins.leftovers();
    let keys = outcome.kvs.iter().map(|pair| pair.key.as_str());
    let is_streams = |key: &&str| context.origins.keys.parse(key) == Some(OriginKey::Streams);
    leftovers.on_read(now_ms, keys.filter(is_streams));
    for pair in &outcome.kvs {
        match context.origins.keys.parse(&pair.key) {
            Some(OriginKey::Default) => apply_default(context, pair),
            Some(OriginKey::Streams) if leftovers.contains(now_ms, ttl_ms, &pair.key) => {}
            Some(OriginKey::Streams) => match OriginRecord::decode(&pair.value) {
                Some(record) => origins.add(record),
                None => {
                    log::warn!(target: "origins", key = pair.key.as_str(); "Cannot decode the origins of streams.");
                }
            },
            None => {}
        }
    }
    drop(leftovers);
    let origins = Arc::new(origins);
    *last = Some((started, origins.clone()));
    Ok(origins)
}
