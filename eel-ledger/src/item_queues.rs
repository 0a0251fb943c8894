//! Groups the items of a job by the service that runs them, so that those without a slot hold up no others, and finds those
//! whose route has ended.

use std::collections::{BTreeMap, VecDeque};

use eel_types::Name;

use crate::{Item, Job};

/// How long an item has to be without a route until its route counts as ended, in ms: an operator who has removed a route
/// by mistake brings it back.
const MIN_UNROUTED_MS: u64 = 5_000;

/// The items of a job without a listed result, by the service that runs them, in the order of their indices.
#[derive(Debug, Default)]
pub struct ItemQueues {
    by_service: BTreeMap<Name, VecDeque<u32>>,
    /// The items without a route, and when each of them was first seen without one since it last had one, in ms on this
    /// node's monotonic clock.
    unrouted_ms: BTreeMap<u32, u64>,
}

impl ItemQueues {
    /// Groups the items of `job` by what `service_of` returns, `None` for an item to which no route in force leads.
    /// `earlier` are the queues by the routes that were in force until now; `None` if this node did not follow them.
    pub fn new<'a>(
        now_ms: u64,
        job: &Job,
        earlier: Option<&Self>,
        service_of: impl Fn(&Item) -> Option<&'a Name>,
    ) -> Self {
        let mut queues = Self::default();
        for (index, item) in (0..).zip(job.items()) {
            if job.is_listed(index) {
                continue;
            }
            if let Some(service) = service_of(item) {
                queues.push(service, index);
            } else {
                let since_ms = earlier.and_then(|it| it.unrouted_ms.get(&index));
                let since_ms = since_ms.copied().unwrap_or(now_ms);
                queues.unrouted_ms.insert(index, since_ms);
            }
        }
        queues
    }

    fn push(&mut self, service: &Name, index: u32) {
        match self.by_service.get_mut(service) {
            Some(queue) => queue.push_back(index),
            None => _ = self.by_service.insert(service.clone(), [index].into()),
        }
    }

    /// Returns the services with the indices of their items. Some of these may have got a listed result.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, impl Iterator<Item = u32>)> {
        let queues = self.by_service.iter();
        queues.map(|(service, queue)| (service, queue.iter().copied()))
    }

    /// Returns the number of items without a route.
    #[must_use]
    pub fn unrouted(&self) -> usize {
        self.unrouted_ms.len()
    }

    /// Returns the items whose route has ended, if the routes in force are those of the operator's manifest as of
    /// `known_until_ms`, on this node's monotonic clock. Some of these may have got a listed result.
    ///
    /// Routes that are older prove nothing: an item may have been accepted under a newer manifest.
    pub fn ended(&self, known_until_ms: u64) -> impl Iterator<Item = u32> {
        let unrouted = self.unrouted_ms.iter();
        let ended =
            unrouted.filter(move |(_, since_ms)| known_until_ms >= **since_ms + MIN_UNROUTED_MS);
        ended.map(|(&index, _)| index)
    }

    /// Removes the items that have got a listed result in `job`, but for those behind another item of their service.
    pub fn forget_listed(&mut self, job: &Job) {
        for queue in self.by_service.values_mut() {
            while queue.front().is_some_and(|&it| job.is_listed(it)) {
                queue.pop_front();
            }
        }
        self.unrouted_ms.retain(|&it, _| !job.is_listed(it));
    }
}
