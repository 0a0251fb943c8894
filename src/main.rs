//! The entry node and the command line of operators and callers.

fn main() {}
