//! Writes started marks and commits results.

use super::{Action, Done, Part, PartIndex, Phase, Runner, WindowIndex};

impl Runner {
    /// Issues every mark, commit and release that is due.
    pub(super) fn advance(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.check_deadline(now_ms, actions);
        match self.phase {
            Phase::Running => self.mark_ahead(actions),
            Phase::Draining(drain) => self.drain(drain),
            Phase::Finished | Phase::Lost => return,
        }
        self.commit_due(now_ms, actions);
        self.release_drained(actions);
    }

    /// Marks the next window before the ready items run out.
    fn mark_ahead(&mut self, actions: &mut Vec<Action>) {
        let low = self.ready.len() < self.policy.window_items / 2;
        if self.marking.is_some() || self.unmarked.is_empty() || !low {
            return;
        }
        let count = self.unmarked.len().min(self.policy.window_items.max(1));
        let items: Vec<_> = self.unmarked.drain(..count).collect();
        let window = self.next_window;
        self.next_window = WindowIndex(window.0 + 1);
        self.marking = Some(items.clone());
        actions.push(Action::MarkStarted { window, items });
    }

    pub(super) fn marked(&mut self) {
        if let Some(items) = self.marking.take() {
            self.ready.extend(items);
        }
    }

    fn commit_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.committing.is_some() || self.marking.is_some() {
            return;
        }
        let is_ended = self.is_ended();
        let waited_ms = now_ms.saturating_sub(self.last_commit_ms);
        let due = is_ended
            || self.pending_bytes >= self.policy.part_bytes
            || waited_ms >= self.policy.checkpoint_ms
            || self.is_drained();
        if !due || (self.pending.is_empty() && !is_ended) {
            return;
        }
        let results = self.take_part();
        let done = (is_ended && self.pending.is_empty()).then_some(Done {
            failed: self.failed,
        });
        let index = self.next_part;
        self.next_part = PartIndex(index.0 + 1);
        self.committing = Some(done.is_some());
        actions.push(Action::Commit(Part {
            index,
            results,
            done,
        }));
    }

    /// Takes the oldest pending results, up to the size of a part and at least one.
    fn take_part(&mut self) -> Vec<super::ItemResult> {
        let mut results = Vec::new();
        let mut bytes = 0;
        while let Some(result) = self.pending.front() {
            let size = result.size_bytes();
            if !results.is_empty() && bytes + size > self.policy.part_bytes {
                break;
            }
            bytes += size;
            results.extend(self.pending.pop_front());
        }
        self.pending_bytes -= bytes;
        results
    }

    pub(super) fn committed(&mut self, now_ms: u64) {
        self.last_commit_ms = now_ms;
        if self.committing.take() == Some(true) {
            self.phase = Phase::Finished;
        }
    }
}
