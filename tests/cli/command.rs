//! Runs the operators' command line as a process.

use std::process::{Child, Command, Output, Stdio};

use serde_json::Value;

use super::support::{self, program, Fleet, TOKEN};

/// The exit status and output of a finished command.
#[derive(Debug)]
pub struct CommandOutput {
    pub status: i32,
    pub out: String,
    pub err: String,
}

impl CommandOutput {
    /// Creates the output from that of a finished process.
    pub fn new(output: &Output) -> Self {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        CommandOutput {
            status: output.status.code().unwrap_or(-1),
            out: text(&output.stdout),
            err: text(&output.stderr),
        }
    }

    /// Returns the standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|err| panic!("{err}: {self:?}"))
    }
}

/// Returns a command that tries the routers in order, starting with the one at `first`.
pub fn command(fleet: &Fleet, first: usize, args: &[&str]) -> Command {
    let order = fleet.routers[first..].iter().chain(&fleet.routers[..first]);
    let routers: Vec<_> = order.map(|router| router.operators.to_string()).collect();
    let mut command = Command::new(program("ebonyspur"));
    command.args(args).current_dir(fleet.dir.path());
    command.env("EBONYSPUR_ROUTERS", routers.join(","));
    command.env("EBONYSPUR_TOKEN", TOKEN);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Runs a command and waits for it to finish.
pub fn run(fleet: &Fleet, args: &[&str]) -> CommandOutput {
    CommandOutput::new(&support::output(&mut command(fleet, 0, args)))
}

/// Starts a command that tries the router at `first` first.
pub fn start(fleet: &Fleet, first: usize, args: &[&str]) -> Child {
    support::spawn(&mut command(fleet, first, args))
}

/// Waits for a started command to finish.
pub fn finish(child: Child) -> CommandOutput {
    CommandOutput::new(&child.wait_with_output().expect("a finished process"))
}

/// Writes `yaml` to `name.yaml` and makes the plan `name.plan` that applies it.
pub fn plan_apply(fleet: &Fleet, name: &str, yaml: &str) {
    let file = fleet.dir.path().join(format!("{name}.yaml"));
    std::fs::write(file, yaml).expect("a file");
    let (input, out) = (format!("{name}.yaml"), format!("{name}.plan"));
    let made = run(fleet, &["plan", "apply", &input, "--out", &out]);
    assert_eq!(made.status, 0, "{made:?}");
}
