//! Tests of the two binaries as processes of their own, with the stand-ins in the test's process.

mod batch_jobs;
mod declared_intent;
mod fleet;
mod leaving_target;
mod whole_path;
