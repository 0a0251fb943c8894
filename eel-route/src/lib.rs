//! Decisions of an entry node: target choice, retries, breakers, caller limits.
