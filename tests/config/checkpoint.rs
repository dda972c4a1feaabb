//! Checkpoints: when one is due, and that an invalid one has no effect.

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

fn authenticator(key: &str) -> Authenticator {
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
    Record::Checkpoint(Checkpoint::new(state, UnixMillis(5), &authenticator(key)))
}

#[test]
fn a_checkpoint_that_differs_from_the_state_is_void() {
    let mut follower = state(3);
    let outdated = checkpoint(&follower, "key");
    let mut wrong_state = follower.clone();
    wrong_state.teams.clear();
    let mut ahead = wrong_state.clone();
    ahead.applied = Offset(1_000);
    let outcomes = [
        append(&mut follower, &checkpoint(&ahead, "key")),
        append(&mut follower, &outdated),
        append(&mut follower, &checkpoint(&wrong_state, "key")),
        {
            let current = checkpoint(&follower.clone(), "key");
            append(&mut follower, &current)
        },
    ];
    expect!["[VoidCheckpoint, VoidCheckpoint, VoidCheckpoint, Checkpointed]"]
        .assert_eq(&format!("{outcomes:?}"));
    assert_eq!((follower.teams.len(), follower.applied), (3, Offset(7)));
}

#[test]
fn starting_from_a_checkpoint_reaches_the_same_state() {
    let mut follower = state(3);
    let key = authenticator("key");
    let records: Vec<_> = [
        checkpoint(&state(2), "key"),
        checkpoint(&follower, "forged"),
        checkpoint(&follower, "key"),
    ]
    .into_iter()
    .zip([Offset(2), Offset(3), Offset(3)])
    .map(|(record, offset)| (offset, record))
    .collect();
    let older = newest_valid_checkpoint(&records[..2], &key)
        .expect("a valid checkpoint")
        .applied;
    let mut starting = newest_valid_checkpoint(&records, &key)
        .expect("a valid checkpoint")
        .clone();
    for state in [&mut starting, &mut follower] {
        append(state, &records[2].1);
        put(state, &[team("later", 2)]);
    }
    assert_eq!((older, &starting), (Offset(2), &follower));
    let text = serde_json::to_string(&follower).expect("JSON");
    let decoded: ConfigState = serde_json::from_str(&text).expect("a state");
    assert_eq!(decoded, follower);
}

#[test]
fn a_checkpoint_is_due_before_the_log_drops_the_last_one() {
    let mut with_checkpoint = state(40);
    with_checkpoint.checkpoint = Some(CheckpointInfo {
        offset: Offset(30),
        at: UnixMillis(0),
    });
    let mut without_checkpoint = state(40);
    let due =
        |state: &ConfigState, first, now| checkpoint_due(state, Offset(first), UnixMillis(now));
    let cases = [
        ("nothing to write", due(&ConfigState::default(), 0, 0)),
        ("young, nothing dropped", due(&with_checkpoint, 0, 1_000)),
        ("old", due(&with_checkpoint, 0, 600_000)),
        ("retention near", due(&with_checkpoint, 1, 1_000)),
        (
            "none yet, nothing dropped",
            due(&without_checkpoint, 0, 1_000),
        ),
        ("none yet, some dropped", due(&without_checkpoint, 1, 1_000)),
        ("many records", {
            without_checkpoint = state(256);
            due(&without_checkpoint, 0, 1_000)
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
fn a_state_that_is_not_ahead_is_not_adopted() {
    let config = Config::default();
    let adopted = [state(2), state(5), state(3), state(5)].map(|state| config.adopt(state));
    let teams = config.current().teams.len();
    assert_eq!((adopted, teams), ([true, true, false, false], 5));
}
