//! Measures idle links, which carry heartbeats only, and open request streams.

use std::{error::Error, net::SocketAddr, time::Duration};

use eel_types::{Attempt, Class, LoadReport, RequestId, RequestKey, Revision};
use eel_wire::{
    EndpointOptions, bind_client, bind_server, codec, connect,
    credentials::{Credentials, create_certificate_authority, issue_node_certificate},
    message::{EntryControl, Ping, Pong, ServeRequest, StreamRequest, TargetControl},
};
use quinn::{Connection, Endpoint, RecvStream, SendStream};
use tokio::task::JoinSet;

use crate::point::{Point, cpu_ms, print_row, resident_kb, to_f64};

const LINKS: [u32; 3] = [100, 300, 900];
const STREAM_LIMITS: [u32; 3] = [64, 1_024, 4_096];
const LIMITED_LINKS: u32 = 200;
const STREAMS: [u32; 3] = [100, 1_000, 3_000];
const BODY_BYTES: usize = 1_024;
const PING_INTERVAL: Duration = Duration::from_millis(500);
const STABILIZE_DELAY: Duration = Duration::from_secs(1);
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(3);

/// Measures links and streams. Both ends run in this process.
pub async fn measure() -> Result<(), Box<dyn Error>> {
    let mut held = Vec::new();
    for streams in STREAMS {
        held.push(Point {
            x: streams.into(),
            y: measure_streams_kb(streams).await?,
        });
    }
    print_row(
        "open streams of 1 kB requests, resident kB of both ends",
        "streams",
        &held,
    );
    let mut limited = Vec::new();
    for limit in STREAM_LIMITS {
        let [_, _, _, kb] = measure_idle(LIMITED_LINKS, limit).await?;
        limited.push(Point {
            x: limit.into(),
            y: kb / f64::from(LIMITED_LINKS),
        });
    }
    print_row(
        "an idle link, resident kB of both ends",
        "streams allowed",
        &limited,
    );
    let mut rows: [Vec<Point>; 4] = Default::default();
    for links in LINKS {
        for (row, y) in rows
            .iter_mut()
            .zip(measure_idle(links, EndpointOptions::default().max_streams).await?)
        {
            row.push(Point { x: links.into(), y });
        }
    }
    let names = [
        "idle links, UDP bytes/s in and out",
        "idle links, datagrams/s in and out",
        "idle links, processor ms/s of both ends",
        "idle links, resident kB of both ends",
    ];
    for (name, row) in names.iter().zip(&rows) {
        print_row(name, "links", row);
    }
    Ok(())
}

struct EndpointPair {
    server: Endpoint,
    client: Endpoint,
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl EndpointPair {
    fn bind(max_streams: u32) -> Result<Self, Box<dyn Error>> {
        let authority = create_certificate_authority().map_err(|report| report.to_string())?;
        let credentials = |vm: &str| {
            let pair =
                issue_node_certificate(&authority, vm).map_err(|report| report.to_string())?;
            Credentials::from_pem(&authority.certificate, &pair)
                .map_err(|report| report.to_string())
        };
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = EndpointOptions {
            max_streams,
            ..EndpointOptions::default()
        };
        let server = bind_server(local, &credentials("target")?, options)
            .map_err(|report| report.to_string())?;
        let client = bind_client(local, &credentials("entry")?, options)
            .map_err(|report| report.to_string())?;
        let address = server.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(server.clone()));
        Ok(Self {
            server,
            client,
            address,
            tasks,
        })
    }

    async fn link(&self) -> Result<Connection, String> {
        let connected = connect(&self.client, self.address).await;
        connected.map_err(|report| report.to_string())
    }

    async fn close(mut self) {
        self.client.close(0u32.into(), b"");
        self.server.close(0u32.into(), b"");
        self.tasks.shutdown().await;
    }
}

/// Accepts links: responds to pings on the first stream of each and keeps the requests on the others open.
async fn accept(server: Endpoint) {
    while let Some(incoming) = server.accept().await {
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else {
                return;
            };
            if let Ok((send, recv)) = connection.accept_bi().await {
                tokio::spawn(respond_to_pings(send, recv));
            }
            let mut held = Vec::new();
            while let Ok((send, mut recv)) = connection.accept_bi().await {
                if let Ok(request) = codec::read::<StreamRequest>(&mut recv).await {
                    held.push((send, recv, request));
                }
            }
        });
    }
}

async fn respond_to_pings(mut send: SendStream, mut recv: RecvStream) {
    while let Ok(Some(EntryControl::Ping(ping))) = codec::read(&mut recv).await {
        let pong = Pong {
            sequence: ping.sequence,
            load: LoadReport::default(),
            revision: Revision(1_000_000),
            leaving: false,
        };
        if codec::write(&mut send, &TargetControl::Pong(pong))
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn ping(connection: Connection) {
    let Ok((mut send, mut recv)) = connection.open_bi().await else {
        return;
    };
    tokio::spawn(async move {
        while let Ok(Some(TargetControl::Pong(_))) = codec::read(&mut recv).await {}
    });
    let mut ticks = tokio::time::interval(PING_INTERVAL);
    for sequence in 0.. {
        ticks.tick().await;
        let ping = Ping {
            sequence,
            sent_ms: 100_000_000 + sequence * 500,
            wants_credits: true,
        };
        if codec::write(&mut send, &EntryControl::Ping(ping))
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Returns UDP bytes and datagrams per second, CPU time in ms per second and resident memory in kB of idle links.
async fn measure_idle(links: u32, max_streams: u32) -> Result<[f64; 4], Box<dyn Error>> {
    let mut pair = EndpointPair::bind(max_streams)?;
    let before_kb = resident_kb();
    let mut connections = Vec::new();
    for _ in 0..links {
        let connection = pair.link().await?;
        pair.tasks.spawn(ping(connection.clone()));
        connections.push(connection);
    }
    tokio::time::sleep(STABILIZE_DELAY).await;
    let (begin, begin_cpu_ms) = (traffic(&connections), cpu_ms());
    tokio::time::sleep(MEASUREMENT_WINDOW).await;
    let (end, end_cpu_ms) = (traffic(&connections), cpu_ms());
    let kb = resident_kb() - before_kb;
    pair.close().await;
    let seconds = MEASUREMENT_WINDOW.as_secs_f64();
    Ok([
        to_f64(end.0 - begin.0) / seconds,
        to_f64(end.1 - begin.1) / seconds,
        (end_cpu_ms - begin_cpu_ms) / seconds,
        kb,
    ])
}

/// Returns the UDP payload bytes and datagrams so far, in both directions.
fn traffic(connections: &[Connection]) -> (u64, u64) {
    connections
        .iter()
        .fold((0, 0), |(bytes, datagrams), connection| {
            let stats = connection.stats();
            let (sent, received) = (stats.udp_tx, stats.udp_rx);
            (
                bytes + sent.bytes + received.bytes,
                datagrams + sent.datagrams + received.datagrams,
            )
        })
}

/// Returns the resident memory in kB of `streams` open request streams on one link.
async fn measure_streams_kb(streams: u32) -> Result<f64, Box<dyn Error>> {
    let mut pair = EndpointPair::bind(EndpointOptions::default().max_streams)?;
    let connection = pair.link().await?;
    pair.tasks.spawn(ping(connection.clone()));
    tokio::time::sleep(STABILIZE_DELAY).await;
    let before_kb = resident_kb();
    let mut open = Vec::new();
    for index in 0..streams {
        let (mut send, recv) = connection.open_bi().await?;
        let stream_request = StreamRequest::Serve(Box::new(request(index)));
        codec::write(&mut send, &stream_request)
            .await
            .map_err(|report| report.to_string())?;
        open.push((send, recv));
    }
    tokio::time::sleep(STABILIZE_DELAY).await;
    let kb = resident_kb() - before_kb;
    pair.close().await;
    Ok(kb)
}

fn request(index: u32) -> ServeRequest {
    ServeRequest {
        key: RequestKey {
            id: RequestId(index.into()),
            attempt: Attempt(1),
        },
        caller: "caller".into(),
        service: "service".into(),
        class: Class::Urgent,
        sent_ms: 0,
        time_left_ms: 10_000,
        repeatable: true,
        method: "POST".into(),
        path: "/v1/completions".into(),
        headers: Vec::new(),
        traceparent: None,
        body: vec![b'x'; BODY_BYTES].into(),
    }
}
