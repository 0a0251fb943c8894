//! Finds the events in a stream of server-sent events that arrives in pieces of any size.
//!
//! Source: the HTML standard, section 9.2.6, "Interpreting an event stream".

mod buffer;
mod continuation;
mod event;
mod scanner;

pub use buffer::{EventBuffer, InvalidEvents};
pub use continuation::Repeats;
pub use event::{each, event_data, event_id, is_event_stream};
pub use scanner::EventScanner;
