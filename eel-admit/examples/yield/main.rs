//! Compares policies for running batch beside online requests in a simulation of one engine, and times the decisions.
//!
//! The engine works in steps. Each step generates one token for every stream and takes longer the more streams and new
//! prompts it processes. Online requests arrive singly and in bursts. The seeds are fixed, and every policy gets the
//! same arrivals.

mod fifo;
mod figures;
mod model;

use std::time::Instant;

use eel_admit::{Admission, Arrival, Event, Finish, LinkKey, Options, RequestKey};
use eel_types::{Attempt, Class, Name, RequestId};

use crate::{
    figures::{Figures, float},
    model::{LINKS, Model, Policy, RUN_US, Setting, open},
};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn measure(setting: Setting, policy: Policy) -> Figures {
    let mut all = Figures::default();
    for seed in SEEDS {
        all.add(Model::new(setting, policy, seed).run());
    }
    all
}

/// Measures the throughput of decisions on one core, for a mix of online requests and batch items.
fn time_decisions() {
    const REQUESTS: u64 = 1_000_000;
    let mut admission = Admission::new(Options::default());
    let links: Vec<LinkKey> = (0..LINKS).map(|link| open(&mut admission, link)).collect();
    let caller = Name::from("caller");
    let mut actions = Vec::new();
    let mut events = 0_u64;
    let start = Instant::now();
    for id in 0..REQUESTS {
        let now_ms = id / 20;
        let key = RequestKey {
            id: RequestId(id.into()),
            attempt: Attempt(1),
        };
        let link = links[usize::try_from(id).unwrap_or(0) % links.len()];
        let class = if id % 4 == 0 {
            Class::Batch
        } else {
            Class::Interactive
        };
        if class == Class::Batch {
            admission.on_event(now_ms, Event::CreditsRequested(link), &mut actions);
        }
        let arrival = Arrival {
            key,
            link,
            caller: caller.clone(),
            class,
            deadline_ms: now_ms + 9_000,
            repeatable: true,
        };
        admission.on_event(now_ms, Event::Arrived(arrival), &mut actions);
        if let Some(ended) = id.checked_sub(12) {
            let key = RequestKey {
                id: RequestId(ended.into()),
                attempt: Attempt(1),
            };
            let finish = Finish {
                key,
                first_byte_ms: Some(20),
                between_tokens_ms: Some(5),
            };
            admission.on_event(now_ms, Event::Finished(finish), &mut actions);
        }
        events += 2;
        actions.clear();
    }
    let seconds = start.elapsed().as_secs_f64();
    println!(
        "{:.0} events a second on one core, {:.2} us each",
        float(events) / seconds,
        seconds * 1e6 / float(events)
    );
}

fn compare(setting: Setting) {
    println!("\n{setting:?}\n");
    Figures::print_head();
    let base_ms = measure(setting, Policy::NoBatch).first_token_p99_ms();
    let seconds = float(RUN_US / 1_000_000 * SEEDS.len() as u64);
    for (name, policy) in [
        ("no batch", Policy::NoBatch),
        ("no yield", Policy::NoYield),
        ("fixed reserve of a quarter", Policy::FixedReserve),
        ("credits, rerun", Policy::Credits { resumes: false }),
        ("credits, resume", Policy::Credits { resumes: true }),
    ] {
        measure(setting, policy).print(name, seconds, base_ms);
    }
}

fn main() {
    println!("seeds {SEEDS:?}, {} s each", RUN_US / 1_000_000);
    for step_stream_us in [100, 300] {
        for (gap_us, burst) in [(500_000, 12), (250_000, 24)] {
            compare(Setting {
                step_stream_us,
                gap_us,
                burst,
            });
        }
    }
    time_decisions();
}
