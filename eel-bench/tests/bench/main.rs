//! Tests of `eel-bench`.

mod load_generator;
