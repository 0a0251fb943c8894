//! What the callers of each tenant get while others send far more than usual.
//!
//! Answers the load of one tenant at 7.5 times its usual rate, of two at once, of 79 tenants of skewed size, of unequal
//! nodes and of rate steps of five to one. Guards against a tenant's excess load that takes the places of small tenants in
//! the queue, and against fairness that starves the large one.

use eel_fleet::{
    Arrival, AttemptOutcome, Decision, Dispatcher, FairOrder, Flow, PeerReport, TicketKey,
    WaitingCount, WorkKind,
};
use eel_types::Name;

use crate::{
    callers_model::{Model, Served, Shape, capacity_per_s, rate_factor},
    fixture::{SERVICE, arrival, target},
};

const TARGETS: usize = 47;
const TENANTS: usize = 79;
const MEAN_PER_S: f64 = 277.0;
const EXCESS: f64 = 7.5;
/// From here on, a tenant's usual load is under a hundredth of all.
const FIRST_SMALL: usize = 20;
/// The tenants that are the worst tenth.
const TENTH: usize = TENANTS.div_ceil(10);
/// The share of the small tenants' requests that must start within the goal at the first attempt, while the others of the
/// same burst ask for twice the capacity.
const SMALL_ON_TIME: f64 = 0.9;
/// Two periods of low load with a burst between them.
const DURATION_MS: u64 = 8_000;
const UNEQUAL: [usize; 8] = [4, 2, 1, 1, 1, 1, 1, 1];

/// Returns the rates of tenants whose sizes fall as one divided by their rank.
fn skewed() -> Vec<f64> {
    let weights = (1..=TENANTS).map(|rank| 1.0 / f64::from(u32::try_from(rank).expect("a rank")));
    let weights: Vec<f64> = weights.collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|it| it / sum * MEAN_PER_S).collect()
}

fn shape(excessive: &[usize], node_weights: &[usize]) -> Shape {
    let mut tenants_per_s = skewed();
    for tenant in excessive {
        tenants_per_s[*tenant] *= EXCESS;
    }
    Shape {
        node_weights: node_weights.to_vec(),
        targets: TARGETS,
        tenants_per_s,
        knows_tenants: true,
        limit_per_s: None,
        items_per_s: 20.0,
        urgent_percent: 100,
        duration_ms: DURATION_MS,
    }
}

/// Returns the share of each tenant's requests that is served if at each time all tenants get the same rate, and what a
/// tenant does not need goes to the others.
fn fair_shares(tenants_per_s: &[f64]) -> Vec<f64> {
    const STEP_MS: usize = 100;
    let mut served = vec![0.0; tenants_per_s.len()];
    let mut sent = vec![0.0; tenants_per_s.len()];
    for now_ms in (0..DURATION_MS).step_by(STEP_MS) {
        let wanted = tenants_per_s.iter().map(|it| it * rate_factor(now_ms));
        let wanted: Vec<f64> = wanted.collect();
        let level = fair_level(&wanted, capacity_per_s(TARGETS));
        for (tenant, wanted) in wanted.iter().enumerate() {
            served[tenant] += wanted.min(level);
            sent[tenant] += wanted;
        }
    }
    served
        .iter()
        .zip(sent)
        .map(|(served, sent)| served / sent)
        .collect()
}

/// Returns the rate that each tenant gets at the most so that all together get `capacity`.
fn fair_level(wanted: &[f64], capacity: f64) -> f64 {
    let mut ordered = wanted.to_vec();
    ordered.sort_by(f64::total_cmp);
    let (mut left, mut tenants) = (
        capacity,
        f64::from(u32::try_from(wanted.len()).expect("few")),
    );
    for wanted in ordered {
        if wanted * tenants > left {
            return left / tenants;
        }
        left -= wanted;
        tenants -= 1.0;
    }
    f64::INFINITY
}

fn mean_of_worst_tenth(mut shares: Vec<f64>) -> f64 {
    shares.sort_by(f64::total_cmp);
    shares.truncate(TENTH);
    let count = f64::from(u32::try_from(shares.len()).expect("few"));
    shares.iter().sum::<f64>() / count
}

/// What callers got while some tenants sent more than usual.
struct Outcome {
    total: Served,
    /// The shares of the requests of each tenant that ran; tenants that sent none are left out.
    shares: Vec<f64>,
    fair_tenth: f64,
    small: Served,
    case: String,
}

fn play(excessive: &[usize], node_weights: &[usize]) -> Outcome {
    let shape = shape(excessive, node_weights);
    let model = Model::run(shape.clone());
    let total = model.total();
    let active = model.tenants.iter().filter(|it| it.sent > 0);
    let shares: Vec<f64> = active.map(Served::share).collect();
    let small = Served::sum(&model.tenants[FIRST_SMALL..]);
    let fair_tenth = mean_of_worst_tenth(fair_shares(&shape.tenants_per_s));
    let case = format!(
        "excess of {excessive:?}, nodes {node_weights:?}: served {:.3}, on time {:.3}, worst tenant {:.3}, worst tenth \
         {:.3} (fair {fair_tenth:.3}), small ones on time {:.3}, {} rejections of {} requests",
        total.share(),
        total.on_time_share(),
        shares.iter().copied().fold(1.0, f64::min),
        mean_of_worst_tenth(shares.clone()),
        small.on_time_share(),
        model.rejected,
        total.sent,
    );
    println!("{case}");
    Outcome {
        total,
        shares,
        fair_tenth,
        small,
        case,
    }
}

/// No tenant's share of served requests may be under a quarter of the share over all requests.
fn check_quarter(excessive: &[usize], node_weights: &[usize]) {
    let outcome = play(excessive, node_weights);
    let quarter = outcome.total.share() / 4.0;
    let is_served = outcome.shares.iter().all(|share| *share >= quarter);
    assert!(is_served, "{}", outcome.case);
}

#[test]
fn excess_of_a_smaller_one() {
    check_quarter(&[5], &[1; 8]);
}

#[test]
fn excess_of_two() {
    check_quarter(&[0, 3], &[1; 8]);
}

#[test]
fn excess_of_two_at_unequal_nodes() {
    check_quarter(&[0, 3], &UNEQUAL);
}

/// The worst tenth of tenants must get what a fair share gives it, and small tenants' requests must be on time.
#[test]
fn fair_share_of_the_worst() {
    for node_weights in [[1; 8], UNEQUAL] {
        let outcome = play(&[0], &node_weights);
        let quarter = outcome.total.share() / 4.0;
        let case = &outcome.case;
        assert!(
            outcome.shares.iter().all(|share| *share >= quarter),
            "{case}"
        );
        let tenth = mean_of_worst_tenth(outcome.shares.clone());
        assert!(tenth >= outcome.fair_tenth, "{case}");
        assert!(outcome.small.on_time_share() >= SMALL_ON_TIME, "{case}");
    }
}

/// Sends a request of a tenant.
fn arrive(dispatcher: &mut Dispatcher, tenant: &str, tenant_priority: u8) -> Decision {
    let service = Name::from(SERVICE);
    let request = Arrival {
        tenant: Some(tenant.into()),
        tenant_priority,
        ..arrival(&service, 1_000, 5_000)
    };
    dispatcher.arrive(0, request)
}

fn ticket(decision: Decision) -> TicketKey {
    match decision {
        Decision::Wait(ticket) => ticket,
        other => panic!("expected a wait, got {other:?}"),
    }
}

/// Returns a node whose only slot runs a request of the large tenant, with runs of 300 ms: three more fit in the goal.
fn busy_node() -> Dispatcher {
    let mut dispatcher = Dispatcher::new("dc-a".into());
    dispatcher
        .selector_mut()
        .set_target(target("t0", "dc-a", 1));
    for _ in 0..2 {
        let Decision::Start(key) = arrive(&mut dispatcher, "large", 1) else {
            panic!("the slot is free");
        };
        let (work, outcome) = (WorkKind::Online, AttemptOutcome::Answered);
        dispatcher.end(0, SERVICE, key, work, outcome, 300);
    }
    arrive(&mut dispatcher, "large", 1);
    dispatcher
}

/// A request that the fair order pushes out of its goal must not be held until its deadline.
#[test]
fn backlog_of_another() {
    let mut dispatcher = busy_node();
    let queued: Vec<_> = (0..3)
        .map(|_| ticket(arrive(&mut dispatcher, "large", 1)))
        .collect();
    let fourth = arrive(&mut dispatcher, "large", 1);
    assert!(matches!(fourth, Decision::Reject(it) if it.ahead == 3));
    ticket(arrive(&mut dispatcher, "small", 1));
    let displaced = dispatcher.dispatch_waiting(0);
    assert_eq!(displaced.len(), 1, "{displaced:?}");
    assert!(queued.contains(&displaced[0].ticket), "{displaced:?}");
    let rejection = displaced[0].outcome.as_ref().expect_err("no slot is free");
    assert!((100..=1_500).contains(&rejection.retry_after_ms));
}

/// A node whose queue holds a single request must not reject others for the whole backlog of its peers: its queue
/// would stay at one, and small tenants be rejected for the excess of others.
#[test]
fn queue_of_one() {
    let mut dispatcher = Dispatcher::new("dc-a".into());
    let selector = dispatcher.selector_mut();
    selector.set_target(target("t0", "dc-a", 20));
    let mut keys = Vec::new();
    for _ in 0..20 {
        let Decision::Start(key) = arrive(&mut dispatcher, "large", 1) else {
            panic!("the slot is free");
        };
        keys.push(key);
    }
    let (work, outcome) = (WorkKind::Online, AttemptOutcome::Answered);
    dispatcher.end(0, SERVICE, keys[0], work, outcome, 300);
    arrive(&mut dispatcher, "large", 1);
    ticket(arrive(&mut dispatcher, "large", 1));
    // Of these, 66 start within the goal of 1 s.
    let report = PeerReport {
        sender: 1,
        sequence: 1,
        waiting: vec![WaitingCount {
            service: eel_fleet::stable_hash(SERVICE),
            waiting: 100,
        }],
        ..PeerReport::default()
    };
    dispatcher.on_report(0, &report);
    ticket(arrive(&mut dispatcher, "small", 1));
}

/// A late request of a small tenant must not wait until its deadline behind the excess of another, which is always in
/// time. Those of the excess that are late still start last.
#[test]
fn late_but_due() {
    let mut dispatcher = busy_node();
    let service = Name::from(SERVICE);
    let mut send = |now_ms, tenant: &str, start_by_ms| {
        let request = Arrival {
            tenant: Some(tenant.into()),
            tenant_priority: 1,
            ..arrival(&service, start_by_ms, 9_000)
        };
        ticket(dispatcher.arrive(now_ms, request))
    };
    let late_large = send(0, "large", 400);
    let late_small = send(0, "small", 800);
    let large = [(); 2].map(|()| send(900, "large", 5_000));
    let key = dispatcher
        .selector()
        .key_of(target("t0", "dc-a", 1).incarnation());
    let key = key.expect("a target");
    let mut started = Vec::new();
    for now_ms in (900..2_100).step_by(300) {
        let (work, outcome) = (WorkKind::Online, AttemptOutcome::Answered);
        dispatcher.end(now_ms, SERVICE, key, work, outcome, 300);
        let dequeued = dispatcher.dispatch_waiting(now_ms);
        started.extend(dequeued.iter().map(|it| (it.ticket, it.outcome.is_ok())));
    }
    assert_eq!(started.len(), 4, "{started:?}");
    let place = |ticket| started.iter().position(|it| *it == (ticket, true));
    assert!(place(late_small) < place(large[1]), "{started:?}");
    assert_eq!(place(late_large), Some(3), "{started:?}");
}

#[test]
fn priority_before_fairness() {
    let mut dispatcher = busy_node();
    let large = ticket(arrive(&mut dispatcher, "large", 1));
    let small = ticket(arrive(&mut dispatcher, "small", 1));
    let urgent = [0; 2].map(|_| ticket(arrive(&mut dispatcher, "urgent", 0)));
    let rejected = dispatcher.dispatch_waiting(0);
    assert_eq!(rejected.len(), 1, "{rejected:?}");
    assert!([large, small].contains(&rejected[0].ticket));
    let key = dispatcher
        .selector()
        .key_of(target("t0", "dc-a", 1).incarnation());
    let (work, outcome) = (WorkKind::Online, AttemptOutcome::Answered);
    dispatcher.end(300, SERVICE, key.expect("a target"), work, outcome, 300);
    let started = dispatcher.dispatch_waiting(300);
    assert!(
        matches!(&started[..], [one] if urgent.contains(&one.ticket) && one.outcome.is_ok()),
        "{started:?}"
    );
}

/// Requests that are rejected together must not return together, nor later than callers honour.
#[test]
fn returns_are_spread() {
    let service = Name::from(SERVICE);
    for left_ms in [600, 1_500, 3_000, 60_000] {
        let mut dispatcher = busy_node();
        let delays = (0..200_u64).map(|number| {
            let request = Arrival {
                tie_breaker: eel_fleet::stable_hash(&number.to_string()),
                ..arrival(&service, 0, left_ms)
            };
            match dispatcher.arrive(0, request) {
                Decision::Reject(rejection) => rejection.retry_after_ms,
                other => panic!("expected a rejection, got {other:?}"),
            }
        });
        let delays: Vec<u64> = delays.collect();
        let latest_ms = (left_ms / 3).min(1_500);
        assert!(delays.iter().all(|it| (100..=latest_ms).contains(it)));
        let mut times = delays.clone();
        times.sort_unstable();
        times.dedup();
        assert!(times.len() > 10, "{times:?}");
    }
}

/// The flows of idle tenants must not use up memory.
#[test]
fn idle_flows_are_forgotten() {
    let mut order = FairOrder::default();
    let flow = |number: u32| Flow {
        priority: (0, 0),
        tenant: Some(format!("t{number}").into()),
    };
    for number in 0..1_000 {
        order.on_start(flow(number));
        order.on_start(flow(number));
        assert!(order.len() <= 2, "{} flows", order.len());
    }
    order.clear();
    assert!(order.is_empty());
}
