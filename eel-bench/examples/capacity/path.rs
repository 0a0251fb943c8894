//! Measures the CPU time of requests through the nodes and of requests directly to the target.

use std::error::Error;

use bytes::Bytes;
use eel_bench::{
    load::{self, Arrivals},
    testbed::{CALLER_KEY, Testbed},
};

use crate::point::{Point, cpu_ms, print_row, resident_kb, to_f64};

const RATES_PER_S: [u32; 3] = [250, 500, 1_000];
const TOKENS: [u32; 3] = [10, 40, 80];
const STREAMS_PER_S: u32 = 50;
const SECONDS: u64 = 2;
const BODY: Bytes = Bytes::from_static(&[b'x'; 1_024]);

/// Measures both kinds of load. The clients and the target run in this process too, so their CPU time is included.
pub async fn measure(testbed: &Testbed) -> Result<(), Box<dyn Error>> {
    let mut via_nodes = Vec::new();
    let mut direct = Vec::new();
    for rate in RATES_PER_S {
        let key = Some(CALLER_KEY.to_owned());
        via_nodes.push(cpu_ms_per_s(&testbed.path_url, key, rate, BODY).await?);
        direct.push(cpu_ms_per_s(&testbed.direct_url, None, rate, BODY).await?);
    }
    print_row(
        "requests through entry and target node, processor ms/s",
        "requests/s",
        &via_nodes,
    );
    print_row(
        "requests to the target alone, processor ms/s",
        "requests/s",
        &direct,
    );
    measure_tokens(testbed).await?;
    println!("\nResident at the end: {:.0} kB, all parts.", resident_kb());
    Ok(())
}

/// Measures streamed responses of several lengths, with one event per token.
async fn measure_tokens(testbed: &Testbed) -> Result<(), Box<dyn Error>> {
    let mut via_nodes = Vec::new();
    let mut direct = Vec::new();
    for tokens in TOKENS {
        let body = format!(r#"{{"stream":true,"max_tokens":{tokens}}}"#);
        let runs = [
            (
                &testbed.path_url,
                Some(CALLER_KEY.to_owned()),
                &mut via_nodes,
            ),
            (&testbed.direct_url, None, &mut direct),
        ];
        for (url, key, points) in runs {
            let url = format!("{url}v1/completions");
            let point = cpu_ms_per_s(&url, key, STREAMS_PER_S, body.clone().into()).await?;
            points.push(Point {
                x: point.x * f64::from(tokens),
                y: point.y,
            });
        }
    }
    print_row(
        "streams through both nodes, processor ms/s",
        "tokens/s",
        &via_nodes,
    );
    print_row(
        "streams from the target alone, processor ms/s",
        "tokens/s",
        &direct,
    );
    Ok(())
}

async fn cpu_ms_per_s(
    url: &str,
    key: Option<String>,
    rate: u32,
    body: Bytes,
) -> Result<Point, Box<dyn Error>> {
    let options = load::Options {
        url: url.to_owned(),
        key,
        body,
        arrivals: Arrivals::Open { rate_per_s: rate },
        seconds: SECONDS,
    };
    let before_ms = cpu_ms();
    let outcome = load::run(&options)
        .await
        .map_err(|report| report.to_string())?;
    let used_ms = cpu_ms() - before_ms;
    if outcome.failed + outcome.unsent > 0 {
        println!("| at {rate}/s: {outcome} | | | |");
    }
    let seconds = to_f64(SECONDS);
    Ok(Point {
        x: to_f64(outcome.succeeded) / seconds,
        y: used_ms / seconds,
    })
}
