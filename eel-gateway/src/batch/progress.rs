//! The progress of a running item.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use eel_events::{event_data, event_id};
use eel_ledger::{Progress, TextEnd};

/// The progress of a running item, shared by its run and by the task that saves it.
#[derive(Clone, Debug, Default)]
pub struct SharedProgress(Arc<Mutex<Progress>>);

impl SharedProgress {
    pub fn new(progress: Progress) -> Self {
        Self(Arc::new(Mutex::new(progress)))
    }

    pub fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appends the text of an event to the progress, unless the event has no id or was received before.
pub fn append_event(progress: &mut Progress, event: &[u8]) {
    let Some(id) = event_id(event) else {
        return;
    };
    if progress.last_event.is_some_and(|last| id <= last) {
        return;
    }
    for data in event_data(event) {
        if progress.last_event.is_some() || !progress.text.is_empty() {
            progress.text.push('\n');
        }
        progress.text.push_str(&String::from_utf8_lossy(data));
    }
    progress.last_event = Some(id);
    progress.silences = 0;
    progress.unsettled_runs = 0;
    progress.end = TextEnd::Open;
}
