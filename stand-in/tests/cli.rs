//! The command line of the simulators.

use std::process::Command;

#[test]
fn an_unreachable_address_is_an_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_stand-in"))
        .args(["request", "GET", "http://127.0.0.1:1/"])
        .output()
        .expect("a finished process");
    assert!(!output.status.success());
    assert!(!output.stderr.is_empty());
}
