//! Commands whose standard output is closed by its reader.

use expect_test::expect;

use super::{
    command::{finish, start},
    support::Fleet,
};

#[test]
fn a_command_with_a_closed_output_pipe_exits_without_an_error() {
    let fleet = Fleet::start(1, 1);
    let mut shown = String::new();
    for args in [&["state", "router-1"][..], &["completions", "bash"]] {
        let mut child = start(&fleet, 0, args);
        drop(child.stdout.take());
        let run = finish(child);
        shown += &format!("{}: status {}, {:?}\n", args[0], run.status, run.err);
    }
    expect![[r#"
        state: status 0, ""
        completions: status 0, ""
    "#]]
    .assert_eq(&shown);
}
