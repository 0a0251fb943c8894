//! Policies that pick one of several usable targets.

use rand::{Rng, RngExt as _, seq::IndexedRandom as _};

use crate::TargetKey;

/// Number of targets that the weighted policy samples in this entry node's data centre, and again in the others.
/// Comparing all targets would send every entry node to the same one until the next load report.
const SAMPLES_PER_LOCALITY: usize = 2;

/// How a target is picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A random target.
    Random,
    /// The target with the fewest attempts of this entry node in flight.
    LeastInFlight,
    /// The one with fewer attempts in flight of two random targets.
    PowerOfTwo,
    /// The one with the lowest expected cost of a few random targets. The cost covers reported load, own attempts in
    /// flight and time to first byte; this entry node's data centre and cached prefixes are preferred.
    Weighted,
}

/// A usable target, as the policies see it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) key: TargetKey,
    pub(crate) in_flight: u32,
    /// Expected share of the slots in use, including this request. Above 1, the request would be queued.
    pub(crate) occupancy: f32,
    /// Expected cost: the occupancy, scaled by how slow the target is relative to its pool.
    pub(crate) cost: f32,
    pub(crate) local: bool,
    pub(crate) cached: bool,
}

/// How far the weighted policy prefers the own data centre and cached prefixes over a low cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Margins {
    /// Cost added to targets in other data centres.
    pub(crate) remote_cost: f32,
    /// Occupancy up to which a target that has the prefix cached is preferred.
    pub(crate) cached_occupancy: f32,
}

impl Policy {
    pub(crate) fn pick(
        self,
        candidates: &[Candidate],
        margins: Margins,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let picked = match self {
            Self::Random => draw(candidates, rng),
            Self::LeastInFlight => least_in_flight(candidates, rng),
            Self::PowerOfTwo => power_of_two(candidates, rng),
            Self::Weighted => weighted(candidates, margins, rng),
        };
        picked.map(|candidate| candidate.key)
    }
}

fn draw<'a>(candidates: &'a [Candidate], rng: &mut impl Rng) -> Option<&'a Candidate> {
    match candidates.len() {
        0 => None,
        len => candidates.get(rng.random_range(0..len)),
    }
}

fn least_in_flight<'a>(candidates: &'a [Candidate], rng: &mut impl Rng) -> Option<&'a Candidate> {
    rotated(candidates, rng).min_by_key(|candidate| candidate.in_flight)
}

fn power_of_two<'a>(candidates: &'a [Candidate], rng: &mut impl Rng) -> Option<&'a Candidate> {
    let mut pair = candidates.sample(rng, 2);
    let first = pair.next()?;
    let second = pair.next().unwrap_or(first);
    Some(if second.in_flight < first.in_flight {
        second
    } else {
        first
    })
}

/// Picks from `candidates`, which must be sorted with this entry node's data centre first.
fn weighted<'a>(
    candidates: &'a [Candidate],
    margins: Margins,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let cost = |candidate: &Candidate| {
        if candidate.local {
            candidate.cost
        } else {
            candidate.cost + margins.remote_cost
        }
    };
    let cached = candidates
        .iter()
        .filter(|candidate| candidate.cached && candidate.occupancy <= margins.cached_occupancy)
        .min_by(|a, b| cost(a).total_cmp(&cost(b)));
    if cached.is_some() {
        return cached;
    }
    let (local, remote) =
        candidates.split_at(candidates.partition_point(|candidate| candidate.local));
    let sampled = local
        .sample(rng, SAMPLES_PER_LOCALITY)
        .chain(remote.sample(rng, SAMPLES_PER_LOCALITY));
    sampled.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Iterates over all candidates from a random start, so that ties are broken evenly.
fn rotated<'a>(
    candidates: &'a [Candidate],
    rng: &mut impl Rng,
) -> impl Iterator<Item = &'a Candidate> {
    let start = match candidates.len() {
        0 => 0,
        len => rng.random_range(0..len),
    };
    candidates[start..].iter().chain(&candidates[..start])
}
