//! The chosen subsets bound the links per entry node as the pool grows, and spread the work evenly over the pool.
//!
//! The tests guard against targets that no entry node links to, against overloaded targets, and against a change of one
//! target that moves many links.

use std::collections::BTreeSet;

use eel_member::{
    Assignment, Candidate, CandidateState, EntryNode, Event, LinkLimits, choose_links,
};
use eel_types::Name;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::fixture::{feed, list, membership, message, short, vm};

const SEED: u64 = 7;
const DATA_CENTRES: usize = 7;
const REQUESTS_PER_TARGET: usize = 200;
/// Maximum work of the busiest target, in percent of the mean.
const WORK_MAX_PERCENT: usize = 125;

struct Target {
    vm: Name,
    data_centre: Name,
    entries: Vec<Name>,
}

fn entry_nodes(count: usize) -> Vec<EntryNode> {
    let entry = |n: usize| EntryNode {
        vm: Name::from(format!("entry-{n}")),
        data_centre: Name::from(format!("dc-{}", n % DATA_CENTRES)),
    };
    (0..count).map(entry).collect()
}

/// Returns a pool that is spread over the data centres, with the entry nodes assigned to each target.
fn pool(name: usize, targets: usize, entries: &[EntryNode], limits: LinkLimits) -> Vec<Target> {
    let assignment = Assignment::new(entries.to_vec());
    let target = |n: usize| {
        let vm = Name::from(format!("pool-{name}-target-{n}"));
        let data_centre = Name::from(format!("dc-{}", n % DATA_CENTRES));
        let assigned = assignment.entries_of(&vm, &data_centre, limits.entries_per_target);
        let entries = assigned.iter().map(|entry| entry.vm.clone()).collect();
        Target {
            vm,
            data_centre,
            entries,
        }
    };
    (0..targets).map(target).collect()
}

/// Returns the targets as candidates of `entry`.
fn candidates<'a>(pool: &'a [Target], entry: &Name) -> Vec<Candidate<'a>> {
    let candidate = |target: &'a Target| Candidate {
        vm: &target.vm,
        data_centre: &target.data_centre,
        state: CandidateState::Live,
        is_assigned: target.entries.contains(entry),
    };
    pool.iter().map(candidate).collect()
}

/// Returns the subset of each entry node.
fn subsets(
    pool: &[Target],
    entries: &[EntryNode],
    links: usize,
    limits: LinkLimits,
) -> Vec<Vec<usize>> {
    let subset = |entry: &EntryNode| {
        let candidates = candidates(pool, &entry.vm);
        choose_links(
            &entry.vm,
            &entry.data_centre,
            &candidates,
            links,
            limits.remote_percent,
        )
    };
    entries.iter().map(subset).collect()
}

/// Returns the largest count as a percentage of the mean.
fn max_percent(counts: &[usize]) -> usize {
    let total: usize = counts.iter().sum();
    let max = counts.iter().max().copied().unwrap_or(0);
    max * counts.len() * 100 / total.max(1)
}

/// Returns the requests per target if each request goes to the less busy of two random targets of a subset.
fn spread_work(subsets: &[Vec<usize>], targets: usize) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut work = vec![0; targets];
    for _ in 0..targets * REQUESTS_PER_TARGET {
        let subset = &subsets[rng.random_range(0..subsets.len())];
        let first = subset[rng.random_range(0..subset.len())];
        let second = subset[rng.random_range(0..subset.len())];
        let chosen = if work[first] <= work[second] {
            first
        } else {
            second
        };
        work[chosen] += 1;
    }
    work
}

#[test]
fn links_flat_work_even() {
    let limits = LinkLimits::default();
    println!("seed {SEED}");
    println!(
        "entries pools targets | links/entry mean max | links/target min mean max% | work max%"
    );
    // (entry nodes, pools, targets per pool)
    let cases = [
        (6, 2, 12),
        (40, 2, 100),
        (90, 4, 200),
        (180, 4, 400),
        (360, 4, 950),
        (360, 11, 345),
    ];
    for (entries, pools, targets) in cases {
        let nodes = entry_nodes(entries);
        let mut of_entry = vec![0; entries];
        let mut of_target = Vec::new();
        let mut work_max = 0;
        for name in 0..pools {
            let pool = pool(name, targets, &nodes, limits);
            let subsets = subsets(&pool, &nodes, limits.per_pool(pools), limits);
            let mut links = vec![0; targets];
            for (entry, subset) in subsets.iter().enumerate() {
                of_entry[entry] += subset.len();
                for position in subset {
                    links[*position] += 1;
                }
            }
            of_target.extend(links);
            work_max = work_max.max(max_percent(&spread_work(&subsets, targets)));
        }
        let entry_max = of_entry.iter().max().copied().unwrap_or(0);
        let fewest = of_target.iter().min().copied().unwrap_or(0);
        println!(
            "{entries:7} {pools:5} {targets:7} | {:16} {entry_max:3} | {fewest:16} {:4} {:4} | {work_max:9}",
            of_entry.iter().sum::<usize>() / entries,
            of_target.iter().sum::<usize>() / of_target.len(),
            max_percent(&of_target),
        );
        let assured = limits.entries_per_target.min(entries);
        assert!(
            fewest >= assured,
            "{fewest} links to a target, at least {assured} expected"
        );
        assert!(
            entry_max <= limits.total,
            "{entry_max} links of one entry node"
        );
        assert!(
            work_max <= WORK_MAX_PERCENT,
            "the busiest target gets {work_max}% of the mean"
        );
    }
}

/// The loss of a target that the entry node links to adds one other link and changes nothing else.
#[test]
fn one_change_one_link() {
    let nodes = entry_nodes(1);
    let pool = pool(0, 400, &nodes, LinkLimits::default());
    let EntryNode { vm, data_centre } = &nodes[0];
    let mut candidates = candidates(&pool, vm);
    for candidate in &mut candidates {
        candidate.is_assigned = false;
    }
    let whole = choose_links(vm, data_centre, &candidates, 32, 25);
    for lost in 0..candidates.len() {
        let mut candidates = candidates.clone();
        candidates[lost].state = CandidateState::Excluded;
        let rest = choose_links(vm, data_centre, &candidates, 32, 25);
        let rest: BTreeSet<_> = rest.into_iter().collect();
        let changed = whole.iter().filter(|p| !rest.contains(p)).count();
        assert_eq!(
            changed,
            usize::from(whole.contains(&lost)),
            "without {lost}"
        );
        assert_eq!(rest.len(), whole.len());
    }
}

/// With few entry nodes, the coverage of all targets takes precedence over the number of links.
#[test]
fn few_entries_cover_all() {
    let limits = LinkLimits::default();
    for (entries, targets) in [(1, 300), (3, 300), (3, 12), (8, 950)] {
        let nodes = entry_nodes(entries);
        let pool = pool(0, targets, &nodes, limits);
        let subsets = subsets(&pool, &nodes, limits.total, limits);
        let covered: BTreeSet<_> = subsets.iter().flatten().collect();
        assert_eq!(covered.len(), targets, "{entries} entries");
    }
}

#[test]
fn local_and_remote() {
    let name = |text: &str| Name::from(text);
    let (local, remote) = (name("dc-1"), name("dc-2"));
    let entry = name("entry-1");
    // (local alive, local dead, remote alive, remote dead), (local links, remote links, links to dead targets)
    let cases = [
        ((20, 0, 20, 0), (6, 2, 0)),
        ((20, 0, 0, 0), (8, 0, 0)),
        ((0, 0, 20, 0), (0, 8, 0)),
        ((3, 0, 20, 0), (3, 5, 0)),
        ((3, 2, 1, 0), (3, 1, 2)),
        ((0, 5, 0, 5), (0, 0, 10)),
        ((20, 0, 0, 5), (8, 0, 2)),
    ];
    for ((local_alive, local_dead, remote_alive, remote_dead), expected) in cases {
        let groups = [
            (local_alive, &local, CandidateState::Live),
            (local_dead, &local, CandidateState::Dead),
            (remote_alive, &remote, CandidateState::Live),
            (remote_dead, &remote, CandidateState::Dead),
        ];
        let members: Vec<_> = groups
            .iter()
            .flat_map(|(count, place, state)| {
                (0..*count).map(move |n| (name(&format!("{place}-{state:?}-{n}")), *place, *state))
            })
            .collect();
        let candidates: Vec<_> = members
            .iter()
            .map(|(vm, data_centre, state)| Candidate {
                vm,
                data_centre,
                state: *state,
                is_assigned: false,
            })
            .collect();
        let chosen = choose_links(&entry, &local, &candidates, 8, 25);
        let count = |place: &Name, state| {
            let is = |p: &&usize| {
                let candidate = &candidates[**p];
                candidate.data_centre == place && candidate.state == state
            };
            chosen.iter().filter(is).count()
        };
        let dead = count(&local, CandidateState::Dead) + count(&remote, CandidateState::Dead);
        let found = (
            count(&local, CandidateState::Live),
            count(&remote, CandidateState::Live),
            dead,
        );
        assert_eq!(
            found, expected,
            "{local_alive} {local_dead} {remote_alive} {remote_dead}"
        );
    }
}

#[test]
fn dead_link_replaced() {
    let mut membership = membership();
    let vms: Vec<_> = (0..100).map(|n| vm(&format!("t{n}"))).collect();
    let connects = membership.on_event(0, list(&vms));
    assert_eq!(connects.len(), LinkLimits::default().total);
    let names: Vec<String> = connects
        .iter()
        .map(|action| short(action)["connect ".len()..].replace(" 1", ""))
        .collect();
    for name in &names[1..] {
        assert_eq!(
            feed(&mut membership, 10, message(name, 1)),
            [format!("use {name} 1")]
        );
    }
    let lost = crate::fixture::closed(&names[0], None);
    let actions = feed(&mut membership, 20, lost);
    assert_eq!(
        actions.len(),
        1,
        "one link to the next target in rank: {actions:?}"
    );
    let successor = actions[0]["connect ".len()..].replace(" 1", "");
    feed(&mut membership, 30, message(&successor, 1));
    feed(&mut membership, 270, Event::Tick);
    let back = feed(&mut membership, 280, message(&names[0], 1));
    let expected = [
        format!("use {} 1", names[0]),
        format!("stop {successor} 1 Replaced"),
        format!("disconnect {successor} Replaced"),
    ];
    assert_eq!(back, expected);
}
