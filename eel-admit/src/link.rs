//! Links from entry nodes, with their fences and batch credits.

use std::collections::HashMap;

use eel_types::{Incarnation, Name};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Identifies a link from an entry node.
    pub struct LinkKey;
}

/// The introduction of a link by its entry node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkHello {
    /// The VM name of the entry node.
    pub entry: Name,
    /// Identifies the process on that VM.
    pub incarnation: Incarnation,
    /// Counts the links that this process opened to this target.
    pub generation: u64,
    /// Whether requests of links with a lower generation must not start any more.
    pub supersedes: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EntryProcess {
    entry: Name,
    incarnation: Incarnation,
}

#[derive(Debug)]
struct Fence {
    generation: u64,
    open_links: u32,
    closed_at_ms: u64,
}

/// One open link.
#[derive(Debug)]
pub(crate) struct Link {
    process: EntryProcess,
    generation: u64,
    fenced: bool,
    /// Batch items received over the link.
    pub(crate) received: u64,
    pub(crate) credits: u32,
    pub(crate) credits_until_ms: u64,
    pub(crate) requested_at_ms: Option<u64>,
}

/// All open links, and the fences, which are kept after their links close.
#[derive(Debug, Default)]
pub(crate) struct Links {
    open: SlotMap<LinkKey, Link>,
    fences: HashMap<EntryProcess, Fence>,
}

impl Links {
    /// Opens a link and returns its key and the links that it fences.
    pub(crate) fn open(&mut self, hello: LinkHello) -> (LinkKey, Vec<LinkKey>) {
        let process = EntryProcess {
            entry: hello.entry,
            incarnation: hello.incarnation,
        };
        let fence = self.fences.entry(process.clone()).or_insert(Fence {
            generation: 0,
            open_links: 0,
            closed_at_ms: 0,
        });
        fence.open_links += 1;
        if hello.supersedes {
            fence.generation = fence.generation.max(hello.generation);
        }
        let floor = fence.generation;
        let newly_fenced = self.raise_fence(&process, floor);
        let key = self.open.insert(Link {
            process,
            generation: hello.generation,
            fenced: hello.generation < floor,
            received: 0,
            credits: 0,
            credits_until_ms: 0,
            requested_at_ms: None,
        });
        (key, newly_fenced)
    }

    fn raise_fence(&mut self, process: &EntryProcess, floor: u64) -> Vec<LinkKey> {
        let mut newly_fenced = Vec::new();
        for (key, link) in &mut self.open {
            if !link.fenced && link.process == *process && link.generation < floor {
                link.fenced = true;
                link.credits = 0;
                link.requested_at_ms = None;
                newly_fenced.push(key);
            }
        }
        newly_fenced
    }

    /// Closes a link. The fence of its process is kept for `retention_ms` after the last link closed.
    pub(crate) fn close(&mut self, now_ms: u64, key: LinkKey, retention_ms: u64) {
        let Some(link) = self.open.remove(key) else {
            return;
        };
        if let Some(fence) = self.fences.get_mut(&link.process) {
            fence.open_links = fence.open_links.saturating_sub(1);
            fence.closed_at_ms = now_ms;
        }
        self.fences.retain(|_, fence| {
            fence.open_links > 0 || now_ms < fence.closed_at_ms.saturating_add(retention_ms)
        });
    }

    /// Returns the link if it is open and not fenced.
    pub(crate) fn usable(&mut self, key: LinkKey) -> Option<&mut Link> {
        self.open.get_mut(key).filter(|link| !link.fenced)
    }

    /// Returns the link's unexpired credits.
    pub(crate) fn credits(&self, now_ms: u64, key: LinkKey) -> u32 {
        let link = self.open.get(key);
        link.filter(|link| now_ms < link.credits_until_ms)
            .map_or(0, |link| link.credits)
    }

    /// Returns when the link's credits expire; 0 for an unknown link.
    pub(crate) fn credits_until_ms(&self, key: LinkKey) -> u64 {
        self.open.get(key).map_or(0, |link| link.credits_until_ms)
    }
}
