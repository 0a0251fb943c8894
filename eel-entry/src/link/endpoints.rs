//! The local UDP ports from which links are opened.

use std::net::SocketAddr;

use eel_wire::{EndpointOptions, bind_client, credentials::Credentials};
use error_stack::Report;
use quinn::Endpoint;

/// Opens links from one shared local port, and from a dedicated port for a link that failed on the shared port.
///
/// A middlebox that has lost the state of a flow drops every datagram between the two ports of that flow, including
/// those of new links.
pub(crate) struct Endpoints {
    shared: Endpoint,
    dedicated_address: SocketAddr,
    credentials: Credentials,
}

impl Endpoints {
    /// Binds the shared port to `address`.
    ///
    /// # Errors
    ///
    /// The errors of [`bind_client`].
    pub(crate) fn bind(
        address: SocketAddr,
        credentials: Credentials,
    ) -> Result<Self, Report<eel_wire::Error>> {
        let shared = bind_client(address, &credentials, EndpointOptions::default())?;
        Ok(Self {
            shared,
            dedicated_address: SocketAddr::new(address.ip(), 0),
            credentials,
        })
    }

    /// Returns the endpoint of the shared port.
    pub(crate) fn shared(&self) -> Endpoint {
        self.shared.clone()
    }

    /// Binds a new port, which is released once its last link is dropped.
    ///
    /// # Errors
    ///
    /// The errors of [`bind_client`].
    pub(crate) fn dedicated(&self) -> Result<Endpoint, Report<eel_wire::Error>> {
        bind_client(
            self.dedicated_address,
            &self.credentials,
            EndpointOptions::default(),
        )
    }

    /// Closes the links of the shared port and waits until its endpoint is idle.
    pub(crate) async fn close(&self) {
        self.shared.close(0u32.into(), b"");
        self.shared.wait_idle().await;
    }
}
