//! The target node.

fn main() {}
