//! Tracks open requests.

use std::sync::Arc;

use crate::{metrics::Metrics, routing::Permit};

/// Counts a request as open, and holds its caller's permit, until dropped.
pub(crate) struct OpenRequest {
    metrics: Arc<Metrics>,
    _permit: Permit,
}

impl OpenRequest {
    pub(crate) fn new(metrics: Arc<Metrics>, permit: Permit) -> Self {
        metrics.open_requests.inc();
        Self {
            metrics,
            _permit: permit,
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.metrics.open_requests.dec();
    }
}
