//! Arguments of `quickstart`.

use argh::FromArgs;

/// Run a small fleet with stand-ins of the platform in this process, and show what it answers.
#[derive(FromArgs)]
#[argh(subcommand, name = "quickstart")]
pub struct QuickstartOptions {}
