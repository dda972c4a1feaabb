//! Child processes of tests, killed when dropped.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{kill_process, Pid, Signal};

use super::port::lock_ports;

/// Time after which [`wait_until`] fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until `condition` holds, and panics after [`WAIT_TIMEOUT`].
#[track_caller]
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "gave up waiting until {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Time that processes get to write the last lines of their logs, which they do in the background.
const LOG_FLUSH_TIME: Duration = Duration::from_secs(2);

/// Number of last lines of each log that a failed test prints.
const SHOWN_LOG_LINES: usize = 15;

/// Prints the ends of the logs in `folder` if the test is failing.
pub fn show_logs_of_failure(folder: &Path) {
    if !std::thread::panicking() {
        return;
    }
    std::thread::sleep(LOG_FLUSH_TIME);
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        let shown = &lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..];
        eprintln!("-- {}\n{}", entry.path().display(), shown.join("\n"));
    }
}

/// Returns the path of a built program of this workspace.
pub fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a running test");
    // Test programs are built into a subfolder of the folder of the other programs.
    let path = test
        .parent()
        .and_then(Path::parent)
        .expect("a folder")
        .join(name);
    assert!(
        path.exists(),
        "{name} is not built: run cargo test --workspace"
    );
    path
}

/// Starts a process, while no other thread looks for free ports.
pub fn spawn(command: &mut Command) -> Child {
    let _ports = lock_ports();
    command.spawn().expect("a started process")
}

/// Runs a process to its end, with its output in pipes.
pub fn output(command: &mut Command) -> Output {
    let command = command.stdin(Stdio::null()).stdout(Stdio::piped());
    let child = spawn(command.stderr(Stdio::piped()));
    child.wait_with_output().expect("a finished process")
}

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program `name` with its output in `log`.
    pub fn start(name: &str, args: &[&str], log: &Path) -> Self {
        let log = File::create(log).expect("a log file");
        let child = spawn(
            Command::new(program(name))
                .args(args)
                .stdin(Stdio::null())
                .stdout(log.try_clone().expect("a second handle"))
                .stderr(log),
        );
        Process { child }
    }

    /// Starts the program `name` with its standard output in a pipe that nobody reads.
    pub fn start_unread(name: &str, args: &[&str]) -> Self {
        let child = spawn(
            Command::new(program(name))
                .args(args)
                .stdin(Stdio::null())
                .stdout(Stdio::piped())
                .stderr(Stdio::null()),
        );
        Process { child }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a running process");
    }

    /// Kills the process and waits until it has ended, so that its ports are closed.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("a child");
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
