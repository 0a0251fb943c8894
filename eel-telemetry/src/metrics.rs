//! Creates and encodes the metrics registry of a process.

use error_stack::{Report, ResultExt as _};
use prometheus_client::{encoding::text, registry::Registry};

use crate::Error;

/// The media type of the text that [`encode`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Creates a registry that prefixes metric names with `eelgrassgap_`.
#[must_use]
pub fn registry() -> Registry {
    Registry::with_prefix("eelgrassgap")
}

/// Encodes all metrics of `registry` in the `OpenMetrics` text format.
///
/// # Errors
///
/// Returns [`Error::Encode`] if a metric cannot be encoded.
pub fn encode(registry: &Registry) -> Result<String, Report<Error>> {
    let mut text = String::new();
    text::encode(&mut text, registry).change_context(Error::Encode)?;
    Ok(text)
}
