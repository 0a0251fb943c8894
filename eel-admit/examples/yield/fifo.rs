//! A scheduler without priorities, for comparison.

use std::collections::{HashMap, VecDeque};

use eel_admit::{Action, Event, RequestKey};

use crate::model::{SLOTS, Stream};

/// Starts requests first in, first out; batch leaves a fixed number of slots free.
#[derive(Debug, Default)]
pub struct FifoScheduler {
    waiting: VecDeque<RequestKey>,
    running: usize,
}

impl FifoScheduler {
    /// Handles an event, and keeps `reserve` slots free of batch.
    pub fn on_event(
        &mut self,
        event: &Event,
        streams: &HashMap<RequestKey, Stream>,
        reserve: usize,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Arrived(arrival) => self.waiting.push_back(arrival.key),
            Event::Finished(_) => self.running -= 1,
            _ => {}
        }
        while self.running < SLOTS as usize {
            let batch_may = self.running + reserve < SLOTS as usize;
            let Some(index) = self
                .waiting
                .iter()
                .position(|key| batch_may || streams[key].class.is_online())
            else {
                break;
            };
            let key = self.waiting.remove(index).expect("the index is in range");
            self.running += 1;
            actions.push(Action::Start(key));
        }
    }
}
