//! Tracks how much of its items' texts a node has saved, so that only new text is written.

use std::collections::HashMap;

use crate::{ItemRef, Job, Ledger, Piece, Progress, SavedText, worklist::MAX_TEXT_BYTES};

/// The maximum size of the text in one value of the store, which holds 1 MiB.
const MAX_PIECES_BYTES: usize = 512 * 1024;

#[derive(Clone, Copy, Debug)]
struct Saved {
    lineage: u64,
    continues: Option<u64>,
    event: Option<u64>,
    text_bytes: usize,
}

/// The saved part of each item's text.
#[derive(Debug, Default)]
pub struct SavedItems {
    items: HashMap<ItemRef, Saved>,
    last_ms: u64,
}

impl SavedItems {
    /// Returns whether this node saves the text of the item.
    #[must_use]
    pub fn contains(&self, item: &ItemRef) -> bool {
        self.items.contains_key(item)
    }

    /// Starts a lineage for an item, at the start of its text or after `earlier`.
    ///
    /// `lineage` is a new random number.
    pub fn begin(&mut self, item: &ItemRef, earlier: Option<&SavedText>, lineage: u64) {
        let saved = Saved {
            lineage,
            continues: earlier.map(|earlier| earlier.lineage),
            event: earlier.and_then(|earlier| earlier.progress.last_event),
            text_bytes: earlier.map_or(0, |earlier| earlier.progress.text.len()),
        };
        self.items.insert(item.clone(), saved);
    }

    /// Returns the text of `items` that is not saved yet, as pieces for one value of the store.
    ///
    /// Returns none within `interval_ms` after the last call that looked for pieces, even if that call found none.
    pub fn pieces(
        &mut self,
        now_ms: u64,
        interval_ms: u64,
        items: impl Iterator<Item = (ItemRef, Progress)>,
    ) -> Vec<Piece> {
        if now_ms < self.last_ms + interval_ms {
            return Vec::new();
        }
        self.last_ms = now_ms;
        let mut bytes = 0;
        let pieces = items.filter_map(|(item, progress)| self.piece(item, &progress));
        pieces
            .filter(|piece| {
                let added = piece.text.len();
                let fits =
                    bytes + added <= MAX_PIECES_BYTES || (bytes == 0 && added <= MAX_TEXT_BYTES);
                bytes += if fits { added } else { 0 };
                fits
            })
            .collect()
    }

    /// Records that `pieces` were written to the store. Returns whether one of them is of a text that was dropped meanwhile.
    pub fn on_saved(&mut self, pieces: &[Piece]) -> bool {
        let mut has_dropped = false;
        for piece in pieces {
            let item = ItemRef {
                job: piece.job.clone(),
                item: piece.item,
            };
            let Some(saved) = self.items.get_mut(&item) else {
                continue;
            };
            // The item may have begun another lineage while the pieces were written.
            if saved.lineage == piece.lineage {
                let separator = usize::from(saved.event.is_some());
                saved.text_bytes += separator + piece.text.len();
                saved.event = Some(piece.last);
            } else {
                has_dropped = true;
            }
        }
        has_dropped
    }

    /// Removes items that have ended.
    pub fn forget_ended(&mut self, ledger: &Ledger) {
        let is_open = |item: &ItemRef| {
            let job = ledger.job(&item.job).filter(|job| job.is_open());
            job.is_some_and(|job: &Job| !job.is_listed(item.item))
        };
        self.items.retain(|item, _| is_open(item));
    }

    fn piece(&self, item: ItemRef, progress: &Progress) -> Option<Piece> {
        let saved = self.items.get(&item)?;
        let last = progress
            .last_event
            .filter(|last| Some(*last) > saved.event)?;
        let separator = usize::from(saved.event.is_some());
        let text = progress.text.get(saved.text_bytes + separator..)?;
        Some(Piece {
            job: item.job,
            item: item.item,
            lineage: saved.lineage,
            continues: saved.continues,
            after: saved.event,
            last,
            text: text.to_owned(),
            version: progress.version.clone(),
        })
    }
}
