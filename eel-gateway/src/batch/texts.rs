//! Bounds the memory that the texts of unfinished items take, and removes what was saved of dropped ones.

use std::sync::atomic::Ordering;

use eel_ledger::{ItemRef, largest_beyond};

use super::{
    save::MAX_REMOVALS,
    worker::{RunKey, State, Worker},
};

/// The text of an item that is not finished.
enum HeldText {
    Running(RunKey),
    Waiting(ItemRef),
}

impl Worker {
    /// Drops the largest texts of unfinished items if all of them take too much memory.
    pub(super) fn bound_texts(&self) {
        let max_bytes = self.context.max_text_bytes;
        if self.context.text_bytes.load(Ordering::Relaxed) <= max_bytes {
            return;
        }
        let mut state = self.lock();
        let State { worklist, runs, .. } = &mut *state;
        let running = runs.iter().filter(|(_, run)| !run.cancel.is_cancelled());
        let running =
            running.map(|(key, run)| (HeldText::Running(key), run.progress.lock().text.len()));
        let waiting = worklist
            .interrupted()
            .map(|(item, progress)| (HeldText::Waiting(item.clone()), progress.text.len()));
        let texts: Vec<_> = running.chain(waiting).collect();
        let held_bytes = texts.iter().map(|(_, bytes)| bytes).sum();
        self.context.text_bytes.store(held_bytes, Ordering::Relaxed);
        let dropped = largest_beyond(texts, max_bytes);
        if !dropped.is_empty() {
            log::warn!(
                target: "jobs", held_bytes, max_bytes, items = dropped.len();
                "The texts of unfinished items take too much memory; the largest are dropped, and their items run again."
            );
        }
        for text in dropped {
            match text {
                HeldText::Running(key) => {
                    if let Some(run) = state.runs.get_mut(key) {
                        run.is_discarded = true;
                        run.cancel.cancel();
                    }
                }
                HeldText::Waiting(item) => {
                    state.worklist.discard(&item);
                    self.drop_saved(&mut state, &item);
                }
            }
        }
    }

    /// Lets no node continue what was saved of the text of `item`, which was dropped.
    pub(super) fn drop_saved(&self, state: &mut State, item: &ItemRef) {
        state.saved.begin(item, None, rand::random());
        let partials = self.context.partials();
        state.dropped_keys.extend(partials.keys_of(item).cloned());
    }

    /// Returns the keys of dropped texts that are to be removed next. What they have of other items is saved once more.
    pub(super) fn begin_removal(&self) -> Vec<String> {
        let mut state = self.lock();
        let keys: Vec<String> = state
            .dropped_keys
            .iter()
            .take(MAX_REMOVALS)
            .cloned()
            .collect();
        let partials = self.context.partials();
        for item in keys.iter().flat_map(|key| partials.items_of(key)) {
            if state.saved.contains(item) {
                state.saved.begin(item, None, rand::random());
            }
        }
        keys
    }
}
