//! Loads and validates the INI settings files of the nodes; each error has a line number.

mod document;
mod entry;
mod error;
mod gateway;
mod section;
mod shared;
mod target;

pub use entry::{BatchSettings, EntryListenSettings, EntryNodeSettings, EntrySettings};
pub use error::{Error, Fault, Problem};
pub use gateway::{
    GatewayBatchSettings, GatewayLimitSettings, GatewayListenSettings, GatewayNodeSettings,
    GatewayPlacementSettings, GatewaySettings, GatewayStoreSettings,
};
pub use shared::{
    DrainSettings, LogFormat, StoreSettings, TelemetrySettings, TlsSettings, VmListSettings,
};
pub use target::{EngineSettings, TargetListenSettings, TargetNodeSettings, TargetSettings};
