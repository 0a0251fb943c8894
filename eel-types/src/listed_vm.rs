//! VMs in the list of the platform.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// The state of a VM in the list of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The VM is available for use.
    Live,
    /// The platform is removing the VM.
    Leaving,
}

/// One entry of the VM list of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The name that identifies the VM from one list to the next.
    pub name: Name,
    /// The address on which the target node of the VM listens.
    pub address: SocketAddr,
    /// The name of the data centre of the VM.
    pub data_centre: Name,
    /// The name of the pool that the target of the VM belongs to.
    pub pool: Name,
    /// Whether the VM may be used or is being removed.
    pub state: ListedState,
}
