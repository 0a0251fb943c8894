//! A load generator that sends HTTP requests to one endpoint.

use std::{
    fmt,
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use error_stack::{Report, ResultExt as _};
use hdrhistogram::Histogram;
use reqwest::{Client, StatusCode, Url};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinSet,
    time::MissedTickBehavior,
};

/// Upper bound of the time in which a load releases requests, in seconds.
pub const MAX_SECONDS: u64 = 300;

/// Upper bound of the requests of an open-loop load that have not completed.
const MAX_OUTSTANDING: usize = 4_096;

/// The interval at which an open-loop load releases the requests that are due.
const RELEASE_INTERVAL: Duration = Duration::from_millis(1);

/// A request without a complete response after this time counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The precision of recorded latencies, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How requests are released: in an open or a closed loop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// Open loop: at a fixed rate, whether or not earlier requests have completed.
    Open {
        /// Requests per second.
        rate_per_s: u32,
    },
    /// Closed loop: by a number of clients, each as soon as its previous request has completed.
    Closed {
        /// The number of clients.
        clients: u32,
    },
}

/// Options of [`run`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The URL of the endpoint; its host must be a loopback address.
    pub url: String,
    /// The bearer key to send; `None` sends none.
    pub key: Option<String>,
    /// The body of each POST request.
    pub body: Bytes,
    /// How requests are released.
    pub arrivals: Arrivals,
    /// For how long requests are released, in seconds, from 1 to [`MAX_SECONDS`].
    pub seconds: u64,
}

/// The results of a load.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Requests with status 200 and a complete response body.
    pub succeeded: u64,
    /// Requests that got another status or no complete response.
    pub failed: u64,
    /// Requests of an open-loop load that were not sent, because 4,096 others had not completed.
    pub unsent: u64,
    /// The time from the first release to the last completion.
    pub elapsed: Duration,
    /// Times from release to the last byte of the response of the requests in `succeeded`, in microseconds.
    pub latency_us: Histogram<u64>,
}

/// Why a load cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The URL is invalid or its host is not a loopback address.
    #[error("cannot send a load to {0}: not a URL with a loopback address")]
    NotLoopback(String),
    /// The duration is zero or longer than [`MAX_SECONDS`].
    #[error("cannot run a load of {0} s: the duration must be from 1 to {MAX_SECONDS} s")]
    Duration(u64),
    /// The rate or the number of clients is zero.
    #[error("cannot run a load whose rate or number of clients is zero")]
    NoLoad,
    /// The HTTP client or the histogram cannot be set up.
    #[error("cannot set up the load generator")]
    Setup,
}

impl Outcome {
    /// Returns the successful requests per second.
    #[must_use]
    pub fn rate_per_s(&self) -> f64 {
        let succeeded = u32::try_from(self.succeeded).unwrap_or(u32::MAX);
        f64::from(succeeded) / self.elapsed.as_secs_f64()
    }

    /// Returns a quantile of the latency in microseconds.
    #[must_use]
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.0} requests/s, p50 {} us, p99 {} us, p99.9 {} us, {} failed, {} unsent",
            self.rate_per_s(),
            self.quantile_us(0.5),
            self.quantile_us(0.99),
            self.quantile_us(0.999),
            self.failed,
            self.unsent,
        )
    }
}

/// Sends the load and waits until all requests have completed.
///
/// # Errors
///
/// [`Error`] if the options are out of bounds or the client cannot be set up. Failed requests are counted in the
/// outcome instead.
pub async fn run(options: &Options) -> Result<Outcome, Report<Error>> {
    let sender = Arc::new(Sender::new(options)?);
    let begin = Instant::now();
    let end = begin + Duration::from_secs(options.seconds);
    let mut latency_us = new_histogram()?;
    let (samples_us, unsent) = match options.arrivals {
        Arrivals::Open { rate_per_s } => run_open_loop(&sender, rate_per_s, end).await,
        Arrivals::Closed { clients } => (run_closed_loop(&sender, clients, end).await, 0),
    };
    for sample_us in &samples_us {
        latency_us.saturating_record(*sample_us);
    }
    Ok(Outcome {
        succeeded: latency_us.len(),
        failed: sender.failed.load(Ordering::Relaxed),
        unsent,
        elapsed: begin.elapsed(),
        latency_us,
    })
}

fn new_histogram() -> Result<Histogram<u64>, Report<Error>> {
    let max_us = u64::try_from(REQUEST_TIMEOUT.as_micros()).unwrap_or(u64::MAX);
    Histogram::new_with_bounds(1, max_us, SIGNIFICANT_DIGITS).change_context(Error::Setup)
}

struct Sender {
    client: Client,
    url: Url,
    key: Option<String>,
    body: Bytes,
    failed: AtomicU64,
}

impl Sender {
    fn new(options: &Options) -> Result<Self, Report<Error>> {
        check_options(options)?;
        let url = loopback_url(&options.url)?;
        let client = Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .change_context(Error::Setup)?;
        Ok(Self {
            client,
            url,
            key: options.key.clone(),
            body: options.body.clone(),
            failed: AtomicU64::new(0),
        })
    }

    /// Sends one request; returns the time to the last byte of the response in microseconds, or `None` if it failed.
    async fn send(&self) -> Option<u64> {
        let begin = Instant::now();
        let mut request = self.client.post(self.url.clone()).body(self.body.clone());
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        if matches!(response_status(request).await, Ok(StatusCode::OK)) {
            return u64::try_from(begin.elapsed().as_micros()).ok();
        }
        self.failed.fetch_add(1, Ordering::Relaxed);
        None
    }
}

/// Sends a request, reads the complete response and returns its status.
async fn response_status(request: reqwest::RequestBuilder) -> reqwest::Result<StatusCode> {
    let response = request.send().await?;
    let status = response.status();
    response.bytes().await?;
    Ok(status)
}

fn check_options(options: &Options) -> Result<(), Report<Error>> {
    if !(1..=MAX_SECONDS).contains(&options.seconds) {
        return Err(Report::new(Error::Duration(options.seconds)));
    }
    match options.arrivals {
        Arrivals::Open { rate_per_s: 0 } | Arrivals::Closed { clients: 0 } => {
            Err(Report::new(Error::NoLoad))
        }
        Arrivals::Open { .. } | Arrivals::Closed { .. } => Ok(()),
    }
}

fn loopback_url(text: &str) -> Result<Url, Report<Error>> {
    let not_loopback = || Report::new(Error::NotLoopback(text.to_owned()));
    let url = Url::parse(text).map_err(|_| not_loopback())?;
    let host = url.host_str().unwrap_or_default();
    let address: IpAddr = host
        .trim_matches(['[', ']'])
        .parse()
        .map_err(|_| not_loopback())?;
    if address.is_loopback() {
        Ok(url)
    } else {
        Err(not_loopback())
    }
}

/// Releases requests at `rate_per_s` until `end`; returns the latencies and the number of requests that were not sent.
async fn run_open_loop(sender: &Arc<Sender>, rate_per_s: u32, end: Instant) -> (Vec<u64>, u64) {
    let permits = Arc::new(Semaphore::new(MAX_OUTSTANDING));
    let begin = Instant::now();
    let mut ticks = tokio::time::interval(RELEASE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut tasks = JoinSet::new();
    let mut samples_us = Vec::new();
    let (mut released, mut unsent) = (0, 0);
    while Instant::now() < end {
        ticks.tick().await;
        let due = due_requests(begin.elapsed(), rate_per_s);
        for _ in released..due {
            match permits.clone().try_acquire_owned() {
                Ok(permit) => drop(tasks.spawn(send_one(sender.clone(), permit))),
                Err(_) => unsent += 1,
            }
        }
        released = due;
        while let Some(ended) = tasks.try_join_next() {
            samples_us.extend(ended.ok().flatten());
        }
    }
    while let Some(ended) = tasks.join_next().await {
        samples_us.extend(ended.ok().flatten());
    }
    (samples_us, unsent)
}

/// Returns the number of requests to release within `elapsed`.
fn due_requests(elapsed: Duration, rate_per_s: u32) -> u64 {
    let due = elapsed.as_micros() * u128::from(rate_per_s) / 1_000_000;
    u64::try_from(due).unwrap_or(u64::MAX)
}

async fn send_one(sender: Arc<Sender>, permit: OwnedSemaphorePermit) -> Option<u64> {
    let sample_us = sender.send().await;
    drop(permit);
    sample_us
}

/// Runs `clients` clients until `end`; returns the latencies.
async fn run_closed_loop(sender: &Arc<Sender>, clients: u32, end: Instant) -> Vec<u64> {
    let mut tasks = JoinSet::new();
    for _ in 0..clients {
        let sender = sender.clone();
        tasks.spawn(async move {
            let mut samples_us = Vec::new();
            while Instant::now() < end {
                samples_us.extend(sender.send().await);
            }
            samples_us
        });
    }
    let mut samples_us = Vec::new();
    while let Some(ended) = tasks.join_next().await {
        samples_us.extend(ended.unwrap_or_default());
    }
    samples_us
}
