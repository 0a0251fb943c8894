//! Chooses the targets that an entry node links to.
//!
//! Each entry node ranks a pool's targets by a hash of both names (rendezvous hashing). Entry nodes thus spread over
//! the pool without communication, and the arrival or departure of one target changes at most one link of an entry
//! node. Targets that are [assigned](crate::Assignment) to the entry node rank before all others, so that no target is
//! left without a link.

use std::cmp::Reverse;

use eel_types::Name;

use crate::assignment::score;

/// How many links an entry node keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Total number of links, divided evenly among the pools.
    pub total: usize,
    /// Minimum number of links per pool, even if they exceed the total.
    pub pool_min: usize,
    /// Percentage of a pool's links that go to other data centres.
    pub remote_percent: usize,
    /// Number of entry nodes that must link to each target, regardless of its rank.
    pub entries_per_target: usize,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            total: 64,
            pool_min: 4,
            remote_percent: 25,
            entries_per_target: 2,
        }
    }
}

impl LinkLimits {
    /// Returns the number of links for each of `pools` pools.
    #[must_use]
    pub fn per_pool(&self, pools: usize) -> usize {
        (self.total / pools.max(1)).max(self.pool_min)
    }
}

/// Whether a target is a candidate for a link, and whether it responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateState {
    /// The target responds.
    Live,
    /// No link to the target was tried, or the target has not responded yet.
    Unverified,
    /// The target does not respond, or its current process is leaving. It is tried again, but does not count towards
    /// the number of links.
    Dead,
    /// The target must not get a link.
    Excluded,
}

/// A target that may be linked to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target's VM.
    pub vm: &'a Name,
    /// The data centre that the VM is in.
    pub data_centre: &'a Name,
    /// Whether the target may get a link, and whether it responds.
    pub state: CandidateState,
    /// Whether the entry node is one of those that must link to the target.
    pub is_assigned: bool,
}

/// Returns the positions of the candidates that `entry` links to: `links` candidates that may respond, or all assigned
/// ones if these are more, and up to as many dead candidates that rank before them.
#[must_use]
pub fn choose_links(
    entry: &Name,
    data_centre: &Name,
    candidates: &[Candidate<'_>],
    links: usize,
    remote_percent: usize,
) -> Vec<usize> {
    let (local, remote): (Vec<_>, Vec<_>) = ranked(entry, candidates)
        .into_iter()
        .partition(|position| candidates[*position].data_centre == data_centre);
    let local_assigned = alive(candidates, &local, |candidate| candidate.is_assigned);
    let remote_assigned = alive(candidates, &remote, |candidate| candidate.is_assigned);
    let links = links.max(local_assigned + remote_assigned);
    let remote_share = (links * remote_percent)
        .div_ceil(100)
        .min(links - local_assigned)
        .max(remote_assigned);
    let local_wanted = links - remote_share.min(alive(candidates, &remote, |_| true));
    let local_found = local_wanted.min(alive(candidates, &local, |_| true));
    let remote_wanted = remote_share.max(links - local_found);
    let mut chosen = take(candidates, &local, local_wanted);
    chosen.extend(take(candidates, &remote, remote_wanted));
    chosen
}

/// Returns the positions of the candidates that are not excluded, best first.
fn ranked(entry: &Name, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let rank = |position: &usize| {
        let candidate = &candidates[*position];
        let score = score(entry, candidate.vm);
        Reverse((candidate.is_assigned, score, candidate.vm))
    };
    let mut ranked: Vec<usize> = (0..candidates.len())
        .filter(|position| candidates[*position].state != CandidateState::Excluded)
        .collect();
    ranked.sort_by_cached_key(rank);
    ranked
}

/// Counts the candidates at `positions` that may respond and satisfy `condition`.
fn alive(
    candidates: &[Candidate<'_>],
    positions: &[usize],
    condition: impl Fn(&Candidate<'_>) -> bool,
) -> usize {
    positions
        .iter()
        .map(|position| &candidates[*position])
        .filter(|candidate| candidate.state != CandidateState::Dead && condition(candidate))
        .count()
}

/// Takes candidates in order until `links` of them may respond, with at most `links` dead ones in between.
fn take(candidates: &[Candidate<'_>], positions: &[usize], links: usize) -> Vec<usize> {
    let mut chosen = Vec::new();
    let mut alive_left = links;
    let mut dead_left = links;
    for position in positions {
        if alive_left == 0 {
            break;
        }
        let left = match candidates[*position].state {
            CandidateState::Dead => &mut dead_left,
            CandidateState::Live | CandidateState::Unverified => &mut alive_left,
            CandidateState::Excluded => continue,
        };
        if *left > 0 {
            *left -= 1;
            chosen.push(*position);
        }
    }
    chosen
}
