//! The status codes that end a request.

/// Returns whether a response to a request can have this HTTP status.
///
/// One below 200 announces a response, or the change to another protocol, which no request here asks for; one from 600 on is
/// invalid (RFC 9110, section 15).
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}
