//! Properties of a pool over generated sequences of events.
//!
//! They guard against the choice of an unusable target, against attempts that stay counted after their end, and against
//! choices that depend on anything but the events and the seed.

use eel_route::{
    AttemptOutcome, BreakerState, InFlightKey, Policy, Pool, PoolOptions, TargetKey, TargetQuery,
};
use eel_types::{Class, LoadReport};
use eel_verdict::Reason;
use quickcheck::{Gen, QuickCheck};
use rand::{SeedableRng as _, rngs::StdRng};

use crate::target_choice::add;

const SEED: u64 = 0x5eed_0005;
const POLICIES: [Policy; 4] = [
    Policy::Random,
    Policy::LeastInFlight,
    Policy::PowerOfTwo,
    Policy::Weighted,
];

type Step = (u8, u8, u16);

struct Run {
    pool: Pool,
    rng: StdRng,
    targets: Vec<TargetKey>,
    running: Vec<InFlightKey>,
    choices: Vec<TargetKey>,
    now_ms: u64,
}

impl Run {
    fn new(policy: Policy) -> Self {
        Self {
            pool: Pool::new(PoolOptions {
                policy,
                ..PoolOptions::default()
            }),
            rng: StdRng::seed_from_u64(SEED),
            targets: Vec::new(),
            running: Vec::new(),
            choices: Vec::new(),
            now_ms: 0,
        }
    }

    fn step(&mut self, (action, pick, value): Step) -> bool {
        self.now_ms += u64::from(value % 64);
        match action % 12 {
            0 => self
                .targets
                .push(add(&mut self.pool, &format!("vm-{pick}"), pick % 2 == 0)),
            1 => self.report(pick, value),
            2 => self.change_membership(pick),
            3..=7 => return self.choose(pick, value),
            _ => self.end(pick, value),
        }
        true
    }

    fn target(&self, pick: u8) -> Option<TargetKey> {
        let index = usize::from(pick).checked_rem(self.targets.len())?;
        Some(self.targets[index])
    }

    fn report(&mut self, pick: u8, value: u16) {
        let report = LoadReport {
            slots: 8,
            running_online: u32::from(value % 9),
            batch_credits: u32::from(value % 3),
            credit_valid_ms: 1_000,
            ..LoadReport::default()
        };
        if let Some(target) = self.target(pick) {
            self.pool.on_report(self.now_ms, target, report);
            self.pool.on_prefix_cached(u64::from(value % 4), target);
        }
    }

    fn change_membership(&mut self, pick: u8) {
        match (self.target(pick), pick % 4) {
            (Some(target), 0) => self.pool.stop_use(target),
            (Some(target), 1) => self.pool.remove_target(target),
            _ => {}
        }
    }

    fn choose(&mut self, pick: u8, value: u16) -> bool {
        let excluded: Vec<_> = self.target(pick).into_iter().collect();
        let query = TargetQuery {
            class: if pick.is_multiple_of(5) {
                Class::Batch
            } else {
                Class::Interactive
            },
            prefix_hash: Some(u64::from(value % 4)),
            repeatable: value.is_multiple_of(2),
            excluded: &excluded,
        };
        let Ok(target) = self.pool.choose(self.now_ms, &query, &mut self.rng) else {
            return true;
        };
        self.choices.push(target);
        let Some(status) = self.pool.status(self.now_ms, target) else {
            return false;
        };
        let open = matches!(
            status.breaker,
            BreakerState::Open { .. } | BreakerState::HalfOpen { probing: true }
        );
        let started = self.pool.start(self.now_ms, target, query.class);
        self.running.extend(started);
        !status.leaving && !open && !excluded.contains(&target) && started.is_some()
    }

    fn end(&mut self, pick: u8, value: u16) {
        if self.running.is_empty() {
            return;
        }
        let attempt = self
            .running
            .swap_remove(usize::from(pick) % self.running.len());
        let outcome = match value % 8 {
            0..=2 => AttemptOutcome::Answered {
                first_byte_us: u64::from(value) * 100,
            },
            3..=4 => AttemptOutcome::Failed,
            5 => AttemptOutcome::Refused(Reason::Overloaded),
            6 => AttemptOutcome::Refused(Reason::TargetFailed),
            _ => AttemptOutcome::Cancelled,
        };
        self.pool.end(self.now_ms, attempt, outcome, &mut self.rng);
        self.pool.end(self.now_ms, attempt, outcome, &mut self.rng);
    }

    fn drain(&mut self) -> bool {
        while !self.running.is_empty() {
            self.end(0, 7);
        }
        let idle = |target| {
            let status = self.pool.status(self.now_ms, target);
            status.is_none_or(|status| status.in_flight == 0)
        };
        self.pool.in_flight() == 0 && self.targets.iter().copied().all(idle)
    }
}

fn check(property: fn(Vec<Step>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(300)
        .quickcheck(property);
}

#[test]
fn choices_are_usable_and_counts_return() {
    check(|steps| {
        POLICIES.into_iter().all(|policy| {
            let mut run = Run::new(policy);
            steps.iter().all(|step| run.step(*step)) && run.drain()
        })
    });
}

#[test]
fn same_seed_same_choices() {
    check(|steps| {
        let choices = |policy| {
            let mut run = Run::new(policy);
            steps.iter().all(|step| run.step(*step));
            run.choices
        };
        POLICIES
            .into_iter()
            .all(|policy| choices(policy) == choices(policy))
    });
}
