//! Guards against accepted jobs that miss their deadline or make queued jobs miss theirs, because the queued work was
//! not counted, and against refusals that name a deadline which would be refused as well.

use eel_batch::admission::{Decision, MAX_RETRY_AFTER_MS, Queued, decide};
use quickcheck::{Gen, QuickCheck};

const NOW_MS: u64 = 1_000_000;
const SEED: u64 = 43;

fn work(due_in_s: u64, items: u64) -> Queued {
    Queued {
        deadline_unix_ms: NOW_MS + due_in_s * 1_000,
        items,
    }
}

#[test]
fn capacity_at_hand() {
    // Queued work, items per second, the job, whether it is accepted.
    let cases = [
        (vec![], None, work(1, 1_000_000), true),
        (vec![], None, work(0, 1), false),
        (vec![], Some(10.0), work(100, 899), true),
        (vec![], Some(10.0), work(100, 1_000), false),
        // Work due later does not delay the job, but must still meet its deadline.
        (vec![work(1_000, 5_000)], Some(10.0), work(100, 800), true),
        (vec![work(1_000, 8_900)], Some(10.0), work(100, 800), false),
        // Work due earlier runs first.
        (vec![work(50, 400)], Some(10.0), work(100, 400), true),
        (vec![work(50, 400)], Some(10.0), work(100, 800), false),
    ];
    for (queued, rate, job, accepted) in cases {
        let decision = decide(NOW_MS, &queued, rate, job);
        assert_eq!(
            decision == Decision::Accept,
            accepted,
            "{queued:?} {job:?} {decision:?}"
        );
    }
}

#[test]
fn named_deadline_is_met() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its values owned"
    )]
    fn property(queued: Vec<(u16, u16)>, rate: u8, due_in_s: u16, items: u16) -> bool {
        let queued = queued
            .iter()
            .map(|(due, items)| work((*due).into(), (*items).into()));
        let queued: Vec<_> = queued.collect();
        let rate = Some(f64::from(rate) + 1.0);
        let job = work(due_in_s.into(), items.into());
        match decide(NOW_MS, &queued, rate, job) {
            Decision::Accept => true,
            Decision::Refuse {
                earliest_deadline_unix_ms,
                retry_after_ms,
            } => {
                let later = Queued {
                    deadline_unix_ms: earliest_deadline_unix_ms,
                    ..job
                };
                let accepted = decide(NOW_MS, &queued, rate, later) == Decision::Accept;
                accepted && (1_000..=MAX_RETRY_AFTER_MS).contains(&retry_after_ms)
            }
        }
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .tests(5_000)
        .rng(Gen::from_size_and_seed(30, SEED))
        .quickcheck(property as fn(Vec<(u16, u16)>, u8, u16, u16) -> bool);
}
