//! Command-line arguments of `keys`.

use std::path::PathBuf;

use argh::FromArgs;
use eel_types::Name;

/// Create the fleet's certificates and callers' keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct KeysOptions {
    #[argh(subcommand)]
    pub command: KeysCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum KeysCommand {
    Ca(KeysCaOptions),
    Node(KeysNodeOptions),
    Caller(KeysCallerOptions),
}

/// Create the fleet's certificate authority, ca.pem and ca.key.
#[derive(FromArgs)]
#[argh(subcommand, name = "ca")]
pub struct KeysCaOptions {
    /// directory to write to
    #[argh(positional)]
    pub directory: PathBuf,
}

/// Create a node's certificate, NAME.pem and NAME.key.
#[derive(FromArgs)]
#[argh(subcommand, name = "node")]
pub struct KeysNodeOptions {
    /// replace an existing certificate
    #[argh(switch)]
    pub replace: bool,
    /// directory that holds ca.pem and ca.key
    #[argh(positional)]
    pub directory: PathBuf,
    /// name of the VM
    #[argh(positional)]
    pub name: Name,
}

/// Create a caller's key and print it with the digest for the caller's record.
#[derive(FromArgs)]
#[argh(subcommand, name = "caller")]
pub struct KeysCallerOptions {}
