//! Crashes and requests.

use eel_quarantine::{Crash, Part, PartSet, Prompt};

pub fn parts(ids: &str) -> Vec<Part> {
    ids.split_whitespace().map(Part::from_id).collect()
}

pub fn set(ids: &str) -> PartSet {
    PartSet::new(parts(ids))
}

pub fn prompt(request: u64, ids: &str) -> Prompt {
    Prompt {
        request,
        parts: parts(ids),
    }
}

pub fn crash(target: u64, request: u64, ids: &str) -> Crash {
    Crash {
        target,
        prompt: prompt(request, ids),
    }
}
