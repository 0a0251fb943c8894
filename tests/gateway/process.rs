//! Runs one gateway node as a process that can be restarted.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use crate::ports::Ports;

/// A gateway node. Its process is killed when this is dropped.
pub struct Process {
    pub http: SocketAddr,
    pub ready: SocketAddr,
    name: String,
    settings: PathBuf,
    log: PathBuf,
    /// The limit on open descriptors of the process; `None` for that of the tests.
    max_descriptors: Option<u64>,
    child: Option<Child>,
    /// The length of the log file when the process was started, in bytes.
    log_start: u64,
    /// Whether the process got SIGTERM since its start.
    may_end: bool,
}

impl Process {
    /// Writes the node's settings and starts it.
    pub fn start(
        directory: &Path,
        ports: &mut Ports,
        name: &str,
        store: SocketAddr,
        runs_batch: bool,
    ) -> Self {
        Self::start_limited(directory, ports, name, store, runs_batch, "", None)
    }

    /// Writes the node's settings, which end with the sections `more`, and starts it with at most `max_descriptors` open
    /// descriptors.
    pub fn start_limited(
        directory: &Path,
        ports: &mut Ports,
        name: &str,
        store: SocketAddr,
        runs_batch: bool,
        more: &str,
        max_descriptors: Option<u64>,
    ) -> Self {
        let (http, ready) = (ports.next(), ports.next());
        let text = format!(
            "[node]\nname = {name}\ndata_centre = dc-a\n\
             [listen]\nhttp = {http}\nready = {ready}\npeers = {}\nadmin = {}\n\
             [store]\nendpoint = http://{store}\ntimeout_ms = 300\nlease_ttl_ms = 1000\n\
             [batch]\nenabled = {runs_batch}\n[telemetry]\nlog_format = json\n[drain]\ntimeout_ms = 6000\n{more}",
            ports.next(),
            ports.next(),
        );
        let settings = directory.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("a written file");
        let log = directory.join(format!("{name}.log"));
        let mut process = Self {
            http,
            ready,
            name: name.to_owned(),
            settings,
            log,
            max_descriptors,
            child: None,
            log_start: 0,
            may_end: false,
        };
        process.restart();
        process
    }

    /// Kills the process if it is running, and starts it.
    pub fn restart(&mut self) {
        self.kill();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        self.log_start = log.metadata().expect("a log file").len();
        let program = env!("CARGO_BIN_EXE_eelgrassgap");
        let mut command = match self.max_descriptors {
            Some(max) => {
                let mut shell = Command::new("sh");
                shell
                    .arg("-c")
                    .arg(format!("ulimit -n {max} && exec \"$0\" \"$@\""));
                shell.arg(program);
                shell
            }
            None => Command::new(program),
        };
        let child = command
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log.try_clone().expect("a log file"))
            .stderr(Stdio::from(log))
            .spawn();
        self.child = Some(child.expect("a started process"));
        self.may_end = false;
    }

    pub fn signal(&mut self, signal: Signal) {
        self.may_end |= signal == Signal::SIGTERM;
        // The process may have ended already after a SIGTERM, and its number may be that of another one; the run restarts it
        // later.
        if let Some(child) = &mut self.child
            && child.try_wait().is_ok_and(|status| status.is_none())
        {
            let pid = Pid::from_raw(i32::try_from(child.id()).expect("a process number"));
            let _ = kill(pid, signal);
        }
    }

    /// Returns whether the process has ended; panics if it ended without SIGTERM.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        let has_ended =
            child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
        assert!(
            !has_ended || self.may_end,
            "a node ended without SIGTERM, {}",
            self.log_tail()
        );
        has_ended
    }

    /// Returns the number of the running process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("a started process").id()
    }

    /// Returns the node's settings file.
    pub fn settings_path(&self) -> &Path {
        &self.settings
    }

    /// Returns whether the process has logged anything since its last start.
    pub fn has_logged(&self) -> bool {
        fs::metadata(&self.log).is_ok_and(|log| log.len() > self.log_start)
    }

    /// Returns the path of the node's log file.
    pub fn log_path(&self) -> PathBuf {
        self.log.clone()
    }

    /// Returns the last 30 lines of the log.
    pub fn log_tail(&self) -> String {
        const LINES: usize = 30;
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let tail = lines[lines.len().saturating_sub(LINES)..].join("\n");
        format!("log of {}:\n{tail}", self.name)
    }

    /// Returns the lines of the log that contain `text`.
    pub fn log_of(&self, text: &str) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|it| it.contains(text));
        lines.collect::<Vec<_>>().join("\n")
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
