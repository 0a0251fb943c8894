//! Tests that run the two binaries as processes. The stand-ins run inside the test process.

mod batch_jobs;
mod body_ends;
mod command_line;
mod crossed_answers;
mod declared_intent;
mod early_answers;
mod endless_bytes;
mod engine_faults;
mod fleet;
mod frozen_target;
mod graceful_stop;
mod ignored_hangup;
mod job_commands;
mod killed_target;
mod leaving_target;
mod outcome;
mod paused_target;
#[cfg(feature = "quickstart")]
mod quickstart;
mod repeated_answer;
mod resent_request;
mod silent_link;
mod store_outage;
mod unread_reply;
mod whole_path;
