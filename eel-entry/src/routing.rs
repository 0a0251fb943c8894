//! Routing state shared by all requests of the process: pools, retry budgets and caller limits.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use eel_record::Snapshot;
use eel_route::{
    AttemptOutcome, Attempts, CallerLimit, CallerLimits, FailedAttempt, InFlightKey, PermitKey,
    Pool, PoolLoad, PoolOptions, RetryBudget, RetryBudgetOptions, RetryDecision, TargetInfo,
    TargetKey, TargetQuery,
};
use eel_types::{Clock, LoadReport, Name};
use eel_verdict::{Reason, Refusal};
use rand::{SeedableRng as _, rngs::SmallRng};
use slotmap::SecondaryMap;

use crate::link::Link;

/// The pools, retry budgets and caller limits of one entry node, behind one lock.
pub(crate) struct Routing {
    clock: Clock,
    inner: Mutex<Inner>,
}

struct Inner {
    pools: HashMap<Name, LinkedPool>,
    budgets: HashMap<Name, RetryBudget>,
    callers: CallerLimits,
    rng: SmallRng,
}

struct LinkedPool {
    pool: Pool,
    links: SecondaryMap<TargetKey, Arc<Link>>,
}

impl Default for LinkedPool {
    fn default() -> Self {
        Self {
            pool: Pool::new(PoolOptions::default()),
            links: SecondaryMap::new(),
        }
    }
}

/// Identifies a target of a pool.
#[derive(Clone, Debug)]
pub(crate) struct TargetHandle {
    pool: Name,
    key: TargetKey,
}

/// A target chosen for an attempt.
pub(crate) struct ChosenTarget {
    pub(crate) target: TargetKey,
    pub(crate) link: Arc<Link>,
    pub(crate) in_flight: InFlight,
}

/// An attempt in flight; dropping it records the attempt as cancelled.
pub(crate) struct InFlight {
    routing: Arc<Routing>,
    pool: Name,
    key: Option<InFlightKey>,
}

/// An admitted request of a caller; dropping it releases its share of the caller's concurrency limit.
pub(crate) struct Permit {
    routing: Arc<Routing>,
    key: PermitKey,
}

impl Routing {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            inner: Mutex::new(Inner {
                pools: HashMap::new(),
                budgets: HashMap::new(),
                callers: CallerLimits::default(),
                rng: SmallRng::from_rng(&mut rand::rng()),
            }),
        }
    }

    /// Replaces the caller limits of `previous` with those of `next`.
    pub(crate) fn configure(&self, previous: &Snapshot, next: &Snapshot) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        for name in previous.callers.keys() {
            if !next.callers.contains_key(name) {
                inner.callers.remove(name);
            }
        }
        for (name, caller) in &next.callers {
            let limit = CallerLimit {
                rate_per_s: caller.rate_per_s,
                burst: caller.burst,
                concurrency: caller.concurrency,
            };
            inner.callers.set(now_ms, name, limit);
        }
    }

    pub(crate) fn add_target(
        &self,
        pool: &Name,
        info: TargetInfo,
        link: Arc<Link>,
    ) -> TargetHandle {
        let mut inner = self.lock();
        let linked = inner.pools.entry(pool.clone()).or_default();
        let key = linked.pool.add_target(self.clock.now_ms(), info);
        linked.links.insert(key, link);
        TargetHandle {
            pool: pool.clone(),
            key,
        }
    }

    pub(crate) fn remove_target(&self, target: &TargetHandle) {
        let mut inner = self.lock();
        if let Some(linked) = inner.pools.get_mut(&target.pool) {
            linked.pool.remove_target(target.key);
            linked.links.remove(target.key);
        }
    }

    pub(crate) fn stop_use(&self, target: &TargetHandle) {
        let mut inner = self.lock();
        if let Some(linked) = inner.pools.get_mut(&target.pool) {
            linked.pool.stop_use(target.key);
        }
    }

    /// Returns `true` while attempts of this node run at `target`.
    pub(crate) fn is_busy(&self, target: &TargetHandle) -> bool {
        let inner = self.lock();
        let linked = inner.pools.get(&target.pool);
        let status = linked.and_then(|it| it.pool.status(self.clock.now_ms(), target.key));
        status.is_some_and(|status| status.in_flight > 0)
    }

    pub(crate) fn on_report(&self, target: &TargetHandle, load: LoadReport) {
        self.report(&target.pool, target.key, load);
    }

    pub(crate) fn report(&self, pool: &Name, target: TargetKey, load: LoadReport) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        if let Some(linked) = inner.pools.get_mut(pool) {
            linked.pool.on_report(now_ms, target, load);
        }
    }

    pub(crate) fn on_prefix_cached(&self, pool: &Name, prefix_hash: u64, target: TargetKey) {
        let mut inner = self.lock();
        if let Some(linked) = inner.pools.get_mut(pool) {
            linked.pool.on_prefix_cached(prefix_hash, target);
        }
    }

    /// Returns the load of `pool`; the default load if the pool is unknown.
    pub(crate) fn load(&self, pool: &Name) -> PoolLoad {
        let inner = self.lock();
        let linked = inner.pools.get(pool);
        linked.map_or(PoolLoad::default(), |linked| {
            linked.pool.load(self.clock.now_ms())
        })
    }

    /// Returns the number of batch items that may be sent to `pool` now; 0 if the pool is unknown.
    pub(crate) fn batch_credits(&self, pool: &Name) -> u32 {
        let inner = self.lock();
        let linked = inner.pools.get(pool);
        linked.map_or(0, |linked| linked.pool.batch_credits(self.clock.now_ms()))
    }

    /// Admits one request of `caller`.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run, with a retry delay, if the caller exceeds its limits.
    pub(crate) fn admit(self: &Arc<Self>, caller: &Name) -> Result<Permit, Refusal> {
        let now_ms = self.clock.now_ms();
        let key = self.lock().callers.try_acquire(now_ms, caller)?;
        Ok(Permit {
            routing: self.clone(),
            key,
        })
    }

    /// Chooses the target of the next attempt and records the attempt as in flight.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if no target is usable or all targets are full.
    pub(crate) fn choose(
        self: &Arc<Self>,
        pool: &Name,
        query: &TargetQuery<'_>,
    ) -> Result<ChosenTarget, Refusal> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let Inner { pools, rng, .. } = &mut *inner;
        let linked = pools.get_mut(pool).ok_or_else(no_target)?;
        let target = linked.pool.choose(now_ms, query, rng)?;
        let link = linked.links.get(target).cloned().ok_or_else(no_target)?;
        let key = linked.pool.start(now_ms, target, query.class);
        let in_flight = InFlight {
            routing: self.clone(),
            pool: pool.clone(),
            key: Some(key.ok_or_else(no_target)?),
        };
        Ok(ChosenTarget {
            target,
            link,
            in_flight,
        })
    }

    /// Decides whether another attempt may start beside those in flight, the latest of which is silent.
    pub(crate) fn may_start_beside(&self, service: &Name, attempts: &Attempts) -> bool {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        attempts.try_start_beside(now_ms, inner.budget(now_ms, service))
    }

    /// Decides whether to retry after an attempt that ended without a complete response.
    pub(crate) fn on_attempt_failed(
        &self,
        service: &Name,
        attempts: &mut Attempts,
        end: FailedAttempt,
    ) -> RetryDecision {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        attempts.on_end(now_ms, end, inner.budget(now_ms, service))
    }

    /// Records a successful request, which adds a share of a retry to the service's retry budget.
    pub(crate) fn on_success(&self, service: &Name) {
        let now_ms = self.clock.now_ms();
        self.lock().budget(now_ms, service).on_success();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn no_target() -> Refusal {
    const RETRY_AFTER_MS: u64 = 1_000;
    Refusal::not_run(Reason::NoTarget).retry_after(RETRY_AFTER_MS)
}

impl Inner {
    fn budget(&mut self, now_ms: u64, service: &Name) -> &mut RetryBudget {
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(now_ms, RetryBudgetOptions::default()))
    }
}

impl InFlight {
    /// Ends the attempt with `outcome`.
    pub(crate) fn end(mut self, outcome: AttemptOutcome) {
        self.end_once(outcome);
    }

    fn end_once(&mut self, outcome: AttemptOutcome) {
        let Some(key) = self.key.take() else {
            return;
        };
        let now_ms = self.routing.clock.now_ms();
        let mut inner = self.routing.lock();
        let Inner { pools, rng, .. } = &mut *inner;
        if let Some(linked) = pools.get_mut(&self.pool) {
            linked.pool.end(now_ms, key, outcome, rng);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end_once(AttemptOutcome::Cancelled);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now_ms = self.routing.clock.now_ms();
        self.routing.lock().callers.release(now_ms, self.key);
    }
}
