//! Partial texts of running items, written to the store in pieces.
//!
//! When a node is lost, another node continues its items after their last piece. Texts of runs that did not continue
//! one another must not be joined. Therefore the pieces that one node writes for an item form a lineage, and each piece
//! names the lineage that its own continues, if any.

use std::collections::HashMap;

use eel_types::Name;
use serde::{Deserialize, Serialize};

use crate::{ItemRef, Job, Ledger, Progress};

/// The maximum number of times that an item's text may be continued by another lineage; longer chains are ignored.
const MAX_LINEAGES: u32 = 16;

/// A contiguous piece of an item's text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The id of the job.
    pub job: Name,
    /// The index of the item in the job.
    pub item: u32,
    /// The lineage of the piece.
    pub lineage: u64,
    /// The lineage that `lineage` continues; `None` if it starts the text.
    pub continues: Option<u64>,
    /// The id of the event before the piece; `None` at the start of the text.
    pub after: Option<u64>,
    /// The id of the last event in the piece.
    pub last: u64,
    /// The data of the events of the piece, separated by line feeds.
    pub text: String,
    /// The version of the target that sent the events; `None` if it is not known.
    #[serde(skip)]
    pub version: Option<Name>,
}

impl Piece {
    /// Encodes pieces as one value of the store; `None` if they cannot be encoded. The versions follow the pieces, where
    /// nodes of earlier releases do not read them.
    #[must_use]
    pub fn encode_all(pieces: &[Self]) -> Option<Vec<u8>> {
        let versions: Vec<Option<&Name>> = pieces.iter().map(|it| it.version.as_ref()).collect();
        let mut value = postcard::to_stdvec(pieces).ok()?;
        value.extend(postcard::to_stdvec(&versions).ok()?);
        Some(value)
    }

    /// Decodes a value of the store; `None` if it is not valid. Values of earlier releases hold no versions.
    fn decode_all(value: &[u8]) -> Option<Vec<Self>> {
        let (mut pieces, rest) = postcard::take_from_bytes::<Vec<Self>>(value).ok()?;
        if !rest.is_empty() {
            let versions: Vec<Option<Name>> = postcard::from_bytes(rest).ok()?;
            for (piece, version) in pieces.iter_mut().zip(versions) {
                piece.version = version;
            }
        }
        Some(pieces)
    }
}

/// The pieces that a node has read from the store.
#[derive(Debug, Default)]
pub struct Partials {
    pieces: HashMap<ItemRef, Vec<Piece>>,
    keys: HashMap<String, Vec<ItemRef>>,
}

/// A partial text of an item, assembled from pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedText {
    /// The lineage of its last piece.
    pub lineage: u64,
    /// The text and the id of its last event.
    pub progress: Progress,
}

impl Partials {
    /// Applies a put of pieces under `key`. Returns `false` if the value cannot be decoded.
    pub fn on_put(&mut self, key: &str, value: &[u8]) -> bool {
        let Some(pieces) = Piece::decode_all(value) else {
            return false;
        };
        if self.keys.contains_key(key) {
            return true;
        }
        let mut items = Vec::new();
        for piece in pieces {
            let item = ItemRef {
                job: piece.job.clone(),
                item: piece.item,
            };
            self.pieces.entry(item.clone()).or_default().push(piece);
            items.push(item);
        }
        self.keys.insert(key.to_owned(), items);
        true
    }

    /// Applies the deletion of `key`. All pieces of its items are removed, since the items have ended.
    pub fn on_removed(&mut self, key: &str) {
        for item in self.keys.remove(key).unwrap_or_default() {
            self.pieces.remove(&item);
        }
    }

    /// Returns the longest text that the pieces of an item give and that `may_continue` accepts; `None` if there is none.
    #[must_use]
    pub fn longest_text(
        &self,
        item: &ItemRef,
        may_continue: impl Fn(&Progress) -> bool,
    ) -> Option<SavedText> {
        let pieces = self.pieces.get(item)?;
        let mut lineages: Vec<u64> = pieces.iter().map(|piece| piece.lineage).collect();
        lineages.sort_unstable();
        lineages.dedup();
        let texts = lineages.into_iter().filter_map(|lineage| {
            let progress = assemble(pieces, lineage, None, MAX_LINEAGES)?;
            Some(SavedText { lineage, progress })
        });
        let texts = texts.filter(|saved| may_continue(&saved.progress));
        texts.max_by_key(|saved| saved.progress.last_event)
    }

    /// Returns the versions of the pieces of `item`, `None` for a piece whose version is not known.
    pub fn versions_of(&self, item: &ItemRef) -> impl Iterator<Item = Option<&Name>> {
        let pieces = self.pieces.get(item).into_iter().flatten();
        pieces.map(|piece| piece.version.as_ref())
    }

    /// Returns the keys with pieces of `item`.
    pub fn keys_of(&self, item: &ItemRef) -> impl Iterator<Item = &String> {
        let with_item = self
            .keys
            .iter()
            .filter(move |(_, items)| items.contains(item));
        with_item.map(|(key, _)| key)
    }

    /// Returns the items of which `key` has pieces.
    #[must_use]
    pub fn items_of(&self, key: &str) -> &[ItemRef] {
        self.keys.get(key).map_or(&[], Vec::as_slice)
    }

    /// Returns up to `limit` keys whose items have all ended.
    #[must_use]
    pub fn ended(&self, ledger: &Ledger, limit: usize) -> Vec<String> {
        let has_ended = |item: &ItemRef| {
            let job = ledger.job(&item.job).filter(|job| job.head().is_some());
            job.is_some_and(|job: &Job| !job.is_open() || job.is_listed(item.item))
        };
        let ended = self
            .keys
            .iter()
            .filter(|(_, items)| items.iter().all(has_ended));
        ended.map(|(key, _)| key.clone()).take(limit).collect()
    }
}

/// Joins the pieces of a lineage and of those that it continues, up to the event `until` if it is given.
///
/// Returns `None` if the text before the lineage is incomplete, if `until` is not reached, or if the chain has more
/// than `depth` earlier lineages.
fn assemble(pieces: &[Piece], lineage: u64, until: Option<u64>, depth: u32) -> Option<Progress> {
    let own = || pieces.iter().filter(|piece| piece.lineage == lineage);
    let first = own().min_by_key(|piece| piece.after)?;
    let mut progress = match first.continues {
        None if first.after.is_none() => Progress::default(),
        None => return None,
        Some(earlier) => assemble(pieces, earlier, first.after, depth.checked_sub(1)?)?,
    };
    while until.is_none() || progress.last_event != until {
        let is_within = |piece: &&Piece| until.is_none_or(|until| piece.last <= until);
        let next = own()
            .filter(|piece| piece.after == progress.last_event)
            .filter(|piece| progress.last_event.is_none() || piece.version == progress.version)
            .filter(is_within);
        let Some(next) = next.max_by_key(|piece| piece.last) else {
            break;
        };
        if progress.last_event.is_some() {
            progress.text.push('\n');
        }
        progress.text.push_str(&next.text);
        progress.last_event = Some(next.last);
        progress.version.clone_from(&next.version);
    }
    (until.is_none() || progress.last_event == until).then_some(progress)
}
