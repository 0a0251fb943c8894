//! Batch jobs in the key-value service.
//!
//! A job is accepted by one transaction that writes its head and its items. Results are listed in chunks, numbered from
//! 0, and a chunk is written only if its number is free: so a position is given once, whichever node wrote it, and no
//! claim or fence is needed. Every node follows all jobs through its watch and can answer for them.

mod entry;
mod job;
mod key;
mod ledger;
mod owner;
mod partials;
mod saved;
mod submit;
mod worklist;

pub use entry::{Item, JobHead, ListedResult, ResultState};
pub use job::Job;
pub use key::{JobKey, Keys};
pub use ledger::Ledger;
pub use owner::owner_of;
pub use partials::{Partials, Piece, SavedText};
pub use saved::SavedItems;
pub use submit::{MAX_ITEM_BYTES, SubmitError, submission};
pub use worklist::{ItemRef, Progress, RunOutcome, Worklist};
