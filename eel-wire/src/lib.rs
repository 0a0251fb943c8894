//! Messages between entry and target nodes, their codec and the QUIC links that carry them.
