//! Checkpoints: when they are written, and that a false one changes nothing.

use ebonyspur::{
    config::{
        checkpoint_due, newest_valid_checkpoint, Checkpoint, CheckpointInfo, Config, ConfigState,
        Record, Secret,
    },
    peer::{Authenticator, Purpose},
    Offset, UnixMillis,
};
use expect_test::expect;

use super::records::{append, put, team};

fn sealer(key: &str) -> Authenticator {
    Authenticator::new(&[Secret::new(key)], Purpose::Checkpoint)
}

fn state(changes: u64) -> ConfigState {
    let mut state = ConfigState::default();
    for number in 0..changes {
        put(&mut state, &[team(&format!("team-{number}"), 1)]);
    }
    state
}

fn checkpoint(state: &ConfigState, key: &str) -> Record {
    Record::Checkpoint(Checkpoint::new(state, UnixMillis(5), &sealer(key)))
}

#[test]
fn only_a_checkpoint_that_equals_the_fold_counts() {
    let mut following = state(3);
    let honest = checkpoint(&following, "key");
    let mut false_state = following.clone();
    false_state.teams.clear();
    let mut ahead = false_state.clone();
    ahead.applied = Offset(1_000);
    let outcomes = [
        append(&mut following, &checkpoint(&ahead, "key")),
        append(&mut following, &honest),
        append(&mut following, &checkpoint(&false_state, "key")),
        {
            let current = checkpoint(&following.clone(), "key");
            append(&mut following, &current)
        },
    ];
    expect!["[VoidCheckpoint, VoidCheckpoint, VoidCheckpoint, Checkpointed]"]
        .assert_eq(&format!("{outcomes:?}"));
    assert_eq!((following.teams.len(), following.applied), (3, Offset(7)));
}

#[test]
fn a_router_that_starts_at_a_checkpoint_reaches_the_same_state() {
    let mut following = state(3);
    let key = sealer("key");
    let records: Vec<_> = [
        checkpoint(&state(2), "key"),
        checkpoint(&following, "forged"),
        checkpoint(&following, "key"),
    ]
    .into_iter()
    .zip([Offset(2), Offset(3), Offset(3)])
    .map(|(record, offset)| (offset, record))
    .collect();
    let without_last = newest_valid_checkpoint(&records[..2], &key)
        .expect("one")
        .applied;
    let mut starting = newest_valid_checkpoint(&records, &key)
        .expect("one")
        .clone();
    for state in [&mut starting, &mut following] {
        append(state, &records[2].1);
        put(state, &[team("later", 2)]);
    }
    assert_eq!((without_last, &starting), (Offset(2), &following));
    let text = serde_json::to_string(&following).expect("JSON");
    let decoded: ConfigState = serde_json::from_str(&text).expect("a state");
    assert_eq!(decoded, following);
}

#[test]
fn a_checkpoint_is_due_before_the_log_drops_the_last_one() {
    let mut marked = state(40);
    marked.checkpoint = Some(CheckpointInfo {
        offset: Offset(30),
        at: UnixMillis(0),
    });
    let mut unmarked = state(40);
    let due =
        |state: &ConfigState, first, now| checkpoint_due(state, Offset(first), UnixMillis(now));
    let cases = [
        ("nothing to write", due(&ConfigState::default(), 0, 0)),
        ("young, nothing dropped", due(&marked, 0, 1_000)),
        ("old", due(&marked, 0, 600_000)),
        ("retention near", due(&marked, 1, 1_000)),
        ("none yet, nothing dropped", due(&unmarked, 0, 1_000)),
        ("none yet, some dropped", due(&unmarked, 1, 1_000)),
        ("many records", {
            unmarked = state(256);
            due(&unmarked, 0, 1_000)
        }),
    ];
    let lines = cases.map(|(name, due)| format!("{name}: {due}"));
    expect![[r#"
        nothing to write: false
        young, nothing dropped: false
        old: true
        retention near: true
        none yet, nothing dropped: false
        none yet, some dropped: true
        many records: true"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_state_that_arrives_late_changes_nothing() {
    let config = Config::default();
    let adopted = [state(2), state(5), state(3), state(5)].map(|state| config.adopt(state));
    let teams = config.current().teams.len();
    assert_eq!((adopted, teams), ([true, true, false, false], 5));
}
