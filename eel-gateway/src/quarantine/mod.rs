//! Keeps requests that crash targets, or whose prompts do, from targets: detects crashes, tells peers and the store, admits
//! requests.

mod admit;
mod crashes;
mod notices;
mod records;
mod suspects;

pub(crate) use admit::{Admission, Trial, admit, blocks, is_trial_due};
pub(crate) use crashes::{on_completed, on_early_end, on_progress};
pub(crate) use notices::{on_datagram, send_notices};
pub(crate) use records::{
    id_of, keep_records, key_prefix, on_record, on_record_removed, retain_listed,
};
pub(crate) use suspects::Suspects;
