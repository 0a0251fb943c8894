//! Batch credits: idle slots lent to entry nodes for a short time.

use super::{Admission, count};
use crate::{Action, LinkKey};

/// How long an entry node that has asked is taken to want credits, in multiples of their validity.
const ASK_VALIDITIES: u64 = 4;

impl Admission {
    pub(super) fn ask_credits(&mut self, now_ms: u64, link: LinkKey) {
        let Some(open) = self.links.usable(link) else {
            return;
        };
        open.asked_at_ms = Some(now_ms);
        if !self.credit_seekers.contains(&link) {
            self.credit_seekers.push_back(link);
        }
    }

    /// Uses one credit of `link`, if it has a valid one.
    pub(super) fn use_credit(&mut self, now_ms: u64, link: LinkKey) -> bool {
        let has_credit = self.links.credits(now_ms, link) > 0;
        let Some(open) = self.links.usable(link) else {
            return false;
        };
        open.received += 1;
        open.credits -= u32::from(has_credit);
        if open.credits == 0 {
            self.ask_credits(now_ms, link);
        }
        has_credit
    }

    /// Returns how many more batch items may come, whether they start at once or wait a moment.
    pub(super) fn batch_room(&self, now_ms: u64) -> u32 {
        if self.draining || self.queued_online() > 0 {
            return 0;
        }
        let room = self.free_batch_slots(now_ms) + self.batch_lookahead();
        room.saturating_sub(count(self.batch.len()))
    }

    /// Returns how many batch items may wait: half of those that end while a credit is valid.
    fn batch_lookahead(&self) -> u32 {
        let hold_ms = self.batch_hold.serve_ms(1, 1);
        if hold_ms == 0 || self.running_batch.is_empty() {
            return 0;
        }
        let running = u64::from(count(self.running_batch.len()));
        let ending = self.options.credit_valid_ms * running / hold_ms / 2;
        u32::try_from(ending)
            .unwrap_or(u32::MAX)
            .min(self.options.batch_queue)
    }

    /// Takes back what online requests need, and lends out what is idle.
    pub(super) fn share_credits(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.credit_holders.is_empty() && self.credit_seekers.is_empty() {
            return;
        }
        let links = &self.links;
        self.credit_holders
            .retain(|holder| links.credits(now_ms, *holder) > 0);
        let room = self.batch_room(now_ms);
        let lent = self.take_back(now_ms, room, actions);
        self.lend(now_ms, room - lent, actions);
    }

    /// Takes credits back until no more than `room` are lent, and returns how many are.
    fn take_back(&mut self, now_ms: u64, room: u32, actions: &mut Vec<Action>) -> u32 {
        let mut lent: u32 = 0;
        for holder in self.credit_holders.clone() {
            let credits = self.links.credits(now_ms, holder);
            let kept = credits.min(room - lent);
            lent += kept;
            if kept < credits {
                self.grant(now_ms, holder, kept, actions);
                if !self.credit_seekers.contains(&holder) {
                    self.credit_seekers.push_back(holder);
                }
            }
        }
        lent
    }

    /// Lends `idle` credits in equal shares to the entry nodes that have asked.
    fn lend(&mut self, now_ms: u64, mut idle: u32, actions: &mut Vec<Action>) {
        let oldest_ask_ms = now_ms.saturating_sub(self.options.credit_valid_ms * ASK_VALIDITIES);
        while idle > 0
            && let Some(seeker) = self.credit_seekers.pop_front()
        {
            let seekers = count(self.credit_seekers.len()) + 1;
            let held = self.links.credits(now_ms, seeker);
            let asked_at_ms = self.links.usable(seeker).and_then(|link| link.asked_at_ms);
            if asked_at_ms.is_none_or(|asked_at_ms| asked_at_ms < oldest_ask_ms) {
                continue;
            }
            let share = idle.div_ceil(seekers);
            idle -= share;
            self.grant(now_ms, seeker, held + share, actions);
            if !self.credit_holders.contains(&seeker) {
                self.credit_holders.push(seeker);
            }
        }
    }

    fn grant(&mut self, now_ms: u64, link: LinkKey, credits: u32, actions: &mut Vec<Action>) {
        let valid_ms = self.options.credit_valid_ms;
        if let Some(open) = self.links.usable(link) {
            open.credits = credits;
            open.credits_until_ms = now_ms.saturating_add(valid_ms);
            actions.push(Action::Grant {
                link,
                received: open.received,
                credits,
                valid_ms,
            });
        }
    }
}
