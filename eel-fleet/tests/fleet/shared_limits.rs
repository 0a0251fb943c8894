//! Rate limits of targets that several nodes share, and their changes.
//!
//! Guards against nodes that exceed a limit together, because each one keeps it alone, counts too late or does not reach
//! the others, and against a target that stays limited after it has ceased to name a limit.

use std::collections::VecDeque;

use eel_fleet::{LimitNotice, LimitPeer, LimitTable, NamedLimit, RateLimit, TargetUsage};
use eel_types::Name;
use quickcheck::quickcheck;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const TARGET: u64 = 7;
const WINDOW_MS: u64 = 4_000;
/// The time between two decisions of a node.
const STEP_MS: u64 = 25;
/// The shortest time between two notices of a node, and the time between two full ones.
const MIN_NOTICE_INTERVAL_MS: u64 = 20;
const FULL_NOTICE_INTERVAL_MS: u64 = 500;
const DURATION_MS: u64 = 16_000;

/// A fleet whose nodes send to one target whenever the limit lets them.
struct Shape {
    nodes: usize,
    per_s: f64,
    delay_ms: u64,
    /// The share of lost notices, in percent.
    lost_percent: u32,
    /// The number of groups that do not reach one another.
    groups: usize,
    /// The share of the steps at which a node has a request, in percent.
    demand_percent: u32,
}

fn named(per_s: f64) -> NamedLimit {
    NamedLimit::Rate(RateLimit::from_per_s(per_s).expect("a rate"))
}

fn name(number: usize) -> Name {
    format!("node-{number}").into()
}

/// Returns the table of a node that has just learned the limit.
fn table(
    own: usize,
    nodes: usize,
    per_s: f64,
    reaches: impl Fn(usize, usize) -> bool,
) -> LimitTable {
    let others = (0..nodes).filter(|other| *other != own);
    let peers = others.map(|other| LimitPeer {
        name: name(other),
        incarnation: other as u64,
        is_reachable: reaches(own, other),
    });
    let mut table = LimitTable::default();
    table.set_nodes(&name(own), peers.collect());
    table.on_response(0, TARGET, 0, named(per_s));
    table
}

/// Returns when requests were sent.
fn simulate(shape: &Shape, seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let reaches = |a: usize, b: usize| a % shape.groups == b % shape.groups;
    let mut nodes: Vec<LimitTable> = (0..shape.nodes)
        .map(|own| table(own, shape.nodes, shape.per_s, reaches))
        .collect();
    let mut in_transit: VecDeque<(u64, usize, LimitNotice)> = VecDeque::new();
    let mut sent_ms = Vec::new();
    let mut notified_ms = vec![0; shape.nodes];
    for now_ms in 0..DURATION_MS {
        while in_transit
            .front()
            .is_some_and(|(at_ms, ..)| *at_ms <= now_ms)
        {
            let Some((_, receiver, notice)) = in_transit.pop_front() else {
                break;
            };
            nodes[receiver].on_notice(now_ms, &notice, |_| true);
        }
        for own in 0..shape.nodes {
            let has_request = rng.random_range(0..100) < shape.demand_percent;
            let is_step = (now_ms + own as u64).is_multiple_of(STEP_MS);
            while is_step && has_request && nodes[own].opens_at_ms(TARGET) <= now_ms {
                nodes[own].on_start(now_ms, TARGET);
                nodes[own].on_response(now_ms, TARGET, now_ms, named(shape.per_s));
                sent_ms.push(now_ms);
            }
            if now_ms < notified_ms[own] + MIN_NOTICE_INTERVAL_MS {
                continue;
            }
            let is_full = now_ms % FULL_NOTICE_INTERVAL_MS < MIN_NOTICE_INTERVAL_MS;
            let targets = nodes[own].news(now_ms, is_full);
            if targets.is_empty() {
                continue;
            }
            notified_ms[own] = now_ms;
            let notice = LimitNotice {
                token: 0,
                sender: own as u64,
                targets,
            };
            for other in (0..shape.nodes).filter(|other| *other != own && reaches(own, *other)) {
                if rng.random_range(0..100) >= shape.lost_percent {
                    in_transit.push_back((now_ms + shape.delay_ms, other, notice.clone()));
                }
            }
        }
    }
    sent_ms
}

fn count(requests: usize) -> f64 {
    u32::try_from(requests).map_or(f64::INFINITY, f64::from)
}

fn most_in_window(sent_ms: &[u64]) -> usize {
    let windows = sent_ms.iter().enumerate().map(|(first, from_ms)| {
        let later = sent_ms[first..].iter();
        later
            .take_while(|at_ms| **at_ms < from_ms + WINDOW_MS)
            .count()
    });
    windows.max().unwrap_or(0)
}

#[test]
fn sums_of_all_nodes() {
    for nodes in [1, 7, 41] {
        for per_s in [0.0, 0.3, 2.2, 60.0] {
            for (groups, lost_percent, demand_percent) in [
                (1, 0, 100),
                (1, 0, 5),
                (1, 20, 100),
                (2, 0, 100),
                (nodes, 0, 100),
            ] {
                let shape = Shape {
                    nodes,
                    per_s,
                    delay_ms: 8,
                    lost_percent,
                    groups,
                    demand_percent,
                };
                let sent_ms = simulate(&shape, 3);
                let (most, total) = (most_in_window(&sent_ms), sent_ms.len());
                let case = format!(
                    "{nodes} nodes in {groups} groups, {per_s} a second, {lost_percent}% lost, \
                     demand {demand_percent}%: {most} in 4 s, {total} in 16 s"
                );
                println!("{case}");
                assert!(count(most) <= 1.5 * 4.0 * per_s + 5.0, "{case}");
                if groups == 1 && demand_percent == 100 {
                    // What the target takes is used.
                    assert!(count(total) >= 0.8 * 16.0 * per_s - 1.0, "{case}");
                }
            }
        }
    }
}

/// A response: when its request was sent and when it arrived, and the limit that it names.
type Response = (u64, u64, NamedLimit);

fn limit_after(responses: &[Response]) -> Option<u64> {
    let mut table = LimitTable::default();
    for &(asked_ms, answered_ms, limit) in responses {
        table.on_response(answered_ms, TARGET, asked_ms, limit);
    }
    table.limit(TARGET).map(RateLimit::per_1000_s)
}

#[test]
fn order_of_responses() {
    let (two, four) = (named(2.0), named(4.0));
    let absent = NamedLimit::Absent;
    let cases: [(&str, Vec<Response>, Option<u64>); 8] = [
        ("none", vec![(0, 10, absent)], None),
        ("named", vec![(0, 10, two)], Some(2_000)),
        ("raised", vec![(0, 10, two), (20, 30, four)], Some(4_000)),
        ("lowered", vec![(0, 10, four), (20, 30, two)], Some(2_000)),
        ("ended", vec![(0, 10, two), (20, 30, absent)], None),
        (
            "late response from before the limit",
            vec![(10, 20, two), (0, 30, absent)],
            Some(2_000),
        ),
        (
            "late response from before its end",
            vec![(10, 20, two), (30, 40, absent), (0, 25, two)],
            None,
        ),
        (
            "not a rate",
            vec![(0, 10, two), (20, 30, NamedLimit::Invalid)],
            Some(2_000),
        ),
    ];
    for (name, responses, expected) in cases {
        assert_eq!(limit_after(&responses), expected, "{name}");
    }
}

#[test]
fn end_reaches_a_node_that_missed_it() {
    let mut tables = [LimitTable::default(), LimitTable::default()];
    for table in &mut tables {
        table.on_response(10, TARGET, 0, named(2.0));
    }
    tables[0].on_response(30, TARGET, 20, NamedLimit::Absent);
    let late_ms = 60_000;
    let notice = |table: &mut LimitTable, sender| LimitNotice {
        token: 0,
        sender,
        targets: table.news(late_ms, true),
    };
    let stale = notice(&mut tables[1], 1);
    assert!(!stale.targets.is_empty());
    tables[0].on_notice(late_ms, &stale, |_| true);
    assert_eq!(tables[0].limit(TARGET), None);
    let reply = notice(&mut tables[0], 0);
    tables[1].on_notice(late_ms, &reply, |_| true);
    assert_eq!(tables[1].limit(TARGET), None);
}

#[test]
fn requests_of_a_partition_are_no_debt() {
    let mut table = table(0, 2, 2.0, |_, _| true);
    let notice = |sent| LimitNotice {
        token: 0,
        sender: 1,
        targets: vec![TargetUsage {
            incarnation: TARGET,
            limit: RateLimit::from_per_s(2.0),
            asked_ago_ms: 10,
            answered_ago_ms: 0,
            sent,
        }],
    };
    table.on_notice(1_000, &notice(1), |_| true);
    table.on_notice(61_000, &notice(61), |_| true);
    assert!(table.opens_at_ms(TARGET) < 63_000);
}

#[test]
fn node_without_requests_is_not_in_the_way() {
    let nodes = 41;
    let tables = (0..nodes).map(|own| table(own, nodes, 1.0, |_, _| true));
    let opens_at_ms: Vec<u64> = tables.map(|it| it.opens_at_ms(TARGET)).collect();
    let at_once = opens_at_ms.iter().filter(|it| **it <= 1_000).count();
    assert!((1..=11).contains(&at_once), "{opens_at_ms:?}");
    assert!(
        opens_at_ms.iter().all(|it| *it <= 60_000),
        "{opens_at_ms:?}"
    );
}

#[test]
fn large_notices_are_split() {
    let mut table = LimitTable::default();
    for incarnation in 0..200 {
        table.on_response(10, u64::MAX - incarnation, 0, named(2.0));
    }
    let notice = LimitNotice {
        token: u64::MAX,
        sender: u64::MAX,
        targets: table.news(10, true),
    };
    let parts = notice.clone().split(1_400);
    let sizes = parts
        .iter()
        .map(|it| it.encode().expect("a datagram").len());
    assert!(sizes.max().is_some_and(|size| size <= 1_400));
    let targets = parts.into_iter().flat_map(|it| it.targets);
    assert_eq!(targets.count(), notice.targets.len());
}

quickcheck! {
    fn any_datagram_is_decoded_or_refused(datagram: Vec<u8>) -> bool {
        LimitNotice::decode(&datagram).is_err()
    }
}
