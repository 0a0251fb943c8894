//! Command-line arguments of `eelgrassgap`.

use std::path::PathBuf;

use argh::FromArgs;

/// Online and batch inference on one fleet: the entry node, and the command line of operators and callers.
#[derive(Debug, FromArgs)]
pub struct Options {
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommand.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Serve(Serve),
}

/// Run an entry node.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// the settings file
    #[argh(option)]
    pub settings: PathBuf,
}
