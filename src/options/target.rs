//! Arguments of `eelgrassgap-target`.

use std::path::PathBuf;

use argh::FromArgs;

/// Stands beside one target and is the only path to it.
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
