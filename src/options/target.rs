//! Command-line arguments of `eelgrassgap-target`.

use std::path::PathBuf;

use argh::FromArgs;

/// Run the node beside one target, through which all its requests pass.
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
