//! Command-line arguments of `eelgrassgap-target`.

use std::path::PathBuf;

use argh::FromArgs;

/// Run a target node, which is the only path to the target beside it.
#[derive(FromArgs)]
pub struct Options {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Run(RunOptions),
}

/// Run a target node.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunOptions {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
}
