//! The metrics registry of a process.

use error_stack::{Report, ResultExt as _};
use prometheus_client::{encoding::text, registry::Registry};

use crate::Error;

/// The media type of [`encode`]'s text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Creates a registry whose metrics start with `eelgrassgap_`.
#[must_use]
pub fn registry() -> Registry {
    Registry::with_prefix("eelgrassgap")
}

/// Encodes every metric of `registry` in the `OpenMetrics` text format.
///
/// # Errors
///
/// [`Error::Encode`] if a metric cannot be written.
pub fn encode(registry: &Registry) -> Result<String, Report<Error>> {
    let mut text = String::new();
    text::encode(&mut text, registry).change_context(Error::Encode)?;
    Ok(text)
}
