//! What callers get while all targets name a rate below the one at which they are used.
//!
//! Answers the load of 8 nodes before 47 targets that each name 0.6 of their mean rate, with rate steps of five to one and
//! items beside the requests. Guards against tokens that go to less urgent requests or to items while urgent requests wait,
//! against idle tokens, and against accepted requests that start late.

use eel_fleet::WorkKind;

use crate::callers_model::{Model, Shape};

const TARGETS: usize = 47;
const MEAN_PER_S: f64 = 277.0;
const LIMIT_PER_S: f64 = MEAN_PER_S * 0.6;
const LIMITED_PART: f64 = 47.0;
/// When the rate rises, and when the first burst ends.
const BURST_MS: std::ops::Range<u64> = 3_600..6_000;
const BURST_S: f64 = 2.4;

/// The share of urgent requests that must start on time at the first attempt if the tokens cover them.
const COVERED_ON_TIME: f64 = 0.9;
/// The share of a burst's tokens that requests must use.
const TOKENS_USED: f64 = 0.95;
/// The share of started requests that must start within the goal of the attempt: the share of the stated latency goal.
const ACCEPTED_IN_GOAL: f64 = 0.95;

fn run(urgent_percent: u32) -> Model {
    Model::run(Shape {
        node_weights: vec![1; 8],
        targets: TARGETS,
        tenants_per_s: vec![MEAN_PER_S],
        knows_tenants: false,
        limit_per_s: Some(LIMIT_PER_S / LIMITED_PART),
        items_per_s: 20.0,
        urgent_percent,
        duration_ms: 8_000,
    })
}

fn burst_starts(model: &Model, work: WorkKind) -> f64 {
    let starts = model.starts.iter();
    let starts = starts.filter(|(at_ms, it)| BURST_MS.contains(at_ms) && *it == work);
    f64::from(u32::try_from(starts.count()).expect("few starts"))
}

fn part(requests: u32, of: u32) -> f64 {
    f64::from(requests) / f64::from(of.max(1))
}

#[test]
fn urgent_ones_first() {
    // A burst brings 132 urgent requests a second, which the 166 tokens a second cover.
    let model = run(25);
    let (urgent, total) = (model.urgent, model.total());
    let tokens = BURST_S * LIMIT_PER_S;
    let [online, items] =
        [WorkKind::Online, WorkKind::Batch].map(|work| burst_starts(&model, work));
    let case = format!(
        "urgent {urgent:?}, all {total:?}, {online} requests and {items} items for {tokens:.0} tokens of the burst, \
         {} items done, {} rejections",
        model.items_done, model.rejected
    );
    println!("{case}");
    assert!(urgent.on_time_share() >= COVERED_ON_TIME, "{case}");
    assert!(online >= TOKENS_USED * tokens, "{case}");
    assert!(items <= (1.0 - TOKENS_USED) * tokens, "{case}");
    assert!(part(total.in_goal, total.ran) >= ACCEPTED_IN_GOAL, "{case}");
    assert!(model.items_done > 0, "{case}");
}

#[test]
fn all_equally_urgent() {
    let model = run(100);
    let (total, tokens) = (model.total(), BURST_S * LIMIT_PER_S);
    let online = burst_starts(&model, WorkKind::Online);
    let case = format!("{total:?}, {online} requests for {tokens:.0} tokens of the burst");
    println!("{case}");
    assert!(online >= TOKENS_USED * tokens, "{case}");
    assert!(part(total.in_goal, total.ran) >= ACCEPTED_IN_GOAL, "{case}");
}
