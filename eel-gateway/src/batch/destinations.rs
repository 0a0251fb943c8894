//! Finds the service that runs an item, by the routes in force and the services that have targets.

use std::{collections::HashMap, sync::Arc};

use eel_fleet::AbsentServices;
use eel_ledger::{Item, ItemQueues, Job, JobHead, Ledger};
use eel_table::RouteTable;
use eel_types::Name;

/// The services that run the items of open jobs.
#[derive(Default)]
pub(super) struct Destinations {
    table: Option<Arc<RouteTable>>,
    absent: AbsentServices,
    /// The items of the jobs for which [`Self::queues`] was called since the destinations last changed.
    queues: HashMap<Name, ItemQueues>,
}

impl Destinations {
    /// Applies the routes in force and which services have a target now.
    pub(super) fn update(
        &mut self,
        now_ms: u64,
        table: Option<Arc<RouteTable>>,
        has_target: impl Fn(&Name) -> bool,
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
        if is_new || is_moved {
            self.queues.clear();
        }
    }

    /// Returns the service that runs an item; `None` if no route leads to one.
    pub(super) fn service_of(&self, head: &JobHead, item: &Item) -> Option<&Name> {
        let route = self.table.as_ref()?.find(&head.host, &item.path)?;
        route.service_among(&item.id, |it| !self.absent.contains(it))
    }

    /// Returns the items of the job `id` by their services.
    pub(super) fn queues(&mut self, id: &Name, job: &Job) -> &ItemQueues {
        if !self.queues.contains_key(id) {
            let service_of = |item: &Item| self.service_of(job.head()?, item);
            let queues = ItemQueues::new(job, service_of);
            self.queues.insert(id.clone(), queues);
        }
        let queues = self.queues.entry(id.clone()).or_default();
        queues.forget_listed(job);
        queues
    }

    /// Forgets jobs that are no longer open.
    pub(super) fn forget_ended(&mut self, ledger: &Ledger) {
        let is_open = |id: &str| ledger.job(id).is_some_and(Job::is_open);
        self.queues.retain(|id, _| is_open(id));
    }
}
