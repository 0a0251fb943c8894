//! The steps of the simulated engine.

use eel_admit::{Event, Finish, RequestKey};
use eel_types::Class;

use super::{Model, Policy, SLOTS, STEP_BASE_US, STEP_PROMPT_US, SimEvent};

impl Model {
    /// Begins a step, unless one is running or there is no stream.
    pub(super) fn begin_step(&mut self) {
        if self.stepping || (self.incoming.is_empty() && self.active.is_empty()) {
            return;
        }
        let running = self.active.iter().chain(&self.incoming);
        let online = running.filter(|key| self.streams[key].class.is_online());
        self.figures.idle_slot_steps += u64::from(SLOTS).saturating_sub(online.count() as u64);
        for key in &self.incoming {
            let stream = &self.streams[key];
            if stream.found_slot {
                let wait_us = self.now_us - stream.arrived_us;
                self.figures
                    .slot_wait_over_step_us
                    .push(wait_us.saturating_sub(self.step_us));
            }
        }
        let prompts = self.incoming.len() as u64;
        self.active.append(&mut self.incoming);
        self.step_us = STEP_BASE_US
            + self.setting.step_stream_us * self.active.len() as u64
            + STEP_PROMPT_US * prompts;
        self.stepping = true;
        self.schedule(self.now_us + self.step_us, SimEvent::StepEnd);
    }

    /// Adds one token to each stream, and ends complete and cancelled streams.
    pub(super) fn end_step(&mut self) {
        self.stepping = false;
        let mut ended = Vec::new();
        for key in &self.active {
            let stream = self.streams.get_mut(key).expect("runs");
            stream.tokens_left -= 1;
            stream.first_token_us.get_or_insert(self.now_us);
            if stream.cancelled || stream.tokens_left == 0 {
                ended.push(*key);
            }
        }
        self.active.retain(|key| !ended.contains(key));
        for key in ended {
            self.end_stream(key);
        }
    }

    fn end_stream(&mut self, key: RequestKey) {
        let stream = self.streams.remove(&key).expect("runs");
        let first_us = stream.first_token_us.expect("the stream has a token");
        let between_us =
            (self.now_us - first_us) / u64::from(stream.tokens - stream.tokens_left).max(2);
        if stream.class.is_online() {
            self.figures
                .first_token_us
                .push(first_us - stream.arrived_us);
            self.figures.between_tokens_us.push(between_us);
        } else if stream.tokens_left == 0 {
            self.figures.items += 1;
            self.figures.kept_tokens += u64::from(stream.tokens);
        } else if self.policy == (Policy::Credits { resumes: true }) {
            self.figures.kept_tokens += u64::from(stream.tokens - stream.tokens_left);
            self.returned[stream.link].push(stream.tokens_left);
        } else {
            self.returned[stream.link].push(stream.tokens);
        }
        let is_fifo = matches!(self.policy, Policy::NoYield | Policy::FixedReserve);
        if is_fifo && stream.class == Class::Batch {
            self.send_item(0);
        }
        self.decide(Event::Finished(Finish {
            key,
            first_byte_ms: Some((first_us - stream.started_us) / 1_000),
            between_tokens_ms: Some(between_us / 1_000),
        }));
    }
}
