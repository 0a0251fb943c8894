//! Prints outcomes in the selected format.

use std::fmt::Display;

use error_stack::{Report, ResultExt as _};
use serde::Serialize;

use crate::{error::Error, options::Format};

/// Prints `outcome` to standard output.
pub fn print<T: Display + Serialize>(outcome: &T, format: Format) -> Result<(), Report<Error>> {
    match format {
        Format::Text => println!("{outcome}"),
        Format::Json => {
            let text = serde_json::to_string_pretty(outcome).change_context(Error::Command)?;
            println!("{text}");
        }
    }
    Ok(())
}
