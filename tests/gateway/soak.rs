//! One run of the soak test: a store, targets, nodes and callers, with proxies before the store and the targets.

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
use serde_json::json;
use tempfile::TempDir;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    callers::{Observations, call_until},
    faults,
    jobs::{Jobs, submit_until},
    ports::Ports,
    process::Process,
    proxy::{Proxy, ProxyMode},
};

/// The base number of targets and callers, and the number of nodes for which one more of each is added.
const TARGETS: usize = 4;
const CALLERS: usize = 6;
const NODES_PER_TARGET: usize = 4;
const NODES_PER_CALLER: usize = 2;
/// The number of responses of 500 after which the route of the jobs gives an item up.
const MAX_ATTEMPTS: u32 = 2;
/// Upper bound of the time in which jobs complete after the faults have ended; a longer run counts as hung.
const COMPLETION_TIMEOUT: Duration = Duration::from_mins(2);

pub struct Soak {
    pub seed: u64,
    pub store: StandInStore,
    pub store_proxies: Vec<Proxy>,
    pub targets: Vec<Arc<StandInTarget>>,
    pub target_proxies: Vec<Proxy>,
    pub nodes: Vec<Process>,
    pub version: u64,
    ports: Ports,
    directory: TempDir,
}

impl Soak {
    pub async fn start(seed: u64, nodes: usize) -> Self {
        let store = StandInStore::start().await.expect("a store");
        let directory = tempfile::tempdir().expect("a temporary directory");
        let mut soak = Self {
            seed,
            store_proxies: Vec::new(),
            targets: Vec::new(),
            target_proxies: Vec::new(),
            nodes: Vec::new(),
            version: 0,
            store,
            ports: Ports::reserve(),
            directory,
        };
        soak.change_routes();
        for number in 0..TARGETS + nodes / NODES_PER_TARGET {
            let target = StandInTarget::start("scribe", &format!("i-{number}"))
                .await
                .expect("a target");
            let proxy = Proxy::start(target.address()).await;
            target.announce_at(&soak.store, "ready", proxy.address);
            soak.targets.push(Arc::new(target));
            soak.target_proxies.push(proxy);
        }
        for number in 0..nodes {
            let proxy = Proxy::start(soak.store.address()).await;
            let name = format!("node-{number}");
            let runs_batch = number % 2 == 1;
            let node = Process::start(
                soak.directory.path(),
                &mut soak.ports,
                &name,
                proxy.address,
                runs_batch,
            );
            soak.store_proxies.push(proxy);
            soak.nodes.push(node);
        }
        soak
    }

    /// Injects faults under load for `length`, then ends them and checks what callers and targets observed.
    pub async fn run(mut self, length: Duration) {
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
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(count + 1);
        let mut target_rng = SmallRng::seed_from_u64(seed);
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(count + 2);
        let mut copy_rng = SmallRng::seed_from_u64(seed);
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(count + 3);
        let mut framing_rng = SmallRng::seed_from_u64(seed);
        while Instant::now() < until {
            faults::inject_framing(&self, &mut framing_rng);
            faults::inject_copies(&self, &mut copy_rng);
            faults::inject(&mut self, &mut rng).await;
            faults::inject_in_targets(&self, &mut target_rng).await;
        }
        self.end_faults().await;
        stop.store(true, Ordering::Relaxed);
        let observed: Observations = callers.join_all().await.into_iter().flatten().collect();
        let jobs = jobs.await.expect("the jobs were submitted");
        self.check_requests(&observed);
        self.check_jobs(jobs).await;
    }

    /// Ends all faults.
    async fn end_faults(&mut self) {
        self.store.set_fault(StoreFault::None);
        for proxy in self.store_proxies.iter().chain(&self.target_proxies) {
            proxy.set(ProxyMode::Forwards);
            proxy.set_repeats(false);
        }
        for target in &self.targets {
            target.clear_fatal_part();
            target.set_limits(&[]);
        }
        self.restart_all_crashed().await;
        for (target, proxy) in self.targets.iter().zip(&self.target_proxies) {
            target.set_default_behaviour(Behaviour::Responds);
            target.announce_at(&self.store, "ready", proxy.address);
        }
        for node in &mut self.nodes {
            node.signal(Signal::SIGCONT);
        }
        self.restart_ended();
    }

    /// Starts the nodes that have ended again, as the platform does.
    pub fn restart_ended(&mut self) {
        for node in &mut self.nodes {
            if node.has_ended() {
                node.restart();
            }
        }
    }

    async fn restart_all_crashed(&self) {
        for index in 0..self.targets.len() {
            self.restart_crashed(index).await;
        }
    }

    /// Starts a target that has crashed again, with a new id, as the platform does.
    pub async fn restart_crashed(&self, index: usize) {
        let (target, proxy) = (&self.targets[index], &self.target_proxies[index]);
        if !target.is_down() {
            return;
        }
        self.store.remove(&format!("servers/{}", target.id()));
        let crashes = target.crashes();
        let id = format!("i-{index}-{crashes}");
        let restarted = target.restart_unlisted(&id, 1 + u64::from(crashes)).await;
        restarted.expect("a restarted target");
        proxy.set_server(target.address());
        target.announce_at(&self.store, "ready", proxy.address);
    }

    fn check_requests(&self, observed: &Observations) {
        let answered = observed.iter().filter(|it| it.status == Some(200)).count();
        let crashes: u32 = self.targets.iter().map(|target| target.crashes()).sum();
        println!(
            "seed {}: {} requests, {answered} answered, {crashes} targets crashed",
            self.seed,
            observed.len()
        );
        for request in observed {
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
            let is_refused = request.status == Some(401);
            assert!(!is_refused || request.tenant != "steady", "{}", context());
            let headers = self
                .targets
                .iter()
                .flat_map(|it| it.headers_of(&request.id));
            for headers in headers {
                assert_eq!(headers["x-eelgrassgap-tenant"], request.tenant);
                assert!(!headers.contains_key("api-key"), "{}", context());
            }
        }
    }

    async fn check_jobs(&mut self, mut jobs: Jobs) {
        let until = Instant::now() + COMPLETION_TIMEOUT;
        while !jobs.are_complete() {
            assert!(
                Instant::now() < until,
                "seed {}: open jobs {:?}\n{}",
                self.seed,
                jobs.incomplete(),
                self.logs()
            );
            // Nodes that were draining when the faults ended end only now, and a request of then may crash its target.
            self.restart_ended();
            self.restart_all_crashed().await;
            jobs.read_incomplete().await;
            sleep(Duration::from_millis(200)).await;
        }
        let errored = jobs.errored_items();
        println!(
            "seed {}: {} jobs completed, {} items errored, {} items refused",
            self.seed,
            jobs.accepted_count(),
            errored.len(),
            jobs.refused_items().len()
        );
        for item in errored {
            let failures: u32 = self.targets.iter().map(|it| it.failures(&item)).sum();
            assert!(
                failures >= MAX_ATTEMPTS,
                "seed {}: {item} is errored after {failures} failures\n{}",
                self.seed,
                self.logs()
            );
        }
        for item in jobs.refused_items() {
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

    /// Writes the routes with a newer version, which revokes the key of the tenant `changing` or gives it back, and splits the
    /// route of the jobs with a service that has no target, or joins it again.
    pub fn change_routes(&mut self) {
        self.version += 1;
        let mut table = routes(self.version);
        let key = format!("changing{}", self.version % 2);
        table["tenants"] = json!([
            {"name": "steady", "apiKeys": ["steady"]}, {"name": "changing", "apiKeys": [key]}
        ]);
        let routes = table["routes"].as_array_mut().expect("routes");
        let jobs = routes.iter_mut().find(|it| it["name"] == "jobs");
        if let Some(jobs) = jobs.filter(|_| self.version.is_multiple_of(3)) {
            jobs["trafficSplit"] =
                json!([{"service": "scribe", "weight": 2}, {"service": "quill", "weight": 1}]);
        }
        self.store.put("op/config", &table.to_string());
    }
}
