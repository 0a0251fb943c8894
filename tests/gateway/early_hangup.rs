//! A SIGHUP that arrives while a node starts must not end the process.
//!
//! Guards against the default action of SIGHUP, which ends a process that reads its settings before it installs a
//! handler. The settings file is a named pipe, so the signal arrives while the node waits for its settings.

use std::{fs, io::Write as _, time::Duration};

use eel_platform::standin::{StandInStore, routes};
use nix::{
    sys::{signal::Signal, stat::Mode},
    unistd::mkfifo,
};
use tokio::{task::spawn_blocking, time::sleep};

use crate::{ports::Ports, process::Process};

#[tokio::test]
async fn while_settings_are_read() {
    let store = StandInStore::start().await.expect("a store");
    store.put("op/config", &routes(1).to_string());
    let directory = tempfile::tempdir().expect("a directory");
    let mut ports = Ports::reserve();
    let mut node = Process::start(
        directory.path(),
        &mut ports,
        "node-0",
        store.address(),
        true,
    );
    let path = node.settings_path().to_owned();
    let settings = fs::read(&path).expect("settings");
    fs::remove_file(&path).expect("a file");
    mkfifo(&path, Mode::S_IRWXU).expect("a pipe");
    node.restart();
    // Opening a pipe for writing blocks until the node opens it for reading, so the node is starting now.
    let pipe = spawn_blocking(move || fs::File::options().write(true).open(path));
    let mut pipe = pipe.await.expect("a task").expect("a pipe");
    node.signal(Signal::SIGHUP);
    sleep(Duration::from_millis(100)).await;
    pipe.write_all(&settings).expect("written settings");
    drop(pipe);
    while !node.has_logged() {
        assert!(!node.has_ended(), "the node has ended");
        sleep(Duration::from_millis(10)).await;
    }
}
