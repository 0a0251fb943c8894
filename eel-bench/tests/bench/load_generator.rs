//! Tests of the load generator: its counts and latencies, and the options that it refuses.
//!
//! Guards against wrong benchmark figures, which happen when failed requests count as successes or the time of a slow
//! response is not measured, and against load on hosts other than this one, which a mistyped URL would cause.

use bytes::Bytes;
use eel_bench::load::{self, Arrivals, Options};
use eel_standin::engine::{Engine, EngineOptions, Fault};

fn options(url: &str, arrivals: Arrivals) -> Options {
    Options {
        url: url.to_owned(),
        key: None,
        body: Bytes::from_static(b"body"),
        arrivals,
        seconds: 1,
    }
}

#[tokio::test]
async fn answers_are_counted() {
    let loads = [
        Arrivals::Open { rate_per_s: 100 },
        Arrivals::Closed { clients: 2 },
    ];
    for arrivals in loads {
        let engine = Engine::start(EngineOptions::default()).await;
        let outcome = load::run(&options(&engine.url(), arrivals))
            .await
            .expect("loopback");
        assert!(outcome.succeeded > 0, "{arrivals:?}: {outcome}");
        assert_eq!(
            (outcome.failed, outcome.unsent),
            (0, 0),
            "{arrivals:?}: {outcome}"
        );
        assert_eq!(outcome.latency_us.len(), outcome.succeeded);
    }
}

#[tokio::test]
async fn slow_answers_are_measured() {
    const STEP_US: u64 = 20_000;
    let engine = Engine::start(EngineOptions {
        step_us: STEP_US,
        ..EngineOptions::default()
    })
    .await;
    let url = format!("{}/v1/completions", engine.url());
    let options = Options {
        body: Bytes::from_static(br#"{"max_tokens": 1}"#),
        ..options(&url, Arrivals::Open { rate_per_s: 50 })
    };
    let outcome = load::run(&options).await.expect("loopback");
    assert!(outcome.quantile_us(0.001) >= STEP_US, "{outcome}");
}

#[tokio::test]
async fn failures_are_counted() {
    let engine = Engine::start(EngineOptions::default()).await;
    engine.set_fault(Fault::Status(503));
    let arrivals = Arrivals::Open { rate_per_s: 100 };
    let outcome = load::run(&options(&engine.url(), arrivals))
        .await
        .expect("loopback");
    assert_eq!(outcome.succeeded, 0);
    assert!(outcome.failed > 0);
}

#[tokio::test]
async fn out_of_bounds_is_refused() {
    let open = Arrivals::Open { rate_per_s: 1 };
    let cases = [
        ("http://192.0.2.1/", open, 1),
        ("http://example.com/", open, 1),
        ("not a url", open, 1),
        ("http://127.0.0.1:1/", open, 0),
        ("http://127.0.0.1:1/", open, load::MAX_SECONDS + 1),
        ("http://127.0.0.1:1/", Arrivals::Open { rate_per_s: 0 }, 1),
        ("http://127.0.0.1:1/", Arrivals::Closed { clients: 0 }, 1),
    ];
    for (url, arrivals, seconds) in cases {
        let options = Options {
            seconds,
            ..options(url, arrivals)
        };
        assert!(
            load::run(&options).await.is_err(),
            "{url}, {arrivals:?}, {seconds} s"
        );
    }
}
