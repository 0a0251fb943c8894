//! Finds requests and parts of prompts that crash the targets which run them, and keeps them from targets.
//!
//! A target that ends as it begins a response may have ended because of the request. One request cannot tell which of its
//! parts it was; several requests with one part in common, each of which ended a target, can. [`Quarantine`] collects the
//! crashes that this node and its peers have seen and blocks the parts that explain them. Nothing here does I/O, and the
//! current time is always an argument.

mod crash;
mod evidence;
mod fingerprint;
mod notice;
mod part;
mod part_set;
mod quarantine;
mod scope;
mod stored;

pub use crash::{Crash, MAX_FIRST_EVENTS, Prompt};
pub use fingerprint::RequestIdentity;
pub use notice::{Notice, NoticeError};
pub use part::Part;
pub use part_set::PartSet;
pub use quarantine::{Check, Quarantine, RecordUpdate};
pub use scope::Scope;
pub use stored::{StoredBlock, TrialEnd};
