//! The local ports from which links are opened.

use std::net::SocketAddr;

use eel_wire::{EndpointOptions, bind_client, credentials::Credentials};
use error_stack::Report;
use quinn::Endpoint;

/// Opens links from one local port, and from a port of its own where that one has not worked.
///
/// Whatever stands between the two ends may have lost track of a flow, and then drops each datagram between its ports, of
/// new links too.
pub(crate) struct Endpoints {
    shared: Endpoint,
    fresh_address: SocketAddr,
    credentials: Credentials,
}

impl Endpoints {
    /// Binds the shared port.
    ///
    /// # Errors
    ///
    /// As [`bind_client`].
    pub(crate) fn bind(
        address: SocketAddr,
        credentials: Credentials,
    ) -> Result<Self, Report<eel_wire::Error>> {
        let shared = bind_client(address, &credentials, EndpointOptions::default())?;
        Ok(Self {
            shared,
            fresh_address: SocketAddr::new(address.ip(), 0),
            credentials,
        })
    }

    /// Returns the endpoint of the shared port.
    pub(crate) fn shared(&self) -> Endpoint {
        self.shared.clone()
    }

    /// Binds a port that no link has used; it is freed with the last link that uses it.
    ///
    /// # Errors
    ///
    /// As [`bind_client`].
    pub(crate) fn fresh(&self) -> Result<Endpoint, Report<eel_wire::Error>> {
        bind_client(
            self.fresh_address,
            &self.credentials,
            EndpointOptions::default(),
        )
    }

    /// Closes the links of the shared port.
    pub(crate) async fn close(&self) {
        self.shared.close(0u32.into(), b"");
        self.shared.wait_idle().await;
    }
}
