//! The load reports that nodes send to each other, each in one datagram.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How long a peer's report counts without a newer one: five of the usual report intervals.
pub(crate) const REPORT_TTL_MS: u64 = 1_000;

/// Hashes the name of a target or service, with the same result on every node.
#[must_use]
pub fn stable_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The load of one node at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// [`stable_hash`] of the target's id.
    pub target: u64,
    /// Online requests in flight.
    pub online: u16,
    /// Batch items in flight.
    pub batch: u16,
}

/// How many of a node's requests wait for a slot of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingCount {
    /// [`stable_hash`] of the service's name.
    pub service: u64,
    /// The number of queued online requests.
    pub waiting: u16,
}

/// The targets that a report covers, by the leading bits of their hashes: all of them, or one of several equal parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportPart {
    /// The number of leading bits that select the part; 0 for all targets.
    bits: u8,
    /// The value of these bits.
    index: u8,
}

/// The load of one node at the targets of one part; a newer report on a target replaces an older one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The secret that the receiver published for its peers; a datagram without it is dropped.
    pub token: u64,
    /// The sender's incarnation.
    pub sender: u64,
    /// The sender's number of the report; it rises with each one.
    pub sequence: u64,
    /// The newest store revision that the sender may have shown to callers, for nodes of earlier versions, which compare
    /// it with their own.
    pub shown_revision: u64,
    /// Whether the store renewed the sender's lease within the last second.
    pub reaches_store: bool,
    /// Whether the sender currently accepts items of batch jobs.
    pub takes_batch: bool,
    /// The targets at which the sender has attempts in flight.
    pub targets: Vec<TargetLoad>,
    /// The services for which the sender has requests waiting.
    pub waiting: Vec<WaitingCount>,
    /// The targets that the report covers.
    #[serde(skip)]
    pub part: ReportPart,
}

/// A report could not be encoded, or a datagram is not a valid report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot encode or decode a load report")]
pub struct ReportError;

/// The finest division of the targets into parts. The sequence numbers of a sender are kept for each of these.
pub(crate) const MAX_PART_BITS: u8 = 6;
/// Begins a datagram with a report on one part of the targets. A report on all of them begins with its token, so that
/// nodes that do not know of parts decode it.
const PART_MARK: u64 = u64::from_le_bytes(*b"eelparts");

impl ReportPart {
    /// Returns whether the part contains a target.
    #[must_use]
    pub fn contains(self, target: u64) -> bool {
        leading_bits(target, self.bits) == usize::from(self.index)
    }

    /// Returns the finest parts that this part consists of.
    pub(crate) fn finest(self) -> std::ops::Range<usize> {
        let count = 1 << (MAX_PART_BITS - self.bits);
        let first = usize::from(self.index) * count;
        first..first + count
    }

    fn is_valid(self) -> bool {
        self.bits <= MAX_PART_BITS && u32::from(self.index) < 1 << self.bits
    }
}

/// Returns the finest part that contains a target.
pub(crate) fn finest_part(target: u64) -> usize {
    leading_bits(target, MAX_PART_BITS)
}

fn leading_bits(hash: u64, bits: u8) -> usize {
    let value = hash.checked_shr(u64::BITS - u32::from(bits)).unwrap_or(0);
    usize::try_from(value).unwrap_or(usize::MAX)
}

impl PeerReport {
    /// Splits the report into as few reports as possible that take up at most `max_bytes` as datagrams; returns the
    /// finest division if that is not enough.
    #[must_use]
    pub fn split(self, max_bytes: usize) -> Vec<Self> {
        let divide = |bits: u8| -> Vec<Self> {
            let indices = 0..1 << bits;
            indices
                .map(|index| self.only(ReportPart { bits, index }))
                .collect()
        };
        let fits = |reports: &[Self]| {
            let mut sizes = reports
                .iter()
                .map(|it| it.encode().map_or(0, |it| it.len()));
            sizes.all(|size| size <= max_bytes)
        };
        (0..MAX_PART_BITS)
            .map(divide)
            .find(|reports| fits(reports))
            .unwrap_or_else(|| divide(MAX_PART_BITS))
    }

    fn only(&self, part: ReportPart) -> Self {
        let targets = self.targets.iter().copied();
        Self {
            targets: targets.filter(|it| part.contains(it.target)).collect(),
            waiting: self.waiting.clone(),
            part,
            ..*self
        }
    }

    /// Encodes the report for one datagram.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, ReportError> {
        let encoded = if self.part == ReportPart::default() {
            postcard::to_stdvec(self)
        } else {
            postcard::to_stdvec(&(PART_MARK, self.part, self))
        };
        encoded.map_err(|_| ReportError)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if the datagram is truncated, not a report, or names a target outside its part.
    pub fn decode(datagram: &[u8]) -> Result<Self, ReportError> {
        let (first, rest) = postcard::take_from_bytes(datagram).map_err(|_| ReportError)?;
        if PART_MARK != first {
            return postcard::from_bytes(datagram).map_err(|_| ReportError);
        }
        let (part, report): (ReportPart, Self) =
            postcard::from_bytes(rest).map_err(|_| ReportError)?;
        let is_within = || report.targets.iter().all(|it| part.contains(it.target));
        if !part.is_valid() || !is_within() {
            return Err(ReportError);
        }
        Ok(Self { part, ..report })
    }
}
