//! The interface to the platform's list of VMs, and its HTTP client.

use std::{
    future::Future,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use eel_types::ListedVm;
use error_stack::{Report, ResultExt as _};
use reqwest::{
    StatusCode,
    header::{ETAG, HeaderValue, IF_NONE_MATCH},
};
use serde::Deserialize;

use crate::read_body;

/// The size from which a list counts as broken.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Reasons why the VM list cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VmListError {
    /// The service did not respond, or responded with an error status.
    #[error("the VM list is unavailable")]
    Unavailable,
    /// The response is not a valid VM list.
    #[error("the VM list is malformed")]
    Malformed,
}

/// The platform's list of live and leaving VMs; it may be out of date.
pub trait VmList: Send + Sync + 'static {
    /// Reads the current list.
    ///
    /// # Errors
    /// Returns an error if the list is unavailable or malformed.
    fn read(&self) -> impl Future<Output = Result<Vec<ListedVm>, Report<VmListError>>> + Send;
}

/// Reads the VM list over HTTP as `{"vms":[{"name", "address", "data_centre", "pool", "state"}]}`.
///
/// If the service sends an `ETag`, an unchanged list is not transferred again (`If-None-Match`, RFC 9110, section
/// 13.1.2).
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: reqwest::Client,
    url: String,
    cached: Arc<Mutex<Option<CachedList>>>,
}

/// The last list that was read and its `ETag`.
#[derive(Clone, Debug)]
struct CachedList {
    etag: HeaderValue,
    vms: Vec<ListedVm>,
}

#[derive(Deserialize)]
struct Body {
    vms: Vec<ListedVm>,
}

impl HttpVmList {
    /// Creates a client for the list at `url` with a timeout of `timeout_ms` for each read.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(url: impl Into<String>, timeout_ms: u64) -> Result<Self, Report<VmListError>> {
        let client = reqwest::Client::builder()
            .timeout(Duration::from_millis(timeout_ms))
            .pool_max_idle_per_host(0) // an idle connection may be dead
            .no_proxy()
            .build()
            .change_context(VmListError::Unavailable)?;
        Ok(Self {
            client,
            url: url.into(),
            cached: Arc::default(),
        })
    }

    fn cached(&self) -> Option<CachedList> {
        let cached = self.cached.lock();
        cached.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn cache(&self, etag: Option<HeaderValue>, vms: &[ListedVm]) {
        let cached_list = etag.map(|etag| CachedList {
            etag,
            vms: vms.to_vec(),
        });
        let cached = self.cached.lock();
        *cached.unwrap_or_else(PoisonError::into_inner) = cached_list;
    }
}

impl VmList for HttpVmList {
    async fn read(&self) -> Result<Vec<ListedVm>, Report<VmListError>> {
        let cached = self.cached();
        let mut request = self.client.get(&self.url);
        if let Some(cached) = &cached {
            request = request.header(IF_NONE_MATCH, cached.etag.clone());
        }
        let response = request
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .change_context(VmListError::Unavailable)?;
        if response.status() == StatusCode::NOT_MODIFIED {
            let cached = cached.ok_or_else(|| Report::new(VmListError::Malformed))?;
            return Ok(cached.vms);
        }
        if response.status() != StatusCode::OK {
            return Err(Report::new(VmListError::Unavailable));
        }
        let etag = response.headers().get(ETAG).cloned();
        let path = response.url().path().to_owned();
        let body = read_body(&path, reqwest::Body::from(response), MAX_LIST_BYTES)
            .await
            .change_context(VmListError::Unavailable)?;
        let body: Body = serde_json::from_slice(&body).change_context(VmListError::Malformed)?;
        self.cache(etag, &body.vms);
        Ok(body.vms)
    }
}
