//! What goes into a runner and what comes out.

use std::collections::BTreeSet;

use eel_types::Attempt;
use eel_verdict::Refusal;

use crate::{Done, History, ItemIndex, ItemResult, PartIndex, Response, WindowIndex};

/// The bounds of attempts and the rhythm of commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Failed attempts after which an item is given up.
    pub max_attempts: u32,
    /// Attempts cut off for online requests that don't count as failed.
    pub max_preemptions: u32,
    /// Holders of a chunk that may be lost before its items are given up.
    pub max_lost_holders: u32,
    /// Items that share one durable started mark.
    pub window_items: usize,
    /// The longest time that a result waits for its commit.
    pub checkpoint_ms: u64,
    /// The size of waiting results, before compression, that are committed at once.
    pub part_bytes: usize,
    /// The wait after the first failed attempt; doubles with each further one.
    pub backoff_ms: u64,
    /// The longest wait between two attempts.
    pub max_backoff_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_attempts: 5,
            max_preemptions: 100,
            max_lost_holders: 32,
            window_items: 250,
            checkpoint_ms: 60_000,
            part_bytes: 900_000,
            backoff_ms: 200,
            max_backoff_ms: 30_000,
        }
    }
}

/// A chunk as its new holder finds it in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimedChunk {
    /// The number of items.
    pub items: u32,
    /// Whether an item may run more than once.
    pub repeatable: bool,
    /// Items whose result is committed.
    pub settled: BTreeSet<ItemIndex>,
    /// Items with a durable started mark.
    pub marked: BTreeSet<ItemIndex>,
    /// How many of these ended with an error.
    pub failed: u32,
    /// What earlier holders left behind.
    pub history: History,
    /// The first free part.
    pub next_part: PartIndex,
    /// The first free window.
    pub next_window: WindowIndex,
    /// When the holder must stop, by its own monotonic clock, unless its lease is renewed.
    pub hold_until_ms: u64,
    /// When the job is due, by the same clock.
    pub deadline_ms: u64,
}

/// Why a runner stops sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// The job was cancelled: what runs is aborted, every item ends.
    Cancelled,
    /// The job's deadline passed: what runs is aborted, every item ends.
    Expired,
    /// The process leaves: what runs may finish, the chunk is handed back.
    Leaving,
}

/// What happens to a claimed chunk.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// This many items may be sent now.
    CreditGranted {
        /// The number of items.
        count: u32,
    },
    /// The service answered an item.
    Answered {
        /// The item.
        item: ItemIndex,
        /// Its whole answer.
        response: Response,
    },
    /// An item ended without a whole answer.
    Refused {
        /// The item.
        item: ItemIndex,
        /// Whether it may have run, and why it ended.
        refusal: Refusal,
    },
    /// The mark of the window under way is in the store.
    Marked,
    /// The part under way is in the store.
    Committed,
    /// The lease was renewed.
    LeaseRenewed {
        /// When the holder must stop now.
        hold_until_ms: u64,
    },
    /// The lease lapsed, or a write was refused because another node holds the chunk.
    ClaimLost,
    /// The runner should stop sending.
    Drain(DrainReason),
}

/// Results that are committed together.
#[derive(Clone, Debug)]
pub struct Part {
    /// The part's place.
    pub index: PartIndex,
    /// The results, in the order in which the items ended.
    pub results: Vec<ItemResult>,
    /// Set if every item of the chunk has its result now.
    pub done: Option<Done>,
}

/// What the holder of a chunk has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write the started mark of a window under the claim, then report [`Event::Marked`].
    MarkStarted {
        /// The window.
        window: WindowIndex,
        /// Its items.
        items: Vec<ItemIndex>,
    },
    /// Send an item, then report [`Event::Answered`] or [`Event::Refused`].
    Send {
        /// The item.
        item: ItemIndex,
        /// Counts the sends by this holder, from 1.
        attempt: Attempt,
    },
    /// Write a part under the claim, then report [`Event::Committed`].
    Commit(Part),
    /// Give the claim back, store `history` and remove the chunk's started marks: whatever is marked
    /// and has no result did not run. The runner is over.
    Release {
        /// What the next holder must know.
        history: History,
    },
    /// Cut off every item in flight and report how each ended.
    AbortAll,
}
