//! A model of nodes, their network and the callers of tenants with quotas.

use std::collections::{BTreeMap, VecDeque};

use eel_fleet::{NodeQuota, QuotaNotice, QuotaPeer, QuotaTable};
use eel_types::Name;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// The time between two steps of the model.
const STEP_MS: u64 = 5;
/// The shortest time between two notices of a node, and the time between two full ones.
const NOTICE_MS: u64 = 50;
const FULL_NOTICE_MS: u64 = 1_000;
/// How long a node that sends no reports counts as reachable, and how long it stays listed.
const REPORT_TTL_MS: u64 = 1_000;
const LEASE_MS: u64 = 2_000;
/// The window of the stated bound.
pub const WINDOW_MS: u64 = 5_000;
/// How long callers try again.
const PATIENCE_MS: u64 = 5_000;
/// When tenants begin to overload: the nodes have tokens by then.
pub const OVERLOAD_MS: u64 = 12_000;
/// When requests below the limit begin to be counted: the nodes have started, and have their tokens.
const COUNTED_MS: u64 = 36_000;
/// The time after which callers move to other nodes, and the cycle of the load with its peak.
const MOVE_MS: u64 = 3_000;
const CYCLE_MS: u64 = 6_000;
const PEAK_MS: u64 = 2_400;
/// The time until a request that does not run gives its token back.
const GIVE_BACK_MS: u64 = 300;

/// What happens at a time of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The nodes are in so many groups that do not reach one another; each reaches the store.
    Partition(usize),
    /// The same, and only the first group reaches the store.
    PartitionFromStore(usize),
    /// All reach one another and the store again.
    Heal,
    /// All nodes start again at once, under the same names or others.
    RestartAll { renamed: bool },
    /// So many nodes join.
    Join(usize),
    /// So many nodes end.
    End(usize),
    /// So many nodes do nothing for a time, in ms.
    Freeze(usize, u64),
    /// Every limit is divided.
    Lower(u64),
    /// All nodes learn of changes of the store so late, in ms.
    StaleList(u64),
}

/// The fleet and its callers.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub nodes: usize,
    pub tenants: usize,
    /// The highest rate of a tenant, in requests a second; the n-th tenant has its n-th part, at least 1.
    pub top_rate: u64,
    /// What overloading tenants send as a multiple of their limit, in percent; every tenant with a number that this divides
    /// overloads.
    pub overload_percent: u64,
    pub overload_every: usize,
    pub lost_percent: u32,
    /// The share of datagrams that arrive 1 to 3 s late.
    pub late_percent: u32,
    /// Whether each node keeps an equal share alone.
    pub equal_shares: bool,
}

pub const CALM: Shape = Shape {
    nodes: 8,
    tenants: 74,
    top_rate: 92,
    overload_percent: 470,
    overload_every: usize::MAX,
    lost_percent: 0,
    late_percent: 0,
    equal_shares: false,
};

/// What is counted of one tenant.
#[derive(Default)]
pub struct Outcome {
    pub quota: (u64, u64),
    /// When requests ran, in ms.
    pub runs: Vec<u64>,
    pub is_overloading: bool,
    /// Requests that one bucket of all nodes would admit, those of them that were refused at first, and those that got no
    /// token within 5 s.
    pub within: usize,
    pub refused: usize,
    pub lost: usize,
    ideal: u64,
}

struct Node {
    name: Name,
    incarnation: u64,
    table: QuotaTable,
    group: usize,
    started_ms: u64,
    frozen_until_ms: u64,
    noticed_ms: u64,
    full_ms: u64,
    quota_version: usize,
    /// Tokens by tenant, if equal shares are kept.
    shares: Vec<u64>,
}

struct Retry {
    tenant: usize,
    first_ms: u64,
    is_within: bool,
}

pub struct Model {
    shape: Shape,
    rng: SmallRng,
    now_ms: u64,
    nodes: Vec<Node>,
    /// Entries that left the list, with the name and the time.
    lists: VecDeque<(u64, Vec<(Name, u64)>)>,
    ended: Vec<(u64, Name, u64)>,
    next_incarnation: u64,
    transit: BTreeMap<u64, Vec<(u64, QuotaNotice)>>,
    retries: BTreeMap<u64, Vec<Retry>>,
    give_backs: BTreeMap<u64, Vec<(u64, usize)>>,
    quotas: Vec<Vec<(Name, NodeQuota)>>,
    quotas_changed_ms: u64,
    stale_ms: u64,
    has_store: Option<usize>,
    weights: Vec<usize>,
    pub outcomes: Vec<Outcome>,
    pub datagrams: u64,
    pub bytes: u64,
}

impl Model {
    pub fn new(shape: Shape, seed: u64) -> Self {
        let quotas: Vec<(Name, NodeQuota)> = (0..shape.tenants)
            .map(|tenant| {
                let rate = (shape.top_rate / (tenant as u64 + 1)).max(1);
                let quota = NodeQuota {
                    per_1000_s: rate * 1_000,
                    burst: rate,
                };
                (format!("t-{tenant}").into(), quota)
            })
            .collect();
        let outcome = |(tenant, (_, quota)): (usize, &(Name, NodeQuota))| Outcome {
            quota: (quota.per_1000_s, quota.burst),
            is_overloading: tenant % shape.overload_every == 0 && shape.overload_every < usize::MAX,
            ..Outcome::default()
        };
        let outcomes = quotas.iter().enumerate().map(outcome).collect();
        let mut model = Self {
            shape,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            nodes: Vec::new(),
            lists: VecDeque::new(),
            ended: Vec::new(),
            next_incarnation: 1,
            transit: BTreeMap::new(),
            retries: BTreeMap::new(),
            give_backs: BTreeMap::new(),
            quotas: vec![quotas],
            quotas_changed_ms: 0,
            stale_ms: 20,
            has_store: None,
            weights: Vec::new(),
            outcomes,
            datagrams: 0,
            bytes: 0,
        };
        for number in 0..shape.nodes {
            model.add(format!("node-{number}").into());
        }
        model
    }

    fn add(&mut self, name: Name) {
        let mut node = Node {
            name,
            incarnation: self.next_incarnation,
            table: QuotaTable::default(),
            group: 0,
            started_ms: self.now_ms,
            frozen_until_ms: 0,
            noticed_ms: 0,
            full_ms: 0,
            quota_version: self.quotas.len() - 1,
            shares: vec![0; self.shape.tenants],
        };
        self.next_incarnation += 1;
        let quotas = self.quotas[node.quota_version].iter();
        node.table
            .set_quotas(self.now_ms, quotas.map(|(name, quota)| (name, *quota)));
        self.nodes.push(node);
    }

    pub fn apply(&mut self, fault: Fault) {
        let count = self.nodes.len();
        match fault {
            Fault::Partition(groups) | Fault::PartitionFromStore(groups) => {
                for (number, node) in self.nodes.iter_mut().enumerate() {
                    node.group = number % groups;
                }
                self.has_store = matches!(fault, Fault::PartitionFromStore(_)).then_some(0);
            }
            Fault::Heal => {
                self.nodes.iter_mut().for_each(|it| it.group = 0);
                self.has_store = None;
            }
            Fault::RestartAll { renamed } => {
                let old: Vec<Node> = self.nodes.drain(..).collect();
                for node in old {
                    let name = if renamed {
                        format!("{}-again", node.name).into()
                    } else {
                        node.name.clone()
                    };
                    self.ended.push((self.now_ms, node.name, node.incarnation));
                    self.add(name);
                }
            }
            Fault::Join(more) => {
                for number in count..count + more {
                    self.add(format!("node-{number}").into());
                }
            }
            Fault::End(fewer) => {
                for node in self.nodes.drain(..fewer) {
                    self.ended.push((self.now_ms, node.name, node.incarnation));
                }
            }
            Fault::Freeze(frozen, for_ms) => {
                let nodes = self.nodes.iter_mut().take(frozen);
                nodes.for_each(|it| it.frozen_until_ms = self.now_ms + for_ms);
            }
            Fault::Lower(divisor) => {
                let mut quotas = self.quotas.last().cloned().unwrap_or_default();
                for (_, quota) in &mut quotas {
                    quota.per_1000_s = (quota.per_1000_s / divisor).max(1_000);
                    quota.burst = (quota.burst / divisor).max(1);
                }
                self.quotas.push(quotas);
                self.quotas_changed_ms = self.now_ms;
            }
            Fault::StaleList(stale_ms) => self.stale_ms = stale_ms,
        }
    }

    /// Returns the entries in the store: those of nodes that reach it, and those whose lease has not expired.
    fn listed(&self) -> Vec<(Name, u64)> {
        let live = self.nodes.iter().filter(|it| self.reaches_store(it));
        let mut entries: Vec<(Name, u64)> =
            live.map(|it| (it.name.clone(), it.incarnation)).collect();
        for (ended_ms, name, incarnation) in &self.ended {
            let is_replaced = entries.iter().any(|(it, _)| it == name);
            if self.now_ms < ended_ms + LEASE_MS && !is_replaced {
                entries.push((name.clone(), *incarnation));
            }
        }
        entries
    }

    fn reaches_store(&self, node: &Node) -> bool {
        self.has_store.is_none_or(|group| group == node.group)
    }

    pub fn run(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.step();
            self.now_ms += STEP_MS;
        }
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        if now_ms.is_multiple_of(50) {
            let list = self.listed();
            self.lists.push_back((now_ms, list));
            if self.lists.len() > 200 {
                self.lists.pop_front();
            }
        }
        if now_ms.is_multiple_of(MOVE_MS) {
            self.weights = (0..self.shape.tenants)
                .map(|_| self.rng.random_range(0..1_000))
                .collect();
        }
        for number in 0..self.nodes.len() {
            if self.nodes[number].frozen_until_ms <= now_ms && !self.shape.equal_shares {
                self.update_node(number);
            }
        }
        self.deliver();
        let later = self.give_backs.split_off(&(now_ms + 1));
        let due = std::mem::replace(&mut self.give_backs, later);
        for (incarnation, tenant) in due.into_values().flatten() {
            let name = self.quotas[0][tenant].0.clone();
            if let Some(node) = self
                .nodes
                .iter_mut()
                .find(|it| it.incarnation == incarnation)
            {
                node.table.give_back(now_ms, &name);
            }
        }
        self.send_requests();
    }

    fn update_node(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let node = &self.nodes[number];
        let applies_at_ms = self.quotas_changed_ms + (node.incarnation * 371) % 3_000;
        let version = self.quotas.len() - 1;
        let learns = node.quota_version < version && now_ms >= applies_at_ms;
        if now_ms >= node.noticed_ms + NOTICE_MS {
            // A node reads the list as it starts; what changes later reaches it late.
            let seen_ms = now_ms.saturating_sub(self.stale_ms).max(node.started_ms);
            let reaches_store = self.reaches_store(node);
            let list = self.lists.iter().rev().find(|(at_ms, _)| *at_ms <= seen_ms);
            let list = list.map(|(_, list)| list.clone()).unwrap_or_default();
            // A node that restarts finds the entry of its earlier incarnation.
            let earlier = self
                .ended
                .iter()
                .filter(|(ended_ms, name, _)| *name == node.name && now_ms < ended_ms + LEASE_MS);
            let earlier = earlier.map(|(_, name, incarnation)| (name.clone(), *incarnation));
            let others = list.into_iter().filter(|(name, _)| *name != node.name);
            let others = others.chain(earlier);
            let peers = others.map(|(name, incarnation)| {
                let peer = self.nodes.iter().find(|it| it.incarnation == incarnation);
                let is_reachable = peer.is_some_and(|it| {
                    it.group == node.group
                        && now_ms < it.frozen_until_ms.max(now_ms) + REPORT_TTL_MS
                        && now_ms >= it.started_ms + self.stale_ms
                });
                QuotaPeer {
                    name,
                    incarnation,
                    is_reachable,
                }
            });
            let peers: Vec<QuotaPeer> = peers.collect();
            let node = &mut self.nodes[number];
            if reaches_store || node.full_ms == 0 {
                let own = node.name.clone();
                node.table.set_nodes(now_ms, &own, peers, reaches_store);
            }
            self.send_notices(number);
        }
        if learns {
            let node = &mut self.nodes[number];
            node.quota_version = version;
            let quotas = self.quotas[version].iter();
            node.table
                .set_quotas(now_ms, quotas.map(|(name, quota)| (name, *quota)));
        }
    }

    fn send_notices(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let own = self.nodes[number].incarnation;
        let (group, shape) = (self.nodes[number].group, self.shape);
        let receivers: Vec<u64> = self
            .nodes
            .iter()
            .map(|it| it.incarnation)
            .filter(|it| *it != own)
            .collect();
        let node = &mut self.nodes[number];
        node.noticed_ms = now_ms;
        let is_full = now_ms >= node.full_ms + FULL_NOTICE_MS;
        if is_full {
            node.full_ms = now_ms;
        }
        for (receiver, notice) in node.table.news(now_ms, own, &receivers, is_full) {
            for part in notice.split(1_400) {
                self.datagrams += 1;
                self.bytes += part.encode().expect("a datagram").len() as u64;
                let reaches = self
                    .nodes
                    .iter()
                    .any(|it| it.incarnation == receiver && it.group == group);
                if !reaches || self.rng.random_range(0..100) < shape.lost_percent {
                    continue;
                }
                let delay_ms = if self.rng.random_range(0..100) < shape.late_percent {
                    self.rng.random_range(1_000..3_000)
                } else {
                    self.rng.random_range(5..25)
                };
                self.transit
                    .entry(now_ms + delay_ms)
                    .or_default()
                    .push((receiver, part));
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.transit.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.transit, later);
        for (receiver, notice) in due.into_values().flatten() {
            let Some(node) = self.nodes.iter_mut().find(|it| it.incarnation == receiver) else {
                continue;
            };
            if node.frozen_until_ms > self.now_ms {
                let at_ms = node.frozen_until_ms;
                self.transit
                    .entry(at_ms)
                    .or_default()
                    .push((receiver, notice));
            } else {
                node.table.on_notice(self.now_ms, &notice);
            }
        }
    }

    fn send_requests(&mut self) {
        let now_ms = self.now_ms;
        let later = self.retries.split_off(&(now_ms + 1));
        let due = std::mem::replace(&mut self.retries, later);
        for retry in due.into_values().flatten() {
            let number = self.rng.random_range(0..self.nodes.len());
            self.request(number, retry);
        }
        for tenant in 0..self.shape.tenants {
            let outcome = &mut self.outcomes[tenant];
            let (per_1000_s, burst) = outcome.quota;
            // 1.15 times the limit at the peak, and a mean of 0.625 times.
            let usual_percent = if now_ms % CYCLE_MS >= CYCLE_MS - PEAK_MS {
                115
            } else {
                27
            };
            let percent = if outcome.is_overloading && now_ms >= OVERLOAD_MS {
                self.shape.overload_percent
            } else {
                usual_percent
            };
            outcome.ideal = (outcome.ideal + per_1000_s * STEP_MS).min(burst * 1_000_000);
            let expected = per_1000_s * STEP_MS * percent / 100;
            let count = expected / 1_000_000
                + u64::from(self.rng.random_range(0..1_000_000) < expected % 1_000_000);
            for _ in 0..count {
                let outcome = &mut self.outcomes[tenant];
                let has_token = outcome.ideal >= 1_000_000;
                if has_token {
                    outcome.ideal -= 1_000_000;
                }
                let is_within = has_token && now_ms >= COUNTED_MS;
                outcome.within += usize::from(is_within);
                let number = self.node_of(tenant);
                self.request(
                    number,
                    Retry {
                        tenant,
                        first_ms: now_ms,
                        is_within,
                    },
                );
            }
        }
    }

    /// Two thirds of an overloading tenant's callers, and most of the others', sit at few nodes.
    fn node_of(&mut self, tenant: usize) -> usize {
        let count = self.nodes.len();
        let spread = if self.outcomes[tenant].is_overloading {
            count
        } else {
            count.div_ceil(3)
        };
        let is_near = self.rng.random_range(0..10) < 7;
        let offset = self
            .rng
            .random_range(0..if is_near { spread } else { count });
        (self.weights[tenant] + offset) % count
    }

    fn request(&mut self, number: usize, retry: Retry) {
        let (now_ms, tenant) = (self.now_ms, retry.tenant);
        let is_late = now_ms > retry.first_ms + PATIENCE_MS;
        if is_late {
            self.outcomes[tenant].lost += usize::from(retry.is_within);
            return;
        }
        if self.nodes[number].frozen_until_ms > now_ms {
            let at_ms = self.nodes[number].frozen_until_ms;
            self.retries.entry(at_ms).or_default().push(retry);
            return;
        }
        let admitted = if self.shape.equal_shares {
            self.admit_equal(number, tenant)
        } else {
            let name = self.quotas[0][tenant].0.clone();
            self.nodes[number]
                .table
                .admit(now_ms, &name)
                .map_err(|it| it.retry_after_ms)
        };
        match admitted {
            Ok(()) if self.rng.random_range(0..100) < 5 => {
                let at_ms = now_ms + GIVE_BACK_MS;
                let incarnation = self.nodes[number].incarnation;
                self.give_backs
                    .entry(at_ms)
                    .or_default()
                    .push((incarnation, tenant));
            }
            Ok(()) => self.outcomes[tenant].runs.push(now_ms),
            Err(retry_after_ms) => {
                let is_first = retry.first_ms == now_ms;
                self.outcomes[tenant].refused += usize::from(is_first && retry.is_within);
                self.retries
                    .entry(now_ms + retry_after_ms.max(STEP_MS))
                    .or_default()
                    .push(retry);
            }
        }
    }

    /// Admits a request by a node's equal share; the time of the last request is kept with the tokens.
    fn admit_equal(&mut self, number: usize, tenant: usize) -> Result<(), u64> {
        let (per_1000_s, burst) = self.outcomes[tenant].quota;
        let count = self.nodes.len() as u64;
        // GCRA with whole requests: a share of less than one token admits one at a time.
        let interval_us = 1_000_000_000 * count / per_1000_s;
        let now_us = self.now_ms * 1_000;
        let tolerance_us = interval_us * (burst / count).saturating_sub(1);
        let next_us = self.nodes[number].shares[tenant].max(now_us);
        if next_us > now_us + tolerance_us {
            return Err((next_us - now_us - tolerance_us) / 1_000);
        }
        self.nodes[number].shares[tenant] = next_us + interval_us;
        Ok(())
    }
}

/// Returns the most requests that ran in a window of 5 s that begins at `from_ms` or later.
pub fn most_in_window(runs: &[u64], from_ms: u64) -> u64 {
    let (mut first, mut most) = (0, 0);
    for (last, at_ms) in runs.iter().enumerate() {
        while runs[first] < from_ms.max((at_ms + 1).saturating_sub(WINDOW_MS)) && first < last {
            first += 1;
        }
        if runs[first] >= from_ms {
            most = most.max(last - first + 1);
        }
    }
    most as u64
}

/// Returns the stated bound: 1.1 times what the rate gives in 5 s and the burst, and 20.
pub fn bound(per_1000_s: u64, burst: u64) -> u64 {
    (per_1000_s * 5 / 1_000 + burst) * 11 / 10 + 20
}
