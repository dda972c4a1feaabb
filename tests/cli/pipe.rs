//! A reader of the output that goes away.

use expect_test::expect;

use super::{
    command::{finish, start},
    support::Fleet,
};

#[test]
fn a_command_whose_output_nobody_reads_ends_quietly() {
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
