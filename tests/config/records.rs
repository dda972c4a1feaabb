//! Fixtures: operations, changes and their application.

use ebonyspur::{
    config::{ApplyOutcome, Change, ConfigState, Op, Record},
    Offset, UnixMillis,
};
use serde_json::{json, Value};

/// Decodes an operation from JSON.
pub fn op(value: Value) -> Op {
    serde_json::from_value(value).expect("an operation")
}

/// Returns the operation that creates or replaces the team `name`.
pub fn team(name: &str, share: u32) -> Op {
    op(json!({ "op": "put_team", "name": name, "share": share }))
}

/// Returns the record of a change with the given id, base and operations.
pub fn change(id: &str, base: u64, ops: &[Op]) -> Record {
    Record::Change(Change {
        id: id.into(),
        operator: "alice".into(),
        at: UnixMillis(0),
        base: Offset(base),
        ops: ops.to_vec(),
        relies_on: Vec::new(),
    })
}

/// Applies `record` at the next offset.
pub fn append(state: &mut ConfigState, record: &Record) -> ApplyOutcome {
    state.apply(state.applied, record)
}

/// Applies a change based on the current offset and returns its outcome as text.
pub fn put(state: &mut ConfigState, ops: &[Op]) -> String {
    let at = state.applied.0;
    let outcome = append(state, &change(&format!("change-{at}"), at, ops));
    describe(&outcome)
}

/// Returns an outcome as text.
pub fn describe(outcome: &ApplyOutcome) -> String {
    match outcome {
        ApplyOutcome::Rejected(rejection) => format!("rejected: {rejection}"),
        other => format!("{other:?}"),
    }
}
