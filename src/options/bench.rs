//! Command-line arguments of `bench` and `load`.

use std::path::PathBuf;

use argh::FromArgs;
use eel_bench::compare::Pair;

/// Measure the overhead of the path through an entry node and a target node, compared with the target alone.
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchOptions {
    /// only run the stand-ins, and write settings files for nodes to this directory
    #[argh(option)]
    pub stage: Option<PathBuf>,
    /// base URL of the target (default: a stand-in engine)
    #[argh(option)]
    pub engine_url: Option<String>,
    /// number of target nodes (default 1)
    #[argh(option, default = "1")]
    pub targets: u32,
    /// a running path, as `NAME,DIRECT_URL,PATH_URL[,key=KEY][,pid=PID]...`; may be repeated, the first is the reference
    #[argh(option)]
    pub pair: Vec<Pair>,
    /// rate of an open-loop load in requests per second; may be repeated (default 1000, 5000)
    #[argh(option)]
    pub rate: Vec<u32>,
    /// number of clients of the closed-loop load (default 64)
    #[argh(option, default = "64")]
    pub clients: u32,
    /// duration of each load in seconds (default 4)
    #[argh(option, default = "4")]
    pub seconds: u64,
    /// number of rounds, of which the median is reported (default 3)
    #[argh(option, default = "3")]
    pub rounds: u32,
}

/// Send load to a loopback address for a limited time.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadOptions {
    /// URL that each request is posted to
    #[argh(option)]
    pub url: String,
    /// requests per second; 0 sends as fast as 64 clients can
    #[argh(option)]
    pub rate: u32,
    /// duration of the load in seconds
    #[argh(option)]
    pub seconds: u64,
    /// caller key to authenticate with
    #[argh(option)]
    pub key: Option<String>,
    /// size of each request body in bytes (default 512)
    #[argh(option, default = "512")]
    pub body_bytes: usize,
}
