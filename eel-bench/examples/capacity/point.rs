//! Prints measurements as rows of a Markdown table, each with its slope.

/// One measurement.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// The size, such as a number of links.
    pub x: f64,
    /// The value measured at that size.
    pub y: f64,
}

/// Prints the header of the Markdown table.
pub fn print_head() {
    println!("| measured | by | points (size: value) | slope |");
    println!("| --- | --- | --- | --- |");
}

/// Prints a row: `what` was measured, by size in units of `by`, with the least-squares slope.
pub fn print_row(what: &str, by: &str, points: &[Point]) {
    let list: Vec<_> = points
        .iter()
        .map(|point| format!("{}: {:.2}", point.x, point.y))
        .collect();
    println!(
        "| {what} | {by} | {} | {:.4} |",
        list.join("; "),
        slope(points)
    );
}

/// Returns the slope of the least-squares line through `points`.
fn slope(points: &[Point]) -> f64 {
    let count = to_f64(points.len() as u64);
    let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.x - mean_x) * (point.y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
    covariance / variance
}

/// Converts a count without loss.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Returns the CPU time of this process so far, in milliseconds.
pub fn cpu_ms() -> f64 {
    let usage = eel_bench::memory::usage(std::process::id());
    to_f64(usage.unwrap_or_default().cpu_ms)
}

/// Returns the resident set size of this process, in kB.
pub fn resident_kb() -> f64 {
    to_f64(eel_bench::memory::resident_kb().unwrap_or_default())
}
