//! Runs the command line as an operator or caller does.

use std::process::Command;

use serde_json::Value;

/// What a run of the command line ended with.
pub struct CommandOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Reads the outcome of a run with `--format json`.
    pub fn json(&self) -> Value {
        let parsed = serde_json::from_str(&self.stdout);
        parsed.unwrap_or_else(|err| panic!("{err}: {} {}", self.stdout, self.stderr))
    }
}

/// Runs `eelgrassgap` with `args`, off the test's own thread.
pub async fn run(args: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_eelgrassgap"));
    command.args(args);
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.unwrap().unwrap();
    CommandOutput {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}
