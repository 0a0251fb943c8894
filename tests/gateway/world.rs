//! The fleet of one run: store, targets, proxies before them, nodes, callers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use eel_platform::standin::{Behaviour, StandInStore, StandInTarget, StoreFault, routes};
use nix::sys::signal::Signal;
use rand::{SeedableRng as _, rngs::SmallRng};
use tempfile::TempDir;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    callers::{Seen, call_until},
    faults,
    jobs::{Jobs, submit_until},
    ports::Ports,
    process::Process,
    proxy::{Link, Proxy},
};

/// The targets and callers of the smallest fleet, and how many nodes bring one more.
const TARGETS: usize = 4;
const CALLERS: usize = 6;
const NODES_PER_TARGET: usize = 4;
const NODES_PER_CALLER: usize = 2;
/// How long jobs may take to end after all faults are over, before the run counts as hung.
const CALM: Duration = Duration::from_mins(2);

pub struct World {
    pub seed: u64,
    pub store: StandInStore,
    pub store_links: Vec<Proxy>,
    pub targets: Vec<Arc<StandInTarget>>,
    pub target_links: Vec<Proxy>,
    pub nodes: Vec<Process>,
    pub version: u64,
    ports: Ports,
    directory: TempDir,
}

impl World {
    pub async fn start(seed: u64, nodes: usize) -> Self {
        let store = StandInStore::start().await.expect("a store");
        let directory = tempfile::tempdir().expect("a temporary directory");
        let mut world = Self {
            seed,
            store_links: Vec::new(),
            targets: Vec::new(),
            target_links: Vec::new(),
            nodes: Vec::new(),
            version: 0,
            store,
            ports: Ports::reserve(),
            directory,
        };
        world.change_routes();
        for number in 0..TARGETS + nodes / NODES_PER_TARGET {
            let target = StandInTarget::start("scribe", &format!("i-{number}"))
                .await
                .expect("a target");
            let link = Proxy::start(target.address()).await;
            target.announce_at(&world.store, "ready", link.address);
            world.targets.push(Arc::new(target));
            world.target_links.push(link);
        }
        for number in 0..nodes {
            let link = Proxy::start(world.store.address()).await;
            let name = format!("node-{number}");
            let runs_batch = number % 2 == 1;
            let node = Process::start(
                world.directory.path(),
                &mut world.ports,
                &name,
                link.address,
                runs_batch,
            );
            world.store_links.push(link);
            world.nodes.push(node);
        }
        world
    }

    /// Plays faults under load for `length`, then calm, and checks what everyone saw.
    pub async fn play(mut self, length: Duration) {
        let stop = Arc::new(AtomicBool::new(false));
        let addresses: Vec<_> = self.nodes.iter().map(|node| node.http).collect();
        let mut callers = JoinSet::new();
        let count = u64::try_from(CALLERS + self.nodes.len() / NODES_PER_CALLER).expect("a number");
        for number in 0..count {
            let rng = SmallRng::seed_from_u64(self.seed.wrapping_mul(1_000).wrapping_add(number));
            callers.spawn(call_until(stop.clone(), addresses.clone(), number, rng));
        }
        let rng = SmallRng::seed_from_u64(self.seed.wrapping_mul(1_000).wrapping_add(count));
        let jobs = tokio::spawn(submit_until(stop.clone(), addresses, rng));
        let until = Instant::now() + length;
        let mut rng = SmallRng::seed_from_u64(self.seed);
        while Instant::now() < until {
            faults::inject(&mut self, &mut rng).await;
        }
        self.heal();
        stop.store(true, Ordering::Relaxed);
        let seen: Seen = callers.join_all().await.into_iter().flatten().collect();
        let jobs = jobs.await.expect("the jobs were submitted");
        self.check_requests(&seen);
        self.check_jobs(jobs).await;
    }

    /// Ends all faults and starts whatever has ended.
    fn heal(&mut self) {
        self.store.set_fault(StoreFault::None);
        for link in self.store_links.iter().chain(&self.target_links) {
            link.set(Link::Passes);
        }
        for (target, link) in self.targets.iter().zip(&self.target_links) {
            target.set_default_behaviour(Behaviour::Responds);
            target.announce_at(&self.store, "ready", link.address);
        }
        for node in &mut self.nodes {
            node.signal(Signal::SIGCONT);
            if node.has_ended() {
                node.restart();
            }
        }
    }

    fn check_requests(&self, seen: &Seen) {
        let answered = seen.iter().filter(|it| it.status == Some(200)).count();
        println!(
            "seed {}: {} requests, {answered} answered",
            self.seed,
            seen.len()
        );
        for request in seen {
            let runs = self.runs(&request.id);
            let context = || {
                format!(
                    "seed {}: {request:?} ran {runs} times\n{}",
                    self.seed,
                    self.logs()
                )
            };
            assert!(runs <= 1 || request.is_repeatable, "{}", context());
            assert!(runs == 0 || !request.says_not_run(), "{}", context());
        }
    }

    async fn check_jobs(&self, mut jobs: Jobs) {
        let until = Instant::now() + CALM;
        while !jobs.are_done() {
            assert!(
                Instant::now() < until,
                "seed {}: open jobs {:?}\n{}",
                self.seed,
                jobs.open(),
                self.logs()
            );
            jobs.read_all().await;
            sleep(Duration::from_millis(200)).await;
        }
        println!(
            "seed {}: {} jobs done, {} refused",
            self.seed,
            jobs.done(),
            jobs.refused().len()
        );
        for item in jobs.refused() {
            assert_eq!(
                self.runs(&item),
                0,
                "seed {}: {item} of a refused job ran\n{}",
                self.seed,
                self.logs()
            );
        }
    }

    fn runs(&self, id: &str) -> u32 {
        self.targets.iter().map(|target| target.runs(id)).sum()
    }

    pub fn logs(&self) -> String {
        self.nodes
            .iter()
            .map(Process::log_tail)
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// Writes a newer version of the same routes.
    pub fn change_routes(&mut self) {
        self.version += 1;
        self.store
            .put("op/config", &routes(self.version).to_string());
    }
}
