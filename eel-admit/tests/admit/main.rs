//! Tests of the admission state machine.

mod batch_credits;
mod driver;
mod event_sequences;
mod fair_share;
mod fault_cases;
mod late_messages;
mod slot_limits;
