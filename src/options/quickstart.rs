//! Command-line arguments of `quickstart`.

use argh::FromArgs;

/// Run a small fleet with stand-ins for the platform in this process, and show its responses.
#[derive(FromArgs)]
#[argh(subcommand, name = "quickstart")]
pub struct QuickstartOptions {}
