//! The target node: the only path to the target beside it.
