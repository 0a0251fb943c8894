//! Finds the events in a stream of server-sent events that arrives in pieces of any size.
//!
//! Source: the HTML standard, section 9.2.6, "Interpreting an event stream".

mod buffer;
mod scanner;

pub use buffer::{EventBuffer, EventTooLong};
pub use scanner::{EventScanner, each, lines};
