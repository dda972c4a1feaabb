//! Fixtures: a small configuration and fleet.

use ebonyspur::{
    config::{Change, ConfigState, Record},
    intent::{draft, Drafted, EngineView, FleetView, Intent, Manifest, Plan},
    membership::PoolLoad,
    Offset, Result, UnixMillis,
};
use serde_json::{json, Value};

/// Manifest of the configuration.
const OBJECTS: &str = "
models: [{name: drafter, versions: [v1, v2]}]
pools:
  - {name: planners, slots: 16, versions: [v1]}
  - {name: trades}
services:
  - {name: planner, kind: chat, pool: planners}
  - {name: trade, kind: plain, pool: trades}
teams: [{name: kerb, version: v1}, {name: tilers, share: 3}]
";

/// Returns the configuration that holds the objects of [`OBJECTS`].
pub fn state() -> ConfigState {
    let mut state = ConfigState::default();
    let objects = Manifest::from_yaml(OBJECTS).expect("objects");
    let change = Change {
        id: "first".into(),
        operator: "alice".into(),
        at: UnixMillis(0),
        base: Offset(0),
        ops: objects.ops(&state),
        relies_on: Vec::new(),
    };
    state.apply(Offset(0), &Record::Change(change));
    state
}

/// Returns a fleet with `planners` engines in pool `planners` and one server in pool `trades`.
pub fn fleet(planners: u32, in_flight: u32) -> FleetView {
    let mut fleet = FleetView {
        routers: 3,
        ..FleetView::default()
    };
    let names = (1..=planners).map(|n| (format!("engine-{n}"), "planners"));
    for (number, (name, pool)) in names.chain([("server-1".into(), "trades")]).enumerate() {
        let pool = pool.parse().expect("a name");
        let engine = EngineView {
            pool,
            domain: format!("d{}", number % 3 + 1).parse().expect("a name"),
            is_leaving: false,
        };
        fleet.engines.insert(name.parse().expect("a name"), engine);
    }
    let load = PoolLoad::new(in_flight, planners);
    fleet
        .loads
        .insert("planners".parse().expect("a name"), load);
    fleet
        .local_team_loads
        .insert("kerb".parse().expect("a name"), 4);
    fleet
}

/// Decodes an intent from JSON.
pub fn intent(value: Value) -> Intent {
    serde_json::from_value(value).expect("an intent")
}

/// Makes the plan for an intent in JSON.
pub fn plan(state: &ConfigState, fleet: &FleetView, value: Value) -> Result<Plan<Drafted>> {
    draft(state, fleet, &intent(value), "plan-1", UnixMillis(7))
}

/// Makes the plan to drain an engine.
pub fn drain(state: &ConfigState, fleet: &FleetView, engine: &str) -> Result<Plan<Drafted>> {
    plan(state, fleet, json!({ "intent": "drain", "engine": engine }))
}
