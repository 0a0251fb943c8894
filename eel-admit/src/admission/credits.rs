//! Batch credits: permits for idle slots, granted to entry nodes for a short time.

use super::{Admission, count};
use crate::{Action, LinkKey};

/// How long an entry node's request for credits stands, in multiples of the credits' validity.
const REQUEST_VALIDITIES: u64 = 4;

impl Admission {
    pub(super) fn request_credits(&mut self, now_ms: u64, link: LinkKey) {
        let Some(open) = self.links.usable(link) else {
            return;
        };
        open.requested_at_ms = Some(now_ms);
        if !self.credit_requesters.contains(&link) {
            self.credit_requesters.push_back(link);
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
            self.request_credits(now_ms, link);
        }
        has_credit
    }

    /// Returns how many more batch items may arrive, either to start at once or to be queued.
    pub(super) fn batch_room(&self, now_ms: u64) -> u32 {
        if self.draining || self.queued_online() > 0 {
            return 0;
        }
        let room = self.free_batch_slots(now_ms) + self.batch_lookahead();
        room.saturating_sub(count(self.batch.len()))
    }

    /// Returns how many batch items may be queued: half of those expected to end while a credit is valid.
    fn batch_lookahead(&self) -> u32 {
        let slot_ms = self.batch_slot_time.serve_ms(1, 1);
        if slot_ms == 0 || self.running_batch.is_empty() {
            return 0;
        }
        let running = u64::from(count(self.running_batch.len()));
        let ending = self.options.credit_valid_ms * running / slot_ms / 2;
        u32::try_from(ending)
            .unwrap_or(u32::MAX)
            .min(self.options.batch_queue)
    }

    /// Revokes credits for slots that online requests need, and grants credits for idle slots.
    pub(super) fn rebalance_credits(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.credit_holders.is_empty() && self.credit_requesters.is_empty() {
            return;
        }
        let links = &self.links;
        self.credit_holders
            .retain(|holder| links.credits(now_ms, *holder) > 0);
        let room = self.batch_room(now_ms);
        let granted = self.revoke_credits(now_ms, room, actions);
        self.grant_idle(now_ms, room - granted, actions);
    }

    /// Revokes credits until at most `room` are granted, and returns how many remain granted.
    fn revoke_credits(&mut self, now_ms: u64, room: u32, actions: &mut Vec<Action>) -> u32 {
        let mut granted: u32 = 0;
        for holder in self.credit_holders.clone() {
            let credits = self.links.credits(now_ms, holder);
            let kept = credits.min(room - granted);
            granted += kept;
            if kept < credits {
                self.grant(now_ms, holder, kept, actions);
                if !self.credit_requesters.contains(&holder) {
                    self.credit_requesters.push_back(holder);
                }
            }
        }
        granted
    }

    /// Grants `idle` credits in equal shares to the entry nodes that requested some.
    fn grant_idle(&mut self, now_ms: u64, mut idle: u32, actions: &mut Vec<Action>) {
        let oldest_request_ms =
            now_ms.saturating_sub(self.options.credit_valid_ms * REQUEST_VALIDITIES);
        while idle > 0
            && let Some(requester) = self.credit_requesters.pop_front()
        {
            let requesters = count(self.credit_requesters.len()) + 1;
            let held = self.links.credits(now_ms, requester);
            let requested_at_ms = self
                .links
                .usable(requester)
                .and_then(|link| link.requested_at_ms);
            if requested_at_ms.is_none_or(|requested_at_ms| requested_at_ms < oldest_request_ms) {
                continue;
            }
            let share = idle.div_ceil(requesters);
            idle -= share;
            self.grant(now_ms, requester, held + share, actions);
            if !self.credit_holders.contains(&requester) {
                self.credit_holders.push(requester);
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
