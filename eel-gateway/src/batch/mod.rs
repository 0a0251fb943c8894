//! Batch jobs: their submission, the calls about them, and the runs of their items.

mod calls;
mod commit;
mod destinations;
mod ends;
mod item;
mod progress;
mod retire;
mod save;
mod start;
mod submit;
mod texts;
mod trial;
mod worker;

pub(crate) use calls::{end, item_body, results};
pub(crate) use submit::{JobTimes, submit};
pub(crate) use worker::Worker;
