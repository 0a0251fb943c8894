//! Guards against links between nodes of different fleets: either end must reject a certificate of another authority.

use std::net::SocketAddr;

use eel_wire::{
    EndpointOptions, bind_client, bind_server, connect,
    credentials::{Credentials, PemPair, create_certificate_authority, issue_node_certificate},
};
use quinn::Endpoint;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Returns credentials that trust `trusted` and were issued by `issuer`.
fn credentials(trusted: &PemPair, issuer: &PemPair) -> Credentials {
    let node = issue_node_certificate(issuer, "vm").expect("a certificate");
    Credentials::from_pem(&trusted.certificate, &node).expect("usable credentials")
}

fn server(own: &PemPair) -> (Endpoint, SocketAddr) {
    let endpoint = bind_server(LOOPBACK, &credentials(own, own), EndpointOptions::default());
    let endpoint = endpoint.expect("a free port");
    let address = endpoint.local_addr().expect("a bound socket");
    (endpoint, address)
}

/// Returns whether a client with `credentials` can exchange a message with the server.
async fn is_linked(server: &Endpoint, address: SocketAddr, credentials: &Credentials) -> bool {
    let client = bind_client(LOOPBACK, credentials, EndpointOptions::default());
    let client = client.expect("a free port");
    let accepted = async {
        let connection = server
            .accept()
            .await
            .expect("an open endpoint")
            .await
            .ok()?;
        let (mut send, mut recv) = connection.accept_bi().await.ok()?;
        let text = recv.read_to_end(16).await.ok()?;
        send.write_all(&text).await.ok()?;
        let _ = send.finish();
        let _ = send.stopped().await;
        Some(())
    };
    let opened = async {
        let connection = connect(&client, address).await.ok()?;
        let (mut send, mut recv) = connection.open_bi().await.ok()?;
        send.write_all(b"ping").await.ok()?;
        let _ = send.finish();
        recv.read_to_end(16).await.ok()
    };
    let (_, response) = tokio::join!(accepted, opened);
    response.as_deref() == Some(b"ping")
}

#[tokio::test]
async fn other_fleets_are_refused() {
    let own = create_certificate_authority().expect("a certificate");
    let other = create_certificate_authority().expect("a certificate");
    let (server, address) = server(&own);
    let cases = [
        ("same fleet", credentials(&own, &own), true),
        (
            "certificate of another fleet",
            credentials(&own, &other),
            false,
        ),
        ("trusts another fleet", credentials(&other, &own), false),
        (
            "wholly of another fleet",
            credentials(&other, &other),
            false,
        ),
    ];
    for (name, credentials, expected) in cases {
        assert_eq!(
            is_linked(&server, address, &credentials).await,
            expected,
            "{name}"
        );
    }
}
