//! Tests of `eel-route`.

mod attempt_end;
mod breaker_state;
mod caller_limits;
mod event_sequences;
mod target_choice;
