//! Tests of the origins of streams.

mod default_versions;
mod old_records;
mod stream_records;
