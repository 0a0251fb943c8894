//! Guards against items with no result or several, non-repeatable items that start twice, and the verdict not-run for
//! items that started. They happen when holders crash, pause or lose their leases; the runs are generated.

use eel_batch::{DrainReason, Outcome};
use eel_verdict::{Reason, Refusal, Verdict};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::model::{Simulation, Step};

const SEED: u64 = 41;

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let not_run = Refusal::not_run(Reason::Cancelled);
        let refusals = [
            not_run,
            not_run.retry_after(400),
            Refusal::may_have_run(Reason::Cancelled),
            Refusal::may_have_run(Reason::TargetFailed),
            Refusal::not_run(Reason::TargetFailed),
        ];
        let drains = [
            DrainReason::Leaving,
            DrainReason::Leaving,
            DrainReason::Expired,
            DrainReason::Cancelled,
        ];
        let steps = [
            Self::Pass {
                ms: u64::arbitrary(g) % 1_000,
            },
            Self::Pass {
                ms: u64::arbitrary(g) % 15_000,
            },
            Self::Claim,
            Self::Claim,
            Self::Credit {
                count: u32::arbitrary(g) % 4,
            },
            Self::Credit {
                count: u32::arbitrary(g) % 4,
            },
            Self::Credit { count: 5 },
            Self::Answer { status_code: 200 },
            Self::Answer { status_code: 200 },
            Self::Answer { status_code: 503 },
            Self::Refuse {
                refusal: *g.choose(&refusals).unwrap(),
            },
            Self::Refuse {
                refusal: *g.choose(&refusals).unwrap(),
            },
            Self::Crash,
            Self::Pause,
            Self::Resume,
            Self::Renew,
            Self::Renew,
            Self::Drain(*g.choose(&drains).unwrap()),
        ];
        *g.choose(&steps).unwrap()
    }
}

fn holds(steps: Vec<Step>, items: u8, repeatable: bool) -> TestResult {
    let items = u32::from(items % 12) + 1;
    let mut simulation = Simulation::new(items, repeatable);
    for step in steps {
        simulation.step(step);
    }
    simulation.finish();
    if !simulation.stored.done {
        return TestResult::error("the chunk was not done");
    }
    if simulation.stored.results.len() != items as usize {
        return TestResult::error("an item has no result");
    }
    for (item, results) in &simulation.stored.results {
        let starts = simulation.starts.get(item).copied().unwrap_or(0);
        if results.len() != 1 {
            return TestResult::error(format!("{item} has {} results", results.len()));
        }
        if !repeatable && starts > 1 {
            return TestResult::error(format!("{item} started {starts} times"));
        }
        let not_run = matches!(&results[0].outcome,
            Outcome::Error(error) if error.verdict == Verdict::NotRun);
        if not_run && starts > 0 {
            return TestResult::error(format!("{item} started, but its verdict is not-run"));
        }
    }
    TestResult::passed()
}

#[test]
fn each_item_ends_once() {
    println!("seed {SEED}");
    QuickCheck::new()
        .tests(20_000)
        .max_tests(20_000)
        .rng(Gen::from_size_and_seed(120, SEED))
        .quickcheck(holds as fn(Vec<Step>, u8, bool) -> TestResult);
}
