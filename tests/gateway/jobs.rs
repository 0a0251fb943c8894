//! Batch jobs that are submitted and read at random nodes under faults, and read to their end after the faults.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use eel_platform::standin::HOST;
use rand::{RngExt as _, rngs::SmallRng};
use reqwest::Client;
use serde_json::{Value, json};
use tokio::time::sleep;

const ITEMS: usize = 3;
const TEXT: &str = "word1\nword2\nword3\nword4\nword5";
/// How often a job is submitted before its caller gives up.
const MAX_TRIES: usize = 2;

#[derive(Debug, PartialEq, Eq)]
enum SubmitState {
    Accepted,
    /// Every response said that no part of the job runs, or no connection was made.
    Refused,
    /// A response is missing or leaves open whether the job runs.
    Unknown,
}

#[derive(Debug)]
struct Job {
    state: SubmitState,
    results: Vec<Value>,
}

/// The jobs of one run, by id.
pub struct Jobs {
    client: Client,
    nodes: Vec<SocketAddr>,
    by_id: BTreeMap<String, Job>,
    rng: SmallRng,
}

/// Submits jobs to random nodes until `stop`, and reads the results of earlier ones.
pub async fn submit_until(stop: Arc<AtomicBool>, nodes: Vec<SocketAddr>, rng: SmallRng) -> Jobs {
    let client = Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(5))
        .build()
        .expect("a client");
    let mut jobs = Jobs {
        client,
        nodes,
        by_id: BTreeMap::new(),
        rng,
    };
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        jobs.submit(&format!("j{number}")).await;
        let earlier = format!("j{}", jobs.rng.random_range(0..=number));
        jobs.read_results(&earlier).await;
        sleep(Duration::from_millis(jobs.rng.random_range(50..400))).await;
    }
    jobs
}

impl Jobs {
    async fn submit(&mut self, id: &str) {
        let items = (0..ITEMS)
            .map(|item| json!({"id": item_id(id, item), "path": "/jobs/stream", "body": ""}));
        let body = json!({"items": items.collect::<Vec<_>>()}).to_string();
        let mut state = SubmitState::Refused;
        for _ in 0..MAX_TRIES {
            let url = self.url("/jobs/submit");
            let request = self
                .client
                .post(url)
                .header("host", HOST)
                .header("x-eelgrassgap-attempt-id", id)
                .header("api-key", "steady")
                .header("x-eelgrassgap-deadline-ms", "1500")
                .body(body.clone());
            match request
                .send()
                .await
                .map(|response| response.status().as_u16())
            {
                Ok(202) => {
                    state = SubmitState::Accepted;
                    break;
                }
                Ok(429 | 503) => {}
                Err(error) if error.is_connect() => {}
                Ok(_) | Err(_) => state = SubmitState::Unknown,
            }
        }
        self.by_id.insert(
            id.to_owned(),
            Job {
                state,
                results: Vec::new(),
            },
        );
    }

    /// Reads a job's results and compares them with what was read before.
    ///
    /// Results keep their positions, so the shorter list must be a prefix of the longer one.
    async fn read_results(&mut self, id: &str) {
        let url = self.url(&format!("/eelgrassgap/lots/{id}?after=0"));
        let Ok(response) = self
            .client
            .get(url)
            .header("host", HOST)
            .header("api-key", "steady")
            .send()
            .await
        else {
            return;
        };
        let status = response.status().as_u16();
        let Some(job) = self.by_id.get_mut(id) else {
            return;
        };
        assert!(
            status != 404 || job.state != SubmitState::Accepted,
            "{id} was accepted but is unknown"
        );
        assert!(
            status != 200 || job.state != SubmitState::Refused,
            "{id} was refused but is known"
        );
        let Ok(document) = response.json::<Value>().await else {
            return;
        };
        let results = document["results"].as_array().cloned().unwrap_or_default();
        let (short, long) = if results.len() < job.results.len() {
            (&results, &job.results)
        } else {
            (&job.results, &results)
        };
        assert!(
            long.starts_with(short),
            "{id}: positions changed from {:?} to {results:?}",
            job.results
        );
        for result in &results {
            assert!(
                result["state"] != "completed" || result["text"] == TEXT,
                "{id}: {result}"
            );
        }
        let mut ids: Vec<&str> = results
            .iter()
            .filter_map(|result| result["id"].as_str())
            .collect();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(
            ids.len(),
            results.len(),
            "{id}: an item has two results in {results:?}"
        );
        let longer = long.clone();
        job.results = longer;
    }

    /// Reads all accepted jobs whose results are not complete yet.
    pub async fn read_incomplete(&mut self) {
        for id in self.incomplete() {
            self.read_results(&id).await;
        }
    }

    /// Returns the ids of the accepted jobs whose results are not complete yet.
    pub fn incomplete(&self) -> Vec<String> {
        let incomplete = self
            .by_id
            .iter()
            .filter(|(_, job)| job.state == SubmitState::Accepted && job.results.len() < ITEMS);
        incomplete.map(|(id, _)| id.clone()).collect()
    }

    pub fn are_complete(&self) -> bool {
        self.incomplete().is_empty()
    }

    /// Returns the number of accepted jobs.
    pub fn accepted_count(&self) -> usize {
        self.by_id
            .values()
            .filter(|job| job.state == SubmitState::Accepted)
            .count()
    }

    /// Returns the ids of the items that are errored.
    pub fn errored_items(&self) -> Vec<String> {
        let results = self.by_id.values().flat_map(|job| &job.results);
        let errored = results.filter(|it| it["state"] == "errored");
        errored
            .filter_map(|it| it["id"].as_str().map(str::to_owned))
            .collect()
    }

    /// Returns the ids of the items of the refused jobs.
    pub fn refused_items(&self) -> Vec<String> {
        let refused = self
            .by_id
            .iter()
            .filter(|(_, job)| job.state == SubmitState::Refused);
        refused
            .flat_map(|(id, _)| (0..ITEMS).map(move |item| item_id(id, item)))
            .collect()
    }

    fn url(&mut self, path: &str) -> String {
        let node = self.nodes[self.rng.random_range(0..self.nodes.len())];
        format!("http://{node}{path}")
    }
}

fn item_id(job: &str, item: usize) -> String {
    format!("{job}-{item}")
}
