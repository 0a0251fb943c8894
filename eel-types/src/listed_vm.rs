//! VMs as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// What the platform intends with a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The VM is there to be used.
    Live,
    /// The VM is being taken away.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name.
    pub name: Name,
    /// The address of the target node's listener.
    pub address: SocketAddr,
    /// The data centre that the VM is in.
    pub data_centre: Name,
    /// The pool that the VM's target belongs to.
    pub pool: Name,
    /// What the platform intends with it.
    pub state: ListedState,
}
