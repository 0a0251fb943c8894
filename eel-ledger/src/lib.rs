//! Stores batch jobs in the key-value service and tracks their items and results.
//!
//! One transaction accepts a job by writing its head and items. Results are listed in chunks, numbered from 0, and a
//! chunk is written only if its number is unused. Each position is therefore assigned once, whichever node writes it,
//! and no claim or fence is needed. Every node watches all jobs and can respond to requests about them.

mod entry;
mod failures;
mod item_queues;
mod job;
mod key;
mod ledger;
mod owner;
mod partials;
mod saved;
mod submit;
mod texts;
mod worklist;

pub use entry::{Item, JobHead, ListedResult, ResultState};
pub use failures::{Claim, Doubts, cause_to_end};
pub use item_queues::ItemQueues;
pub use job::Job;
pub use key::{JobKey, Keys};
pub use ledger::{Ledger, ReadMark};
pub use owner::owner_of;
pub use partials::{Partials, Piece, SavedText};
pub use saved::SavedItems;
pub use submit::{MAX_ITEMS_BYTES, SubmitError, submission};
pub use texts::largest_beyond;
pub use worklist::{
    ErrorCause, ItemRef, MAX_TEXT_BYTES, MAX_UNSETTLED_RUNS, Progress, RunOutcome, TextEnd,
    Worklist,
};
