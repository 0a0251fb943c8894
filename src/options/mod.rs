//! Command-line arguments of `eelgrassgap`.

#[cfg(feature = "bench")]
mod bench;
mod job;
mod keys;
#[cfg(feature = "quickstart")]
mod quickstart;
mod records;

use std::{path::PathBuf, str::FromStr};

use argh::FromArgs;

#[cfg(feature = "bench")]
pub use bench::{BenchOptions, LoadOptions};
pub use job::{JobCommand, JobOptions, JobResultsOptions, JobSubmitOptions};
pub use keys::{KeysCommand, KeysOptions};
#[cfg(feature = "quickstart")]
pub use quickstart::QuickstartOptions;
pub use records::{
    ApplyOptions, CheckOptions, GetOptions, PlanOptions, StatusOptions, parse_selector,
};

/// Serve online and batch inference on one fleet of machines, configured by declared records.
#[derive(FromArgs)]
pub struct Options {
    /// URLs of the key-value service, separated by commas (default: port 2379 of this VM)
    #[argh(option, default = "String::from(\"http://127.0.0.1:2379\")")]
    pub store: String,
    /// prefix of all keys of the fleet in the key-value service (default /eelgrassgap)
    #[argh(option, default = "String::from(\"/eelgrassgap\")")]
    pub prefix: String,
    /// timeout of a call in milliseconds (default 3000)
    #[argh(option, default = "3000")]
    pub timeout_ms: u64,
    /// output format, text or json (default text)
    #[argh(option, default = "Format::Text")]
    pub format: Format,
    #[argh(subcommand)]
    pub command: Command,
}

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Plain text for people.
    Text,
    /// JSON for scripts.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("'{text}' is not text or json")),
        }
    }
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Serve(ServeOptions),
    Gateway(GatewayOptions),
    Check(CheckOptions),
    Plan(PlanOptions),
    Apply(ApplyOptions),
    Get(GetOptions),
    Status(StatusOptions),
    Job(JobOptions),
    Keys(KeysOptions),
    Settings(SettingsOptions),
    Explain(ExplainOptions),
    #[cfg(feature = "bench")]
    Bench(BenchOptions),
    #[cfg(feature = "bench")]
    Load(LoadOptions),
    #[cfg(feature = "quickstart")]
    Quickstart(QuickstartOptions),
}

/// Run an entry node.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeOptions {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Run a gateway node, which sends requests and batch items directly to their targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayOptions {
    /// settings file
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// environment variable that holds the path of the settings file
    #[argh(option)]
    pub settings_env: Option<String>,
}

/// Inspect settings files.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct SettingsOptions {
    #[argh(subcommand)]
    pub command: SettingsCommand,
}

/// Print the log lines of all nodes for a request, an item or a job, in order of time.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainOptions {
    /// id of the request, the item or the job
    #[argh(positional)]
    pub id: String,
    /// log files in the JSON lines format
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum SettingsCommand {
    Check(SettingsCheckOptions),
}

/// Validate a settings file without starting a process.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SettingsCheckOptions {
    /// validate the settings of a target node instead of an entry node
    #[argh(switch)]
    pub target: bool,
    /// validate the settings of a gateway node instead of an entry node
    #[argh(switch)]
    pub gateway: bool,
    /// settings file
    #[argh(positional)]
    pub file: PathBuf,
}
