//! The results of one policy, and their row in the table.

/// The results of one or more runs of [`RUN_US`](crate::model::RUN_US) each.
#[derive(Debug, Default)]
pub struct Figures {
    /// The time from arrival to first token of each online request.
    pub first_token_us: Vec<u64>,
    /// The mean time between tokens of each online request.
    pub between_tokens_us: Vec<u64>,
    /// The time from arrival to the engine step that includes the request, less the length of one step, for each online
    /// request that found a free slot.
    pub slot_wait_over_step_us: Vec<u64>,
    /// The number of refused online requests.
    pub refused: u64,
    /// The number of completed batch items.
    pub items: u64,
    /// Generated tokens of batch items that no rerun has to generate again.
    pub kept_tokens: u64,
    /// Slots not used by online requests, summed over the engine's steps.
    pub idle_slot_steps: u64,
    /// The number of cancelled requests, mostly preempted batch items.
    pub preempted: u64,
    /// The number of refused batch items, which go back to their entry node.
    pub bounced: u64,
}

impl Figures {
    /// Adds the results of another run.
    pub fn add(&mut self, other: Self) {
        self.first_token_us.extend(other.first_token_us);
        self.between_tokens_us.extend(other.between_tokens_us);
        self.slot_wait_over_step_us
            .extend(other.slot_wait_over_step_us);
        self.refused += other.refused;
        self.items += other.items;
        self.kept_tokens += other.kept_tokens;
        self.idle_slot_steps += other.idle_slot_steps;
        self.preempted += other.preempted;
        self.bounced += other.bounced;
    }

    /// Prints the header of the table.
    pub fn print_head() {
        println!(
            "| policy | first token p50 ms | p99 ms | p99 to no batch | p99.9 ms | between tokens p99 ms | slot wait over a step, max ms \
             | batch items/s | of idle slots | preempted/s | bounced/s | refused |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    }

    /// Returns the 99th percentile of the time to the first token, in milliseconds.
    pub fn first_token_p99_ms(&mut self) -> f64 {
        quantile_ms(&mut self.first_token_us, 990)
    }

    /// Prints the row of the policy. `seconds` is the length of all runs, and `base_ms` the 99th percentile of the time
    /// to the first token without batch.
    pub fn print(&mut self, policy: &str, seconds: f64, base_ms: f64) {
        let p99_ms = self.first_token_p99_ms();
        println!(
            "| {policy} | {:.1} | {:.1} | {:.3} | {:.1} | {:.1} | {:.1} | {:.2} | {:.1}% | {:.1} | {:.1} | {} |",
            quantile_ms(&mut self.first_token_us, 500),
            p99_ms,
            p99_ms / base_ms,
            quantile_ms(&mut self.first_token_us, 999),
            quantile_ms(&mut self.between_tokens_us, 990),
            quantile_ms(&mut self.slot_wait_over_step_us, 1_000),
            float(self.items) / seconds,
            float(self.kept_tokens) * 100.0 / float(self.idle_slot_steps),
            float(self.preempted) / seconds,
            float(self.bounced) / seconds,
            self.refused,
        );
    }
}

/// Converts a count to a float for division.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn float(count: u64) -> f64 {
    count as f64
}

fn quantile_ms(values: &mut [u64], per_mille: usize) -> f64 {
    values.sort_unstable();
    let index = (values.len() * per_mille / 1_000).min(values.len() - 1);
    float(values[index]) / 1_000.0
}
