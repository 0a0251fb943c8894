//! The quotas of all tenants at this node.

use std::collections::{BTreeMap, HashMap, HashSet};

use eel_types::Name;

use super::{
    QuotaNotice,
    bucket::{Bucket, TOKEN, whole_tokens},
    members::Members,
};
use crate::stable_hash;

/// The bounds of the time after which a refused request may return, in ms: the time in which tokens move between nodes, and
/// the time after which a caller would have given up.
const MIN_RETRY_MS: u64 = 200;
const MAX_RETRY_MS: u64 = 10_000;

/// How long a tenant that was dropped from the quotas does not count as new, in ms: it may have used its burst.
const DROPPED_TTL_MS: u64 = 60_000;

/// The limit on the rate of a tenant's requests at all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeQuota {
    /// The sustained rate, in requests per 1,000 s; at least 1.
    pub per_1000_s: u64,
    /// The number of requests that may come at once.
    pub burst: u64,
}

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaPeer {
    /// The name of the node.
    pub name: Name,
    /// The node's incarnation.
    pub incarnation: u64,
    /// Whether a load report of the node arrived recently.
    pub is_reachable: bool,
}

/// A request is beyond its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// When the request may return, in ms from now.
    pub retry_after_ms: u64,
    /// The tokens that this node has, in thousandths.
    pub level_milli: u64,
    /// How long ago the oldest level of a peer arrived, in ms; `None` if no peer has told its level.
    pub peer_age_ms: Option<u64>,
}

/// The quotas of all tenants, and the tokens of this node.
#[derive(Debug, Default)]
pub struct QuotaTable {
    buckets: HashMap<u64, Bucket>,
    /// Whether quotas were set before.
    has_quotas: bool,
    /// When tenants were dropped from the quotas, in ms.
    dropped_ms: HashMap<u64, u64>,
    members: Members,
    /// `sent_ms` of the newest notice of each node, by incarnation.
    heard: HashMap<u64, u64>,
}

impl QuotaTable {
    /// Sets the quotas, by tenant. A tenant that is new since the table before begins with all of its tokens, as no node can
    /// have used one; at the start of the node a tenant begins without.
    pub fn set_quotas<'a>(
        &mut self,
        now_ms: u64,
        quotas: impl IntoIterator<Item = (&'a Name, NodeQuota)>,
    ) {
        let mut before = std::mem::take(&mut self.buckets);
        let is_first = !std::mem::replace(&mut self.has_quotas, true);
        for (name, quota) in quotas {
            let tenant = stable_hash(name);
            let divisor = divisor(&self.members, tenant, quota);
            let bucket = before.remove(&tenant);
            let is_new = !is_first && bucket.is_none() && !self.dropped_ms.contains_key(&tenant);
            let mut bucket = bucket.unwrap_or_else(|| Bucket::new(now_ms, quota, divisor));
            if is_new {
                bucket.fill();
            }
            bucket.set(now_ms, quota, divisor);
            self.buckets.insert(tenant, bucket);
        }
        let dropped = before.into_keys().map(|tenant| (tenant, now_ms));
        self.dropped_ms.extend(dropped);
        self.dropped_ms
            .retain(|_, at_ms| now_ms < *at_ms + DROPPED_TTL_MS);
    }

    /// Sets this node's name, the other nodes, and whether this node reaches the store, or a peer that does.
    pub fn set_nodes(&mut self, now_ms: u64, own: &Name, peers: Vec<QuotaPeer>, has_contact: bool) {
        let was_restarted = self.members.is_restarted();
        if !self.members.set(now_ms, own, peers, has_contact) {
            return;
        }
        let is_restart = self.members.is_restarted() && !was_restarted;
        let members = &self.members;
        self.heard.retain(|&peer, _| members.contains(peer));
        for (&tenant, bucket) in &mut self.buckets {
            let quota = bucket.quota();
            bucket.set(now_ms, quota, divisor(members, tenant, quota));
            bucket.retain_peers(|peer| members.contains(peer));
            if is_restart && members.has_start_token(tenant) {
                bucket.add_start_token();
            }
        }
    }

    /// Returns whether no tenant has a quota.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Takes a token for a request of a tenant; a tenant without a quota needs none.
    ///
    /// # Errors
    ///
    /// [`QuotaRefusal`] if the tenant is over its quota.
    pub fn admit(&mut self, now_ms: u64, tenant: &str) -> Result<(), QuotaRefusal> {
        let Some(bucket) = self.buckets.get_mut(&stable_hash(tenant)) else {
            return Ok(());
        };
        if bucket.take(now_ms) {
            return Ok(());
        }
        let (token_ms, backlog_ms) = bucket.retry_times_ms(now_ms);
        let soonest_ms = token_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        // Requests that are refused together return over the time in which their tokens become available.
        let spread_ms = soonest_ms + backlog_ms.min(MAX_RETRY_MS);
        let jitter = stable_hash(&format!("{tenant} {now_ms} {}", bucket.refused));
        Err(QuotaRefusal {
            retry_after_ms: (soonest_ms + jitter % spread_ms).min(MAX_RETRY_MS),
            level_milli: bucket.level() / (TOKEN / 1_000),
            peer_age_ms: bucket.peer_age_ms(now_ms),
        })
    }

    /// Gives back the token of a request that is known not to have run.
    pub fn give_back(&mut self, now_ms: u64, tenant: &str) {
        if let Some(bucket) = self.buckets.get_mut(&stable_hash(tenant)) {
            bucket.give_back(now_ms);
        }
    }

    /// Applies a peer's notice; a notice of an unknown node is ignored.
    pub fn on_notice(&mut self, now_ms: u64, notice: &QuotaNotice) {
        if !self.members.contains(notice.sender) {
            return;
        }
        let heard = self.heard.entry(notice.sender).or_default();
        *heard = notice.sent_ms.max(*heard);
        for level in &notice.tenants {
            if let Some(bucket) = self.buckets.get_mut(&level.tenant) {
                let (sender, sent_ms) = (notice.sender, notice.sent_ms);
                bucket.on_level(now_ms, sender, sent_ms, notice.echo_ms, level);
            }
        }
    }

    /// Returns the notice to each of `receivers`, by incarnation; with `is_full` it has all tenants. Empty notices are left
    /// out. The granted tokens leave this node.
    pub fn news(
        &mut self,
        now_ms: u64,
        own: u64,
        receivers: &[u64],
        is_full: bool,
    ) -> BTreeMap<u64, QuotaNotice> {
        let mut notices: BTreeMap<u64, QuotaNotice> = BTreeMap::new();
        let all: HashSet<u64> = receivers.iter().copied().collect();
        for (&tenant, bucket) in &mut self.buckets {
            let grants: HashMap<u64, u64> = bucket
                .grants(now_ms, |it| all.contains(&it))
                .into_iter()
                .collect();
            let is_told = is_full || bucket.has_news(now_ms);
            if !is_told && grants.is_empty() {
                continue;
            }
            let level = bucket.tell(tenant, is_told);
            for receiver in receivers {
                let grant = grants.get(receiver).copied().unwrap_or(0);
                if !is_told && grant == 0 {
                    continue;
                }
                let notice = notices.entry(*receiver).or_insert_with(|| QuotaNotice {
                    token: 0,
                    sender: own,
                    sent_ms: now_ms,
                    echo_ms: self.heard.get(receiver).copied().unwrap_or(0),
                    tenants: Vec::new(),
                });
                notice.tenants.push(super::TenantLevel { grant, ..level });
            }
        }
        notices
    }
}

/// Returns the divisor of a quota that gives this node's part; the highest one if it has none.
fn divisor(members: &Members, tenant: u64, quota: NodeQuota) -> u64 {
    let divisor = members.divisor(tenant, whole_tokens(quota));
    divisor.unwrap_or(u64::MAX)
}
