//! A model of callers, nodes and targets under shortage, without a network.
//!
//! Callers send at steps of five to one, 0.39 times the mean rate for 3.6 s and 1.91 times for 2.4 s. A rejected caller
//! returns at another node after the retry delay, but at the latest after a third of its remaining time. Nodes learn of one
//! another's load and of what limited targets were sent with a delay. Items of jobs run beside the requests.

use std::collections::{BTreeMap, HashMap};

use eel_fleet::{
    Arrival, AttemptOutcome, Decision, Dispatcher, LimitNotice, LimitPeer, NamedLimit, PeerReport,
    RateLimit, Rejection, TargetKey, TicketKey, WorkKind,
};
use eel_types::Name;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::fixture::{SERVICE, arrival, target};

const SEED: u64 = 17;
const SLOTS: u32 = 8;
const ONLINE_RUN_MS: u64 = 720;
const ONLINE_RUN_S: f64 = 0.72;
const ITEM_RUN_MS: u64 = 2_000;
/// The step of the model, and the time after which a report or a notice has arrived.
const STEP_MS: u64 = 10;
const STEP_S: f64 = 0.01;
const FULL_NOTICE_INTERVAL_MS: u64 = 500;
/// How long after the arrival the request must be sent to a target, so that its first event is in time.
const GOAL_MS: u64 = 260;
const DEADLINE_MS: u64 = 4_000;
const FIRST_RESPONSE_MS: u64 = 40;
const CYCLE_MS: u64 = 6_000;
const BURST_FROM_MS: u64 = 3_600;
const LOW_RATE: f64 = 0.39;
const HIGH_RATE: f64 = 1.91;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Shape {
    /// How the callers spread over the nodes, in parts.
    pub node_weights: Vec<usize>,
    pub targets: usize,
    /// The mean rates of the tenants' requests, per second.
    pub tenants_per_s: Vec<f64>,
    /// Whether the nodes know the tenants.
    pub knows_tenants: bool,
    /// The rate that each target names; `None` if they name none.
    pub limit_per_s: Option<f64>,
    /// The mean rate of items.
    pub items_per_s: f64,
    /// The share of requests on an urgent route, in percent; the others have a lower priority.
    pub urgent_percent: u32,
    pub duration_ms: u64,
}

/// What the callers of one tenant got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub sent: u32,
    /// The requests that a target ran before their callers left.
    pub ran: u32,
    /// The requests that a target got within the goal, counted from the caller's first attempt.
    pub on_time: u32,
    /// The requests that a target got within the goal, counted from the attempt that the target got.
    pub in_goal: u32,
}

impl Served {
    pub fn sum(parts: &[Self]) -> Self {
        parts.iter().fold(Self::default(), |sum, it| Self {
            sent: sum.sent + it.sent,
            ran: sum.ran + it.ran,
            on_time: sum.on_time + it.on_time,
            in_goal: sum.in_goal + it.in_goal,
        })
    }

    /// Returns the share of the requests that was served.
    pub fn share(&self) -> f64 {
        f64::from(self.ran) / f64::from(self.sent.max(1))
    }

    /// Returns the share of the requests that was served on time.
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.sent.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: u64,
    tenant: usize,
    is_urgent: bool,
    sent_ms: u64,
    /// When the last attempt arrived at its node.
    arrived_ms: u64,
    node: usize,
}

struct Run {
    target: usize,
    /// `None` for an item.
    call: Option<Call>,
    node: usize,
    key: TargetKey,
    work: WorkKind,
    sent_ms: u64,
    /// `None` while it waits at the target.
    ends_ms: Option<u64>,
    /// When the first event is still to come; `None` before the target has admitted it and once it has come.
    answer_ms: Option<u64>,
}

pub struct Model {
    shape: Shape,
    rng: SmallRng,
    nodes: Vec<Dispatcher>,
    /// The nodes of the parts in which the callers are divided.
    parts: Vec<usize>,
    waiting: Vec<HashMap<TicketKey, Call>>,
    returning: BTreeMap<u64, Vec<Call>>,
    running: Vec<Run>,
    next_id: u64,
    items_due: f64,
    pub tenants: Vec<Served>,
    pub urgent: Served,
    pub items_done: u32,
    /// When targets got requests and items, in the order of the starts.
    pub starts: Vec<(u64, WorkKind)>,
    /// The answers that told a caller to return.
    pub rejected: u32,
}

impl Model {
    pub fn run(shape: Shape) -> Self {
        let nodes = shape.node_weights.len();
        let weights = shape.node_weights.iter().enumerate();
        let parts = weights.flat_map(|(node, weight)| std::iter::repeat_n(node, *weight));
        let mut model = Self {
            rng: SmallRng::seed_from_u64(SEED),
            nodes: (0..nodes).map(|own| dispatcher(&shape, own)).collect(),
            parts: parts.collect(),
            waiting: (0..nodes).map(|_| HashMap::new()).collect(),
            returning: BTreeMap::new(),
            running: Vec::new(),
            next_id: 0,
            items_due: 0.0,
            tenants: vec![Served::default(); shape.tenants_per_s.len()],
            urgent: Served::default(),
            items_done: 0,
            starts: Vec::new(),
            rejected: 0,
            shape,
        };
        for now_ms in (0..model.shape.duration_ms).step_by(10) {
            model.exchange(now_ms);
            model.end_runs(now_ms);
            for node in 0..nodes {
                model.dispatch(now_ms, node);
            }
            model.send_new(now_ms);
            while let Some(entry) = model.returning.first_entry()
                && *entry.key() <= now_ms
            {
                for call in entry.remove() {
                    model.arrive(now_ms, call);
                }
            }
            model.run_items(now_ms);
            model.admit(now_ms);
        }
        model
    }

    /// Returns what all callers together got.
    pub fn total(&self) -> Served {
        Served::sum(&self.tenants)
    }

    fn send_new(&mut self, now_ms: u64) {
        let factor = rate_factor(now_ms) * STEP_S;
        for tenant in 0..self.tenants.len() {
            let mut expected = self.shape.tenants_per_s[tenant] * factor;
            while expected > 0.0 {
                let is_sent = self.rng.random_bool(expected.min(1.0));
                expected -= 1.0;
                if !is_sent {
                    continue;
                }
                self.next_id += 1;
                let call = Call {
                    id: self.next_id,
                    tenant,
                    is_urgent: self.rng.random_range(0..100) < self.shape.urgent_percent,
                    sent_ms: now_ms,
                    arrived_ms: now_ms,
                    node: usize::MAX,
                };
                self.tenants[tenant].sent += 1;
                self.urgent.sent += u32::from(call.is_urgent);
                self.arrive(now_ms, call);
            }
        }
    }

    fn arrive(&mut self, now_ms: u64, mut call: Call) {
        call.arrived_ms = now_ms;
        call.node = self.other_node(call.node);
        let service = Name::from(SERVICE);
        let left_ms = (call.sent_ms + DEADLINE_MS).saturating_sub(now_ms);
        let tenant = self.shape.knows_tenants.then(|| tenant_name(call.tenant));
        let request = Arrival {
            tenant,
            priority: u8::from(!call.is_urgent),
            tie_breaker: eel_fleet::stable_hash(&call.id.to_string()),
            ..arrival(
                &service,
                now_ms + GOAL_MS.min(left_ms),
                now_ms + left_ms.saturating_sub(FIRST_RESPONSE_MS),
            )
        };
        match self.nodes[call.node].arrive(now_ms, request) {
            Decision::Start(key) => self.start(now_ms, call, key),
            Decision::Wait(ticket) => {
                self.waiting[call.node].insert(ticket, call);
                if self.shape.knows_tenants {
                    self.dispatch(now_ms, call.node);
                }
            }
            Decision::Reject(rejection) => self.reject(now_ms, call, &rejection),
        }
    }

    /// Returns a node for a caller that was at `before`.
    fn other_node(&mut self, before: usize) -> usize {
        loop {
            let node = self.parts[self.rng.random_range(0..self.parts.len())];
            if node != before || self.nodes.len() == 1 {
                return node;
            }
        }
    }

    fn dispatch(&mut self, now_ms: u64, node: usize) {
        for dequeued in self.nodes[node].dispatch_waiting(now_ms) {
            let call = self.waiting[node].remove(&dequeued.ticket);
            let call = call.expect("a waiting call");
            match dequeued.outcome {
                Ok(key) => self.start(now_ms, call, key),
                Err(rejection) => {
                    self.reject(now_ms, call, &rejection);
                }
            }
        }
    }

    fn start(&mut self, now_ms: u64, call: Call, key: TargetKey) {
        self.send(now_ms, call.node, key, Some(call));
    }

    /// Sends a call, or an item, to a target, where it waits if no slot is free.
    fn send(&mut self, now_ms: u64, node: usize, key: TargetKey, call: Option<Call>) {
        let work = match call {
            Some(_) => WorkKind::Online,
            None => WorkKind::Batch,
        };
        self.starts.push((now_ms, work));
        let entry = self.nodes[node].selector().entry(key).expect("a target");
        self.running.push(Run {
            target: entry.id[1..].parse().expect("a number"),
            call,
            ends_ms: None,
            node,
            key,
            work,
            sent_ms: now_ms,
            answer_ms: None,
        });
    }

    /// Admits what was sent to targets that have a free slot, in order of arrival.
    fn admit(&mut self, now_ms: u64) {
        let mut used = vec![0; self.shape.targets];
        for run in self.running.iter().filter(|it| it.ends_ms.is_some()) {
            used[run.target] += 1;
        }
        for run in self.running.iter_mut().filter(|it| it.ends_ms.is_none()) {
            if used[run.target] >= SLOTS {
                continue;
            }
            used[run.target] += 1;
            run.ends_ms = Some(now_ms + run_ms(run.work));
            run.answer_ms = Some(now_ms + FIRST_RESPONSE_MS);
            let Some(call) = run.call else {
                continue;
            };
            let urgent = call.is_urgent.then_some(&mut self.urgent);
            let parts = urgent.into_iter().chain([&mut self.tenants[call.tenant]]);
            for served in parts {
                served.ran += 1;
                served.on_time += u32::from(now_ms <= call.sent_ms + GOAL_MS);
                served.in_goal += u32::from(now_ms <= call.arrived_ms + GOAL_MS);
            }
        }
    }

    fn reject(&mut self, now_ms: u64, call: Call, rejection: &Rejection) {
        self.rejected += 1;
        let left_ms = (call.sent_ms + DEADLINE_MS).saturating_sub(now_ms);
        let delay_ms = rejection.retry_after_ms.min(left_ms / 3);
        if left_ms > FIRST_RESPONSE_MS + STEP_MS {
            let at_ms = now_ms + delay_ms.max(STEP_MS);
            self.returning.entry(at_ms).or_default().push(call);
        }
    }

    fn end_runs(&mut self, now_ms: u64) {
        let limit = self.shape.limit_per_s.and_then(RateLimit::from_per_s);
        let named = limit.map_or(NamedLimit::Absent, NamedLimit::Rate);
        for run in &mut self.running {
            if run.answer_ms.is_some_and(|it| it <= now_ms) {
                run.answer_ms = None;
                let selector = self.nodes[run.node].selector_mut();
                selector.on_response(run.key);
                selector.on_limit(now_ms, run.key, run.sent_ms, named);
            }
        }
        let ended = self
            .running
            .extract_if(.., |run| run.ends_ms.is_some_and(|it| it <= now_ms));
        for run in ended.collect::<Vec<_>>() {
            let run_ms = now_ms - run.sent_ms;
            let outcome = AttemptOutcome::Answered;
            self.nodes[run.node].end(now_ms, SERVICE, run.key, run.work, outcome, run_ms);
            self.items_done += u32::from(run.work == WorkKind::Batch);
        }
    }

    /// Starts due items, and cancels those whose slots online requests have taken.
    fn run_items(&mut self, now_ms: u64) {
        self.items_due += self.shape.items_per_s * STEP_S;
        let service = Name::from(SERVICE);
        let nodes = self.nodes.len();
        for node in 0..nodes {
            while self.items_due >= 1.0
                && let Some(key) =
                    self.nodes[node].start_batch(now_ms, &service, None, self.rng.random())
            {
                self.items_due -= 1.0;
                self.send(now_ms, node, key, None);
            }
        }
        let mut at = self.running.len();
        while at > 0 {
            at -= 1;
            let run = &self.running[at];
            let selector = self.nodes[run.node].selector();
            if run.work == WorkKind::Batch
                && selector.excess_batch(now_ms, run.key, run.node as u64) > 0
            {
                let run = self.running.remove(at);
                self.items_due += 1.0;
                self.nodes[run.node].end(
                    now_ms,
                    SERVICE,
                    run.key,
                    WorkKind::Batch,
                    AttemptOutcome::Cancelled,
                    0,
                );
            }
        }
    }

    /// Exchanges load reports and notices of limits between all nodes.
    fn exchange(&mut self, now_ms: u64) {
        for sender in 0..self.nodes.len() {
            let node = &mut self.nodes[sender];
            let report = PeerReport {
                sender: sender as u64,
                sequence: now_ms + 1,
                targets: node.selector().own_loads(),
                waiting: node.own_waiting(now_ms),
                ..PeerReport::default()
            };
            let is_full = now_ms % FULL_NOTICE_INTERVAL_MS < STEP_MS;
            let notice = LimitNotice {
                sender: sender as u64,
                targets: node.selector_mut().limit_news(now_ms, is_full),
                ..LimitNotice::default()
            };
            for receiver in (0..self.nodes.len()).filter(|it| *it != sender) {
                self.nodes[receiver].on_report(now_ms, &report);
                let selector = self.nodes[receiver].selector_mut();
                selector.on_limit_notice(now_ms, &notice);
            }
        }
    }
}

/// Returns the rate of online requests as a multiple of the mean.
pub fn rate_factor(now_ms: u64) -> f64 {
    if now_ms % CYCLE_MS < BURST_FROM_MS {
        LOW_RATE
    } else {
        HIGH_RATE
    }
}

/// Returns how many requests the targets run a second.
pub fn capacity_per_s(targets: usize) -> f64 {
    f64::from(u32::try_from(targets).expect("few targets")) * f64::from(SLOTS) / ONLINE_RUN_S
}

fn run_ms(work: WorkKind) -> u64 {
    match work {
        WorkKind::Online => ONLINE_RUN_MS,
        WorkKind::Batch => ITEM_RUN_MS,
    }
}

fn tenant_name(tenant: usize) -> Name {
    format!("tenant-{tenant}").into()
}

fn node_name(node: usize) -> Name {
    format!("node-{node}").into()
}

fn dispatcher(shape: &Shape, own: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("dc-a".into());
    let nodes = shape.node_weights.len();
    let others = (0..nodes).filter(|it| *it != own);
    let peers = others.clone().map(|peer| LimitPeer {
        name: node_name(peer),
        incarnation: peer as u64,
        is_reachable: true,
    });
    let selector = dispatcher.selector_mut();
    selector.set_nodes(&node_name(own), peers.collect());
    let names: Vec<Name> = others.map(node_name).collect();
    selector.set_batch_nodes(&node_name(own), &names);
    for number in 0..shape.targets {
        selector.set_target(target(&format!("t{number}"), "dc-a", SLOTS));
    }
    dispatcher
}
