//! INI settings of the two processes, checked, with a line number in every error.

mod document;
mod entry;
mod error;
mod section;
mod shared;
mod target;

pub use entry::{BatchSettings, EntryListen, EntryNode, EntrySettings};
pub use error::{Error, Fault, Problem};
pub use shared::{DrainSettings, StoreSettings, TelemetrySettings, TlsSettings, VmListSettings};
pub use target::{EngineSettings, TargetListen, TargetNode, TargetSettings};
