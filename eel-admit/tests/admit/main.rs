//! Tests of the admission state machine.

mod any_sequence;
mod batch_credits;
mod driver;
mod fair_share;
mod fault_cases;
mod late_messages;
mod slot_limits;
