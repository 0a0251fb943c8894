//! Groups the items of a job by the service that runs them, so that those without a slot hold up no others.

use std::collections::{BTreeMap, VecDeque};

use eel_types::Name;

use crate::{Item, Job};

/// The items of a job without a listed result, by the service that runs them, in the order of their indices.
#[derive(Debug, Default)]
pub struct ItemQueues {
    by_service: BTreeMap<Name, VecDeque<u32>>,
}

impl ItemQueues {
    /// Groups the items of `job`. Those for which `service_of` returns `None` are left out.
    pub fn new<'a>(job: &Job, service_of: impl Fn(&Item) -> Option<&'a Name>) -> Self {
        let mut by_service: BTreeMap<Name, VecDeque<u32>> = BTreeMap::new();
        for (index, item) in (0..).zip(job.items()) {
            if job.is_listed(index) {
                continue;
            }
            if let Some(service) = service_of(item) {
                match by_service.get_mut(service) {
                    Some(queue) => queue.push_back(index),
                    None => _ = by_service.insert(service.clone(), VecDeque::from([index])),
                }
            }
        }
        Self { by_service }
    }

    /// Returns the services with the indices of their items. Some of these may have got a listed result.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, impl Iterator<Item = u32>)> {
        let queues = self.by_service.iter();
        queues.map(|(service, queue)| (service, queue.iter().copied()))
    }

    /// Removes the items up to the first one of each service that has no listed result in `job`.
    pub fn forget_listed(&mut self, job: &Job) {
        for queue in self.by_service.values_mut() {
            while queue.front().is_some_and(|&it| job.is_listed(it)) {
                queue.pop_front();
            }
        }
    }
}
