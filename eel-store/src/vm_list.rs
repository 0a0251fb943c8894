//! The edge to the platform's list of VMs.

use std::{future::Future, time::Duration};

use eel_types::ListedVm;
use error_stack::{Report, ResultExt as _};
use serde::Deserialize;

/// The VM list could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VmListError {
    /// The service gave no answer.
    #[error("the VM list is unavailable")]
    Unavailable,
    /// The answer was not a VM list.
    #[error("the VM list is malformed")]
    Malformed,
}

/// A list of live and leaving VMs that lags behind the truth.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list.
    ///
    /// # Errors
    /// If the list is unavailable or malformed.
    fn read(&self) -> impl Future<Output = Result<Vec<ListedVm>, Report<VmListError>>> + Send;
}

/// Reads the VM list over HTTP as `{"vms":[{"name", "address", "data_centre", "pool", "state"}]}`.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: reqwest::Client,
    url: String,
}

#[derive(Deserialize)]
struct Body {
    vms: Vec<ListedVm>,
}

impl HttpVmList {
    /// Creates a client for the list at `url`. Each read takes at most `timeout_ms`.
    ///
    /// # Errors
    /// If the HTTP client cannot be built.
    pub fn new(url: impl Into<String>, timeout_ms: u64) -> Result<Self, Report<VmListError>> {
        let client = reqwest::Client::builder()
            .timeout(Duration::from_millis(timeout_ms))
            .pool_max_idle_per_host(0) // an idle connection may have gone silent
            .no_proxy()
            .build()
            .change_context(VmListError::Unavailable)?;
        Ok(Self {
            client,
            url: url.into(),
        })
    }
}

impl VmList for HttpVmList {
    async fn read(&self) -> Result<Vec<ListedVm>, Report<VmListError>> {
        let response = self
            .client
            .get(&self.url)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .change_context(VmListError::Unavailable)?;
        let body = response
            .bytes()
            .await
            .change_context(VmListError::Unavailable)?;
        let body: Body = serde_json::from_slice(&body).change_context(VmListError::Malformed)?;
        Ok(body.vms)
    }
}
