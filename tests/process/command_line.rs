//! Runs the command line as a process.

use std::process::Command;

use serde_json::Value;

/// Exit code and output of one run.
pub struct CommandOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Parses the output of a run with `--format json`.
    pub fn json(&self) -> Value {
        let parsed = serde_json::from_str(&self.stdout);
        parsed.unwrap_or_else(|err| panic!("{err}: {} {}", self.stdout, self.stderr))
    }
}

/// Runs `eelgrassgap` with `args` on a blocking thread, so that stand-ins in the test's runtime keep responding.
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
