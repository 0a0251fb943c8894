//! Tests of gateway nodes, with stand-ins for the platform's store and for targets.

mod attempt_faults;
mod batch_job;
mod batch_store_faults;
mod batch_takeover;
mod body_ends;
mod endless_bytes;
mod fatal_part;
mod fixture;
mod gone_targets;
mod graceful_stop;
mod item_versions;
mod leaving_caller;
mod leaving_target;
mod lost_entry;
mod named_limit;
mod odd_entries;
mod refused_requests;
mod repeated_refusal;
mod repeated_request;
mod resumed_stream;
mod silent_target;
mod stale_watch;
mod start_up;
mod stream_versions;
mod target_lifecycle;
mod unread_request;
