//! Compares paths to an endpoint with direct requests to it, and with a reference path, in one run.

use std::{fmt, str::FromStr};

use bytes::Bytes;
use error_stack::Report;

use crate::{
    load::{self, Arrivals, Error},
    memory::{Usage, usage},
};

/// A path through a proxy or fleet, and the endpoint behind it.
#[derive(Clone, Debug)]
pub struct Pair {
    /// The name of the path in the printed table.
    pub name: String,
    /// The URL of the endpoint itself.
    pub direct_url: String,
    /// The URL of the endpoint through the path.
    pub path_url: String,
    /// The bearer key for requests through the path, if it needs one.
    pub key: Option<String>,
    /// The process ids of the path, for its memory and CPU time.
    pub pids: Vec<u32>,
}

impl FromStr for Pair {
    type Err = String;

    /// Parses `NAME,DIRECT_URL,PATH_URL[,key=KEY][,pid=PID]...`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(',');
        let mut field = |what: &str| {
            let field = fields.next().filter(|field| !field.is_empty());
            field
                .map(str::to_owned)
                .ok_or(format!("{what} is missing in '{text}'"))
        };
        let mut pair = Self {
            name: field("the name")?,
            direct_url: field("the direct URL")?,
            path_url: field("the URL of the path")?,
            key: None,
            pids: Vec::new(),
        };
        for field in fields {
            match field.split_once('=') {
                Some(("key", key)) => pair.key = Some(key.to_owned()),
                Some(("pid", pid)) => pair.pids.push(parse_pid(pid)?),
                _ => return Err(format!("'{field}' is neither key=KEY nor pid=PID")),
            }
        }
        Ok(pair)
    }
}

fn parse_pid(text: &str) -> Result<u32, String> {
    text.parse()
        .map_err(|_| format!("'{text}' is not a process id"))
}

/// Options of [`run`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The paths; the first is the reference for the ratios.
    pub pairs: Vec<Pair>,
    /// The rates of the open-loop loads, in requests per second.
    pub rates_per_s: Vec<u32>,
    /// The number of clients of the closed-loop load, which saturates a path.
    pub clients: u32,
    /// The duration of each load in seconds.
    pub seconds: u64,
    /// How often each load is run; the result is the median of the rounds.
    pub rounds: u32,
    /// The body of each request.
    pub body: Bytes,
}

/// The result of one load on one pair, the median of its rounds.
#[derive(Clone, Debug)]
pub struct Row {
    /// The name of the pair, from [`Pair::name`].
    pub name: String,
    /// How the requests of the load were released.
    pub arrivals: Arrivals,
    /// Successful requests per second through the path.
    pub rate_per_s: f64,
    /// Successful requests per second directly to the endpoint.
    pub direct_rate_per_s: f64,
    /// Latency added by the path: the differences at p50, p99 and p99.9, in microseconds.
    pub added_us: [f64; 3],
    /// CPU time of the path's processes per successful request, in microseconds.
    pub cpu_us: f64,
    /// Requests through the path that failed or were not sent, summed over the rounds.
    pub lost: u64,
}

/// The result of a comparison, printed as a Markdown table.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// One row per load and pair, ordered by load, then by pair.
    pub rows: Vec<Row>,
    /// The name of each pair, with the peak memory and the total CPU time of its processes.
    pub usage: Vec<(String, Usage)>,
    pairs: usize,
}

const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];

struct Sample {
    rate_per_s: f64,
    direct_rate_per_s: f64,
    added_us: [f64; 3],
    cpu_us: f64,
    lost: u64,
}

/// Runs each load on each pair.
///
/// The pairs take turns within a round, so that other load on the machine affects all of them alike.
///
/// # Errors
///
/// [`Error`] if a load cannot be run.
pub async fn run(options: &Options) -> Result<Outcome, Report<Error>> {
    let open = options
        .rates_per_s
        .iter()
        .map(|rate| Arrivals::Open { rate_per_s: *rate });
    let closed = Arrivals::Closed {
        clients: options.clients,
    };
    let mut rows = Vec::new();
    for arrivals in open.chain([closed]) {
        let mut samples: Vec<Vec<Sample>> = options.pairs.iter().map(|_| Vec::new()).collect();
        for _ in 0..options.rounds.max(1) {
            for (pair, samples) in options.pairs.iter().zip(&mut samples) {
                samples.push(measure(options, pair, arrivals).await?);
            }
        }
        for (pair, samples) in options.pairs.iter().zip(&samples) {
            rows.push(median_row(&pair.name, arrivals, samples));
        }
    }
    let used = options
        .pairs
        .iter()
        .map(|pair| (pair.name.clone(), total_usage(&pair.pids)));
    Ok(Outcome {
        rows,
        usage: used.collect(),
        pairs: options.pairs.len(),
    })
}

async fn measure(
    options: &Options,
    pair: &Pair,
    arrivals: Arrivals,
) -> Result<Sample, Report<Error>> {
    let load = |url: &str, key: &Option<String>| load::Options {
        url: url.to_owned(),
        key: key.clone(),
        body: options.body.clone(),
        arrivals,
        seconds: options.seconds,
    };
    let direct = load::run(&load(&pair.direct_url, &None)).await?;
    let before = total_usage(&pair.pids);
    let path = load::run(&load(&pair.path_url, &pair.key)).await?;
    let after = total_usage(&pair.pids);
    let added_us = QUANTILES
        .map(|quantile| to_f64(path.quantile_us(quantile)) - to_f64(direct.quantile_us(quantile)));
    Ok(Sample {
        rate_per_s: path.rate_per_s(),
        direct_rate_per_s: direct.rate_per_s(),
        added_us,
        cpu_us: to_f64((after.cpu_ms - before.cpu_ms) * 1_000) / to_f64(path.succeeded.max(1)),
        lost: path.failed + path.unsent,
    })
}

fn total_usage(pids: &[u32]) -> Usage {
    let used = pids.iter().filter_map(|pid| usage(*pid));
    used.fold(Usage::default(), |total, one| Usage {
        peak_kb: total.peak_kb + one.peak_kb,
        cpu_ms: total.cpu_ms + one.cpu_ms,
    })
}

fn median_row(name: &str, arrivals: Arrivals, samples: &[Sample]) -> Row {
    let median_of = |value: &dyn Fn(&Sample) -> f64| median(samples.iter().map(value).collect());
    Row {
        name: name.to_owned(),
        arrivals,
        rate_per_s: median_of(&|sample| sample.rate_per_s),
        direct_rate_per_s: median_of(&|sample| sample.direct_rate_per_s),
        added_us: [0, 1, 2].map(|index| median_of(&move |sample| sample.added_us[index])),
        cpu_us: median_of(&|sample| sample.cpu_us),
        lost: samples.iter().map(|sample| sample.lost).sum(),
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(value: u64) -> f64 {
    value as f64
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| load | path | requests/s | direct | added p50, p99, p99.9 us | ratios | CPU us a request | lost | ratios: rate, CPU |"
        )?;
        writeln!(
            f,
            "| --- | --- | ---: | ---: | --- | --- | ---: | ---: | --- |"
        )?;
        for load in self.rows.chunks(self.pairs.max(1)) {
            let reference = &load[0];
            for row in load {
                write_row(f, row, reference)?;
            }
        }
        for (name, usage) in &self.usage {
            writeln!(f, "{name}: peak memory {} kB", usage.peak_kb)?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &Row, reference: &Row) -> fmt::Result {
    let name = &row.name;
    let rates = format!("{:.0} | {:.0}", row.rate_per_s, row.direct_rate_per_s);
    let rate_ratio = row.rate_per_s / reference.rate_per_s;
    let cpu_ratio = row.cpu_us / reference.cpu_us;
    match row.arrivals {
        Arrivals::Open { rate_per_s } => {
            let [p50, p99, p999] = row.added_us;
            let [base_p50, base_p99, base_p999] = reference.added_us;
            write!(
                f,
                "| {rate_per_s}/s | {name} | {rates} | {p50:.0}, {p99:.0}, {p999:.0} "
            )?;
            let (p50, p99, p999) = (p50 / base_p50, p99 / base_p99, p999 / base_p999);
            write!(f, "| {p50:.2}, {p99:.2}, {p999:.2} ")?;
        }
        // Under saturation the number of requests in service differs between paths, so latencies cannot be subtracted.
        Arrivals::Closed { clients } => write!(f, "| {clients} clients | {name} | {rates} | | ")?,
    }
    let (cpu_us, lost) = (row.cpu_us, row.lost);
    writeln!(
        f,
        "| {cpu_us:.0} | {lost} | {rate_ratio:.2}, {cpu_ratio:.2} |"
    )
}
