//! Batch jobs: chunks, claims, item attempts, deadline order and job admission.
//!
//! A job is a list of items. Its inputs and results are stored in the key-value service as compressed chunks. Any entry
//! node claims a chunk under its lease, runs the items and commits their results under the epoch of the claim. The
//! decisions are free of I/O: [`Runner`] runs one claimed chunk, [`LiveJobs`] chooses the next chunk to claim, and
//! [`admission`] accepts or refuses a job. [`store`] contains the operations on the key-value service.

pub mod admission;
pub mod chunk;
mod head;
mod item;
mod key;
mod live_jobs;
mod meter;
mod plan;
mod progress;
mod rendezvous;
mod runner;
pub mod store;
mod urgency;

pub use head::{Archive, Claim, Done, Head, History};
pub use item::{Item, ItemError, ItemResult, Method, Outcome, Response};
pub use key::{ChunkIndex, ItemIndex, JobId, Keys, PartIndex, StateKey, WindowIndex};
pub use live_jobs::{Change, LiveJobs, OpenChunk};
pub use meter::RateMeter;
pub use plan::{JobLimits, JobPlan, JobTerms, PlanError};
pub use progress::{Assembler, JobState, Progress};
pub use runner::{Action, ClaimedChunk, DrainReason, Event, Part, Policy, Runner};
pub use urgency::Urgency;
