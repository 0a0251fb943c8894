//! Input events, output actions and settings of a runner.

use std::collections::BTreeSet;

use eel_types::Attempt;
use eel_verdict::Refusal;

use crate::{Done, History, ItemIndex, ItemResult, PartIndex, Response, WindowIndex};

/// Limits the attempts of items, and sets when results are committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The number of failed attempts after which an item is given up.
    pub max_attempts: u32,
    /// The number of preempted attempts of an item that do not count as failed.
    pub max_preemptions: u32,
    /// The number of lost holders of a chunk above which its items are given up.
    pub max_lost_holders: u32,
    /// The number of items that share one durable started mark.
    pub window_items: usize,
    /// The maximum time between two commits while results are pending.
    pub checkpoint_ms: u64,
    /// The size of pending results, before compression, at which they are committed at once.
    pub part_bytes: usize,
    /// The delay after the first failed attempt; it doubles with each further one.
    pub backoff_ms: u64,
    /// The maximum delay between two attempts.
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

/// The stored state of a chunk when it is claimed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimedChunk {
    /// The number of items in the chunk.
    pub items: u32,
    /// Whether an item may run more than once.
    pub repeatable: bool,
    /// Items with a committed result.
    pub settled: BTreeSet<ItemIndex>,
    /// Items with a durable started mark.
    pub marked: BTreeSet<ItemIndex>,
    /// The number of items in `settled` that ended with an error.
    pub failed: u32,
    /// The history of earlier holders.
    pub history: History,
    /// The index of the next results part.
    pub next_part: PartIndex,
    /// The index of the next window of started marks.
    pub next_window: WindowIndex,
    /// When the holder must stop unless its lease is renewed, on the holder's monotonic clock.
    pub hold_until_ms: u64,
    /// The deadline of the job, on the same clock.
    pub deadline_ms: u64,
}

/// The reason why a runner stops sending items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// The job was cancelled. Running items are aborted, and every item gets its result.
    Cancelled,
    /// The deadline of the job passed. Running items are aborted, and every item gets its result.
    Expired,
    /// The process is shutting down. Running items may finish, and the claim is released.
    Leaving,
}

/// An input of a runner.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed: deadlines, delays and commits that are due are handled.
    Tick,
    /// Items may be sent now.
    CreditGranted {
        /// The maximum number of items to send.
        count: u32,
    },
    /// The service returned a complete response for an item.
    Answered {
        /// The index of the item.
        item: ItemIndex,
        /// The complete response.
        response: Response,
    },
    /// An attempt ended without a complete response.
    Refused {
        /// The index of the item.
        item: ItemIndex,
        /// Whether the attempt may have run, and why it ended.
        refusal: Refusal,
    },
    /// The mark of the last [`Action::MarkStarted`] is stored.
    Marked,
    /// The part of the last [`Action::Commit`] is stored.
    Committed,
    /// The lease was renewed.
    LeaseRenewed {
        /// When the holder must stop unless the lease is renewed again.
        hold_until_ms: u64,
    },
    /// The lease expired, or a write was refused because another node holds the chunk.
    ClaimLost,
    /// The runner must stop sending items.
    Drain(DrainReason),
}

/// Results that are committed in one transaction.
#[derive(Clone, Debug)]
pub struct Part {
    /// The index of the part in its chunk.
    pub index: PartIndex,
    /// The results, in the order in which the items ended.
    pub results: Vec<ItemResult>,
    /// The done mark; `Some` if every item of the chunk has its result with this part.
    pub done: Option<Done>,
}

/// An output of a runner, which the holder of the chunk carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write the started mark of a window under the claim, then report [`Event::Marked`].
    MarkStarted {
        /// The index of the window.
        window: WindowIndex,
        /// The items of the window.
        items: Vec<ItemIndex>,
    },
    /// Send an item, then report [`Event::Answered`] or [`Event::Refused`].
    Send {
        /// The index of the item.
        item: ItemIndex,
        /// The number of the attempt by this holder, from 1.
        attempt: Attempt,
    },
    /// Write a part under the claim, then report [`Event::Committed`].
    Commit(Part),
    /// Release the claim, store `history` and remove the started marks of the chunk: an item that is marked and has no
    /// result did not run. This is the last action of the runner.
    Release {
        /// The history for the next holder.
        history: History,
    },
    /// Cancel every item in flight and report how each ended.
    AbortAll,
}
