//! QUIC endpoints with mutual TLS authentication.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt as _};
use quinn::{
    ClientConfig, Connection, ConnectionError, Endpoint, IdleTimeout, ReadError, ReadExactError,
    ServerConfig, TransportConfig, VarInt, WriteError,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    crypto::{CryptoProvider, ring},
    server::WebPkiClientVerifier,
    version::TLS13,
};

use crate::{
    Error,
    credentials::{Credentials, NODE_SERVER_NAME},
};

/// The ALPN protocol name of links.
const PROTOCOL_NAME: &[u8] = b"eelgrassgap/1";
/// The flow-control window of a stream.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
/// The number of streams that a target node may open: it replies on the streams of the entry node.
const NO_STREAMS: u32 = 0;
/// The flow-control window of a link, shared by its streams.
const LINK_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// The code with which [`close_drained`] closes a link.
const DRAINED_CODE: VarInt = VarInt::from_u32(1);

/// Transport limits of the links of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointOptions {
    /// The time without any received packet after which a link is closed.
    pub idle_timeout_ms: u32,
    /// The maximum number of streams that an entry node may have open on one link. Each allowed stream takes memory on
    /// the accepting side even while it is not open.
    pub max_streams: u32,
}

impl Default for EndpointOptions {
    fn default() -> Self {
        Self {
            idle_timeout_ms: 10_000,
            max_streams: 512,
        }
    }
}

/// Binds the endpoint on which a target node accepts links.
///
/// # Errors
///
/// [`Error::Credentials`] if TLS rejects the credentials, [`Error::Bind`] if the address cannot be bound.
pub fn bind_server(
    address: SocketAddr,
    credentials: &Credentials,
    options: EndpointOptions,
) -> Result<Endpoint, Report<Error>> {
    let config = server_config(credentials, options)?;
    Endpoint::server(config, address).change_context(Error::Bind)
}

/// Binds the endpoint from which an entry node opens links.
///
/// # Errors
///
/// The errors of [`bind_server`].
pub fn bind_client(
    address: SocketAddr,
    credentials: &Credentials,
    options: EndpointOptions,
) -> Result<Endpoint, Report<Error>> {
    let config = client_config(credentials, options)?;
    let mut endpoint = Endpoint::client(address).change_context(Error::Bind)?;
    endpoint.set_default_client_config(config);
    Ok(endpoint)
}

/// Opens a link to the target node at `address`.
///
/// # Errors
///
/// [`Error::Connect`] if the target node cannot be reached or does not belong to this fleet.
pub async fn connect(
    endpoint: &Endpoint,
    address: SocketAddr,
) -> Result<Connection, Report<Error>> {
    endpoint
        .connect(address, NODE_SERVER_NAME)
        .change_context(Error::Connect)?
        .await
        .change_context(Error::Connect)
}

/// Closes a link of a target node that has drained. This states that no request over the link has started without its
/// reply having been received by the entry node's transport in whole, and that none will start.
pub fn close_drained(connection: &Connection) {
    connection.close(DRAINED_CODE, b"");
}

/// Returns whether an exchange failed because its link was closed by [`close_drained`] before any of the reply arrived.
#[must_use]
pub fn is_drained(error: &Report<Error>) -> bool {
    let read = match error.downcast_ref::<ReadExactError>() {
        Some(ReadExactError::ReadError(ReadError::ConnectionLost(lost))) => Some(lost),
        _ => None,
    };
    let write = match error.downcast_ref::<WriteError>() {
        Some(WriteError::ConnectionLost(lost)) => Some(lost),
        _ => None,
    };
    match read.or(write) {
        Some(ConnectionError::ApplicationClosed(close)) => close.error_code == DRAINED_CODE,
        _ => false,
    }
}

fn server_config(
    credentials: &Credentials,
    options: EndpointOptions,
) -> Result<ServerConfig, Report<Error>> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(credentials.roots.clone(), provider())
            .build()
            .change_context(Error::Credentials)?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&TLS13])
        .change_context(Error::Credentials)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(credentials.chain.clone(), credentials.key.clone_key())
        .change_context(Error::Credentials)?;
    tls.alpn_protocols = vec![PROTOCOL_NAME.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).change_context(Error::Credentials)?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport(options, options.max_streams));
    Ok(config)
}

fn client_config(
    credentials: &Credentials,
    options: EndpointOptions,
) -> Result<ClientConfig, Report<Error>> {
    let mut tls = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&TLS13])
        .change_context(Error::Credentials)?
        .with_root_certificates(credentials.roots.clone())
        .with_client_auth_cert(credentials.chain.clone(), credentials.key.clone_key())
        .change_context(Error::Credentials)?;
    tls.alpn_protocols = vec![PROTOCOL_NAME.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).change_context(Error::Credentials)?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport(options, NO_STREAMS));
    Ok(config)
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn transport(options: EndpointOptions, accepted_streams: u32) -> Arc<TransportConfig> {
    let idle_timeout = IdleTimeout::from(VarInt::from_u32(options.idle_timeout_ms));
    let mut config = TransportConfig::default();
    config
        .max_concurrent_bidi_streams(VarInt::from_u32(accepted_streams))
        .max_concurrent_uni_streams(VarInt::from_u32(NO_STREAMS))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(LINK_WINDOW_BYTES))
        .initial_rtt(Duration::from_millis(10))
        .max_idle_timeout(Some(idle_timeout));
    Arc::new(config)
}
