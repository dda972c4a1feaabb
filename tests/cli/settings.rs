//! The command line and the daemon check settings files alike, and list the same errors.

use std::process::Command;

use expect_test::expect;

use super::support::{self, program};

#[test]
fn the_command_line_and_the_daemon_list_the_same_errors() {
    let dir = tempfile::tempdir().expect("a directory");
    std::fs::write(dir.path().join("faulty.yaml"), "listen: {callers: here}\n").expect("a file");
    let run = |name: &str, args: &[&str]| {
        let mut command = Command::new(program(name));
        let output = support::output(command.args(args).current_dir(dir.path()));
        assert!(!output.status.success());
        String::from_utf8(output.stderr).expect("text")
    };
    let daemon = run("ebonyspurd", &["--settings", "faulty.yaml"]);
    let tool = run("ebonyspur", &["settings", "check", "faulty.yaml"]);
    assert_eq!(daemon, tool);
    expect![[r#"
        faulty.yaml: router.name: is required
        faulty.yaml: router.failure_domain: is required
        faulty.yaml: listen.callers: must be IP:PORT
        faulty.yaml: listen.peers: is required
        faulty.yaml: listen.operators: is required
        faulty.yaml: platform.url: is required
        faulty.yaml: peers.keys: must list at least one key
    "#]]
    .assert_eq(&tool);
    let missing = run("ebonyspur", &["settings", "check", "none.yaml"]);
    expect![[r#"
        none.yaml: No such file or directory (os error 2)
    "#]]
    .assert_eq(&missing);
}

#[test]
fn completion_scripts_contain_the_plan_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let args = ["completions", shell];
        let output = support::output(Command::new(program("ebonyspur")).args(args));
        let text = String::from_utf8(output.stdout).expect("text");
        assert!(
            ["move-team", "undrain", "retry", "rebalance"]
                .iter()
                .all(|name| text.contains(name)),
            "{shell}"
        );
    }
}
