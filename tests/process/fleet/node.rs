//! Runs one node as a process and reads its log.

use std::{
    io::{BufRead as _, BufReader},
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::sync::watch;

/// Ends a test that hangs; no assertion depends on it.
const HANG_TIMEOUT: Duration = Duration::from_mins(5);

/// The process of a node. It is killed when dropped.
pub struct Node {
    child: Mutex<Child>,
    pid: Pid,
    lines: Arc<Mutex<Vec<String>>>,
    changes: watch::Receiver<usize>,
}

impl Node {
    /// Starts `binary command --settings path`.
    pub fn start(binary: &str, command: &str, settings: &Path) -> Self {
        let mut child = Command::new(binary)
            .arg(command)
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("a started process");
        let pid = Pid::from_raw(i32::try_from(child.id()).expect("a process number"));
        let stderr = BufReader::new(child.stderr.take().expect("a pipe"));
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (sender, changes) = watch::channel(0);
        let kept = lines.clone();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
                kept.push(line);
                sender.send_replace(kept.len());
            }
        });
        Self {
            child: Mutex::new(child),
            pid,
            lines,
            changes,
        }
    }

    /// Waits for a log line with `text` and returns the word after it, without a full stop.
    pub async fn value_after(&self, text: &str) -> String {
        let mut changes = self.changes.clone();
        let found = async {
            loop {
                if let Some(value) = self.find(text) {
                    return value;
                }
                let change = changes.changed().await;
                assert!(
                    change.is_ok(),
                    "the process ended ({:?}) without {text:?} in:\n{}",
                    self.exit_status(),
                    self.log()
                );
            }
        };
        let found = tokio::time::timeout(HANG_TIMEOUT, found).await;
        found.unwrap_or_else(|_| panic!("no line with {text:?} in:\n{}", self.log()))
    }

    /// Returns everything that the node has logged.
    pub fn log(&self) -> String {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.join("\n")
    }

    /// Sends a signal to the process unless it has ended, as its number may be that of another one then.
    pub fn signal(&self, signal: Signal) {
        if self.exit_status().is_none() {
            kill(self.pid, signal).expect("a running process");
        }
    }

    /// Sends SIGSTOP and waits until all threads are stopped.
    pub async fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        eventually("all threads are stopped", async || self.is_frozen()).await;
    }

    fn is_frozen(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.pid)).expect("a process");
        tasks.flatten().all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            let state = stat.rsplit_once(") ").map(|(_, rest)| rest);
            state.is_some_and(|rest| rest.starts_with('T'))
        })
    }

    fn exit_status(&self) -> Option<ExitStatus> {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        child.try_wait().expect("a known process")
    }

    /// Waits until the process has ended.
    pub async fn wait_exit(&self) -> ExitStatus {
        let mut status = None;
        eventually("the process has ended", async || {
            status = self.exit_status();
            status.is_some()
        })
        .await;
        status.expect("an ended process")
    }

    fn find(&self, text: &str) -> Option<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let rest = lines.iter().find_map(|line| line.split_once(text))?.1;
        let word = rest.split_whitespace().next()?;
        Some(word.trim_end_matches('.').to_owned())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let holds = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let held = tokio::time::timeout(HANG_TIMEOUT, holds).await;
    assert!(held.is_ok(), "timed out waiting until {what}");
}
