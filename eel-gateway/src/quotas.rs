//! Keeps the quotas of tenants: admits requests, and exchanges notices between nodes on the socket of the load reports.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use eel_fleet::{NodeQuota, QuotaNotice, QuotaPeer, QuotaRefusal, QuotaTable};
use eel_table::{RouteTable, Tenant};
use eel_types::Name;
use eel_verdict::{Reason, Refusal};
use tokio::{
    net::UdpSocket,
    sync::Notify,
    time::{Instant, sleep},
};

use crate::{
    context::Context,
    reports::{MAX_DATAGRAM_BYTES, send_datagram},
};

/// The shortest time between two notices: load reports come more often, but tokens for this time are at hand.
const MIN_NOTICE_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two notices of all tenants.
const FULL_NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a tenant has no refusals before the next one is logged as the begin of its limitation, in ms.
const LOG_PAUSE_MS: u64 = 1_000;
/// The number of tenants with metrics of their own.
const MAX_LABELS: usize = 100;
/// The label of all other tenants in metrics.
const OTHER_LABEL: &str = "other";

/// The quotas of this node.
#[derive(Default)]
pub(crate) struct Quotas {
    inner: Mutex<Inner>,
    is_used: AtomicBool,
    /// Notified when the first tenant gets a quota.
    changed: Notify,
}

#[derive(Default)]
struct Inner {
    table: QuotaTable,
    /// The tenants that have metrics of their own.
    labels: HashSet<Name>,
    /// When each tenant was refused last, in ms.
    refused_ms: HashMap<Name, u64>,
}

impl Quotas {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the quotas of a new route table.
    pub(crate) fn set(&self, now_ms: u64, table: &RouteTable) {
        let tenants = table.tenants().map(|it| it.all()).unwrap_or_default();
        let quotas = tenants.iter().filter_map(|tenant| {
            let quota = tenant.quota?;
            let quota = NodeQuota {
                per_1000_s: quota.per_1000_s,
                burst: quota.burst,
            };
            Some((&tenant.name, quota))
        });
        let quotas: Vec<(&Name, NodeQuota)> = quotas.collect();
        let mut inner = self.lock();
        for (name, _) in &quotas {
            if inner.labels.len() < MAX_LABELS {
                inner.labels.insert((*name).clone());
            }
        }
        let is_kept = |name: &Name| quotas.iter().any(|(it, _)| *it == name);
        inner.refused_ms.retain(|name, _| is_kept(name));
        let is_used = !quotas.is_empty();
        inner.table.set_quotas(now_ms, quotas);
        drop(inner);
        self.is_used.store(is_used, Ordering::Relaxed);
        if is_used {
            self.changed.notify_one();
        }
    }

    fn is_used(&self) -> bool {
        self.is_used.load(Ordering::Relaxed)
    }
}

impl Inner {
    fn label<'a>(&self, tenant: &'a Name) -> &'a str {
        if self.labels.contains(tenant) {
            tenant
        } else {
            OTHER_LABEL
        }
    }
}

/// The token of one caller's request. It is given back when this is dropped, unless the request may have run.
pub(crate) struct QuotaPermit {
    context: Arc<Context>,
    tenant: Arc<Tenant>,
    may_have_run: bool,
}

impl QuotaPermit {
    /// Records whether the request may have run at a target.
    pub(crate) fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        if self.may_have_run {
            return;
        }
        let now_ms = self.context.clock.now_ms();
        let mut inner = self.context.quotas.lock();
        inner.table.give_back(now_ms, &self.tenant.name);
        let label = inner.label(&self.tenant.name);
        let metrics = &self.context.metrics;
        metrics.count_quota(label, "given_back");
    }
}

/// Takes a token for a request of a tenant; `None` if the tenant has no quota.
///
/// # Errors
///
/// The refusal of a request beyond the quota.
pub(crate) fn admit(
    context: &Arc<Context>,
    tenant: Option<&Arc<Tenant>>,
) -> Result<Option<QuotaPermit>, Refusal> {
    let Some(tenant) = tenant.filter(|it| it.quota.is_some()) else {
        return Ok(None);
    };
    let now_ms = context.clock.now_ms();
    let mut inner = context.quotas.lock();
    let admitted = inner.table.admit(now_ms, &tenant.name);
    let label = inner.label(&tenant.name);
    match admitted {
        Ok(()) => {
            context.metrics.count_quota(label, "admitted");
            Ok(Some(QuotaPermit {
                context: context.clone(),
                tenant: tenant.clone(),
                may_have_run: false,
            }))
        }
        Err(refused) => {
            context.metrics.count_quota(label, "limited");
            let last_ms = inner.refused_ms.insert(tenant.name.clone(), now_ms);
            drop(inner);
            let is_begin = last_ms.is_none_or(|last_ms| now_ms >= last_ms + LOG_PAUSE_MS);
            log_refusal(tenant, &refused, is_begin);
            let refusal = Refusal::not_run(Reason::CallerLimit);
            Err(refusal.retry_after(refused.retry_after_ms))
        }
    }
}

fn log_refusal(tenant: &Tenant, refused: &QuotaRefusal, is_begin: bool) {
    // Without any level of a peer, this node may be the only one, or cut off.
    let peer_age_ms = refused
        .peer_age_ms
        .map_or_else(|| "none".to_owned(), |it| it.to_string());
    let peer_age_ms = peer_age_ms.as_str();
    if is_begin {
        log::info!(
            target: "quotas", tenant = tenant.name.as_str(), level_milli = refused.level_milli, peer_age_ms;
            "A tenant begins to be limited by its quota."
        );
    }
    log::debug!(
        target: "quotas", tenant = tenant.name.as_str(), level_milli = refused.level_milli, peer_age_ms,
        retry_after_ms = refused.retry_after_ms;
        "A request is beyond the quota of its tenant."
    );
}

/// Sends notices to all peers while tenants have quotas; does not return.
pub(crate) async fn send_notices(context: &Context, socket: &UdpSocket) {
    let mut told_all = Instant::now();
    loop {
        if !context.quotas.is_used() {
            context.quotas.changed.notified().await;
        }
        let now = Instant::now();
        let is_full = now >= told_all + FULL_NOTICE_INTERVAL;
        if is_full {
            told_all = now;
        }
        let receivers = send(context, socket, is_full).await;
        let interval = context.slots.report_interval(receivers);
        sleep(interval.max(MIN_NOTICE_INTERVAL)).await;
    }
}

/// Sends what peers should hear; returns the number of peers.
async fn send(context: &Context, socket: &UdpSocket, is_full: bool) -> usize {
    let now_ms = context.clock.now_ms();
    let (peers, has_contact, addresses) = {
        let peers = context.peers();
        let has_contact = context.reaches_store() || peers.is_store_reachable(now_ms);
        let addresses: HashMap<u64, _> = peers.receivers_by_incarnation().collect();
        (peers.limit_peers(now_ms), has_contact, addresses)
    };
    let peers = peers.into_iter().map(|it| QuotaPeer {
        name: it.name,
        incarnation: it.incarnation,
        is_reachable: it.is_reachable,
    });
    let receivers: Vec<u64> = addresses.keys().copied().collect();
    let notices = {
        let mut inner = context.quotas.lock();
        let table = &mut inner.table;
        table.set_nodes(now_ms, &context.name, peers.collect(), has_contact);
        table.news(now_ms, context.incarnation, &receivers, is_full)
    };
    for (receiver, mut notice) in notices {
        let Some(&(address, token)) = addresses.get(&receiver) else {
            continue;
        };
        notice.token = token;
        for part in notice.split(MAX_DATAGRAM_BYTES) {
            context.metrics.quota_notices.inc();
            send_datagram(socket, address, part.encode()).await;
        }
    }
    receivers.len()
}

/// Applies a datagram if it is a notice of quotas for this node. Returns `false` if it is not.
pub(crate) fn on_datagram(context: &Context, datagram: &[u8]) -> bool {
    match QuotaNotice::decode(datagram) {
        Ok(notice) if notice.token == context.token => {
            let now_ms = context.clock.now_ms();
            context.quotas.lock().table.on_notice(now_ms, &notice);
            true
        }
        _ => false,
    }
}
