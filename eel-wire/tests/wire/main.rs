//! Integration tests of `eel-wire`.

mod foreign_nodes;
mod frame_limits;
