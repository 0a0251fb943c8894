//! Records at which version a stream begins, before its caller gets the first event.

use std::time::{Duration, Instant};

use eel_origin::{Origin, StreamId};
use eel_types::Name;
use tokio::time::timeout_at;

use crate::context::Context;

/// How long the first event of a stream is held back until its origin is in the store.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// The origin of a stream is in no store, so that the stream must not reach its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot record the version of the stream")]
pub(crate) struct NotRecorded;

/// Makes sure that every node can tell at which version the stream of the attempt `attempt_id` begins.
///
/// While the store is away, a stream is begun without a record if no target of its service's default version is listed:
/// nodes that take it for a stream of that version refuse to continue it.
///
/// # Errors
///
/// [`NotRecorded`] if the store does not take the record in time.
pub(crate) async fn begin(
    context: &Context,
    attempt_id: &str,
    origin: Origin,
    deadline: Instant,
) -> Result<(), NotRecorded> {
    let service = origin.service.clone();
    if context.origins.default_version(&service).as_ref() == Some(&origin.version) {
        return Ok(());
    }
    context.metrics.recorded_streams.inc();
    let now_ms = context.clock.now_ms();
    let stream = StreamId::of(attempt_id);
    let number = context.origins.journal().add(now_ms, stream, origin);
    context.origins.added.notify_one();
    if context.is_store_failing() && is_default_gone(context, &service) {
        return Ok(());
    }
    let mut stored = context.origins.stored.subscribe();
    let is_stored = stored.wait_for(|stored| *stored >= number);
    let until = deadline.min(Instant::now() + RECORD_TIMEOUT);
    match timeout_at(until.into(), is_stored).await {
        Ok(Ok(_)) => Ok(()),
        _ if is_default_gone(context, &service) => Ok(()),
        _ => Err(NotRecorded),
    }
}

/// Returns the only version at which a new stream of `service` may begin now: the default one while the store takes no
/// records, if a target of it is listed.
pub(crate) fn required_version(context: &Context, service: &str) -> Option<Name> {
    if !context.is_store_failing() {
        return None;
    }
    let version = context.origins.default_version(service)?;
    lists(context, service, &version).then_some(version)
}

/// Returns whether the service has a default version and no target of it is listed.
fn is_default_gone(context: &Context, service: &str) -> bool {
    let version = context.origins.default_version(service);
    version.is_some_and(|version| !lists(context, service, &version))
}

fn lists(context: &Context, service: &str, version: &Name) -> bool {
    context
        .slots
        .read(|it| it.selector().lists_version(service, version, &[]))
}
