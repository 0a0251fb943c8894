//! Finds the service that runs an item, by the routes in force and the services that have targets.

use std::{collections::HashMap, sync::Arc};

use eel_fleet::AbsentServices;
use eel_ledger::{Item, ItemQueues, Job, JobHead};
use eel_table::RouteTable;
use eel_types::Name;

/// The services that run the items of this node's open jobs.
#[derive(Default)]
pub(super) struct Destinations {
    table: Option<Arc<RouteTable>>,
    absent: AbsentServices,
    /// The items of each job by their services.
    queues: HashMap<Name, ItemQueues>,
}

impl Destinations {
    /// Applies the routes in force, which services have a target now, and the open jobs that this node owns.
    pub(super) fn update(
        &mut self,
        now_ms: u64,
        table: Option<Arc<RouteTable>>,
        has_target: impl Fn(&Name) -> bool,
        jobs: &[(&Name, &Job)],
    ) {
        let version = |table: &Option<Arc<RouteTable>>| table.as_ref().map(|it| it.version);
        let is_new = version(&table) != version(&self.table);
        self.table = table;
        let split = self.table.iter().flat_map(|it| it.split_services());
        let is_moved = self.absent.observe(now_ms, split, has_target);
        if is_moved {
            log::info!(
                target: "jobs", absent:? = self.absent.names();
                "Services of split routes have lost or got their targets; items go to the services that have some."
            );
        }
        let mut earlier = std::mem::take(&mut self.queues);
        if self.table.is_none() {
            return;
        }
        for &(id, job) in jobs {
            let known = earlier.remove(id);
            let queues = match known {
                Some(mut known) if !is_new && !is_moved => {
                    known.forget_listed(job);
                    known
                }
                known => self.new_queues(now_ms, id, job, known.as_ref()),
            };
            self.queues.insert(id.clone(), queues);
        }
    }

    fn new_queues(
        &self,
        now_ms: u64,
        id: &Name,
        job: &Job,
        earlier: Option<&ItemQueues>,
    ) -> ItemQueues {
        let service_of = |item: &Item| self.service_of(job.head()?, item);
        let queues = ItemQueues::new(now_ms, job, earlier, service_of);
        let unrouted = queues.unrouted();
        if unrouted > earlier.map_or(0, ItemQueues::unrouted) {
            log::info!(
                target: "jobs", job = id.as_str(), items = unrouted, version = self.table.as_ref().map_or(0, |it| it.version);
                "No route leads to items of a job; unless one does again, they are listed as errored."
            );
        }
        queues
    }

    fn service_of(&self, head: &JobHead, item: &Item) -> Option<&Name> {
        let route = self.table.as_ref()?.find(&head.host, &item.path)?;
        route.service_among(&item.id, |it| !self.absent.contains(it))
    }

    /// Returns the items of the job `id` by their services; `None` if this node does not own it, or knows no routes.
    pub(super) fn queues(&self, id: &Name) -> Option<&ItemQueues> {
        self.queues.get(id)
    }

    /// Forgets the items of all jobs, because this node does not run any at present.
    pub(super) fn clear(&mut self) {
        self.queues.clear();
    }
}
