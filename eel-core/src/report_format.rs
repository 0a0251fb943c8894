//! The output format of error reports.

use std::{backtrace::Backtrace, panic::Location};

use error_stack::{
    Report,
    fmt::{Charset, ColorMode},
};

/// Makes error reports print as plain ASCII text: causes and attachments, without source locations and backtraces.
pub fn install_report_format() {
    Report::set_color_mode(ColorMode::None);
    Report::set_charset(Charset::Ascii);
    Report::install_debug_hook::<Location<'static>>(|_, _| {});
    Report::install_debug_hook::<Backtrace>(|_, _| {});
}
