//! Content of plans, and intents that planning refuses.

use ebonyspur::{
    config::{ConfigState, Operator, Record, Secret},
    intent::{Manifest, PlanOutcome},
    Result, UnixMillis,
};
use expect_test::expect;
use serde_json::{json, Value};

use super::fixtures::{drain, fleet, plan, state};

fn text(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).expect("JSON")
}

#[test]
fn a_drain_plan_estimates_cold_chats_and_remaining_capacity() {
    let plan = drain(&state(), &fleet(4, 32), "engine-2").expect("a plan");
    expect![[r#"
        {
          "id": "plan-1",
          "intent": {
            "intent": "drain",
            "engine": "engine-2"
          },
          "base": 1,
          "drafted_at": 7,
          "steps": [
            {
              "object": "engine/engine-2",
              "action": "take no new work; work in flight ends by itself"
            }
          ],
          "capacity": [
            {
              "pool": "planners",
              "engines_before": 4,
              "engines_after": 3,
              "in_flight": 32,
              "bound_before": 10,
              "bound_after": 14,
              "slots_before": 16,
              "slots": 16,
              "left": 16
            }
          ],
          "cold": {
            "in_flight": 8,
            "engines": [
              "engine-2"
            ],
            "basis": "requests in flight now: of a pool, in proportion to the engines it loses; of a moved team, those at this router times the number of routers. Chats that pause now and return later are not counted"
          },
          "ops": [
            {
              "op": "drain",
              "engine": "engine-2"
            }
          ],
          "relies_on": [
            "capacity/planners"
          ]
        }"#]].assert_eq(&text(plan.document()));
}

#[test]
fn a_move_loads_the_version_in_the_pools_that_serve_the_team() {
    let value = json!({ "intent": "move_team", "team": "kerb", "to": "v2" });
    let plan = plan(&state(), &fleet(4, 32), value).expect("a plan");
    let document = plan.document();
    expect![[r#"
        [
          [
            {
              "object": "pool/planners",
              "action": "load version v2"
            },
            {
              "object": "team/kerb",
              "action": "move to version v2 once engines have it ready"
            }
          ],
          12
        ]"#]]
    .assert_eq(&text(&(&document.steps, &document.cold.in_flight)));
}

#[test]
fn a_manifest_yields_steps_only_for_objects_that_differ() {
    let yaml = "
teams: [{name: kerb, version: v1}, {name: tilers, share: 5}]
pools: [{name: spare}]
remove: {services: [trade, none], pools: [trades]}
";
    let objects = Manifest::from_yaml(yaml).expect("objects");
    let value = json!({ "intent": "apply", "objects": objects });
    let plan = plan(&state(), &fleet(4, 0), value);
    let outcome = plan.map_err(|err| err.to_string());
    expect![[r#"
        [
          {
            "object": "pool/spare",
            "action": "put"
          },
          {
            "object": "team/tilers",
            "action": "put"
          },
          {
            "object": "service/trade",
            "action": "remove"
          },
          {
            "object": "pool/trades",
            "action": "remove"
          }
        ]"#]]
    .assert_eq(&outcome.map_or_else(|err| err, |plan| text(&plan.document().steps)));
    let fault = Manifest::from_yaml("teams: [{name: kerb, shares: 5}]").expect_err("a fault");
    expect!["teams[0]: unknown field `shares`, expected one of `name`, `share`, `classes`, `version` at line 1 column 22"].assert_eq(fault.message());
}

#[test]
fn plans_that_exceed_the_load_bound_or_break_references_are_refused() {
    let (state, fleet_of) = (state(), fleet);
    let mut drained = state.clone();
    drained.drained.insert("engine-1".parse().expect("a name"));
    let refused = |state: &ConfigState, engines, load, value: Value| {
        let plan = plan(state, &fleet_of(engines, load), value);
        plan.map_or_else(|err| err.to_string(), |_| "a plan".into())
    };
    let drain = |engine: &str| json!({ "intent": "drain", "engine": engine });
    let apply = |objects: Value| json!({ "intent": "apply", "objects": objects });
    let lines = [
        refused(&state, 1, 0, drain("engine-1")),
        refused(&drained, 2, 0, drain("engine-2")),
        refused(&drained, 3, 0, drain("engine-2")),
        refused(&state, 4, 38, drain("engine-1")),
        refused(&state, 4, 39, drain("engine-1")),
        refused(
            &drained,
            4,
            80,
            json!({ "intent": "undrain", "engine": "engine-1" }),
        ),
        refused(&state, 4, 0, drain("engine-9")),
        refused(&drained, 4, 0, drain("engine-1")),
        refused(
            &state,
            4,
            0,
            json!({ "intent": "undrain", "engine": "engine-1" }),
        ),
        refused(
            &state,
            4,
            0,
            json!({ "intent": "move_team", "team": "kerb", "to": "v9" }),
        ),
        refused(
            &state,
            4,
            0,
            json!({ "intent": "move_team", "team": "nobody", "to": "v2" }),
        ),
        refused(
            &state,
            4,
            0,
            json!({ "intent": "unload", "pool": "planners", "version": "v1" }),
        ),
        refused(
            &state,
            4,
            50,
            apply(json!({ "pools": [{ "name": "planners", "slots": 8, "versions": ["v1"] }] })),
        ),
        refused(
            &state,
            4,
            0,
            apply(json!({ "remove": { "pools": ["planners"] } })),
        ),
        refused(&state, 4, 0, apply(json!({}))),
    ];
    expect![[r#"
        conflict: pool planners would have no engine left
        conflict: pool planners would have no engine left
        a plan
        a plan
        conflict: pool planners would need 17 slots on each engine for its load of 39, and an engine has 16
        a plan
        not_found: no engine engine-9
        bad_input: nothing to change: the configuration already matches the intent
        not_found: engine engine-1 is not drained
        not_found: no version v9
        not_found: no team nobody
        conflict: team/kerb needs loaded version/v1, which does not exist
        conflict: pool planners would need 16 slots on each engine for its load of 50, and an engine has 8
        conflict: service/planner needs pool/planners, which does not exist
        bad_input: nothing to change: the configuration already matches the intent"#]].assert_eq(&lines.join("\n"));
}

fn operator(teams: Option<&[&str]>) -> Operator {
    let name = |team: &&str| team.parse().expect("a name");
    Operator {
        name: "bob".into(),
        token: Secret::new("token"),
        teams: teams.map(|teams| teams.iter().map(name).collect()),
    }
}

#[test]
fn an_operator_confirms_only_plans_for_the_teams_in_their_scope() {
    let confirm = |value: Value, teams: Option<&[&str]>| -> Result<String> {
        let plan = plan(&state(), &fleet(4, 0), value)?;
        let plan = plan.confirm(&operator(teams), UnixMillis(9))?;
        Ok(format!("{:?}", plan.change().ops))
    };
    let share = |team: &str| json!({ "intent": "apply", "objects": { "teams": [{ "name": team, "share": 7 }] } });
    let drain = json!({ "intent": "drain", "engine": "engine-1" });
    let outcomes = [
        confirm(share("tilers"), Some(&["tilers"])),
        confirm(share("tilers"), Some(&["kerb"])),
        confirm(share("tilers"), Some(&[])),
        confirm(drain.clone(), Some(&["tilers"])),
        confirm(drain, None),
    ];
    let lines = outcomes.map(|outcome| outcome.unwrap_or_else(|err| err.to_string()));
    expect![[r#"
        [PutTeam(Team { name: tilers, share: 7, classes: {}, version: None })]
        unauthorized: operator bob may not change team/tilers
        unauthorized: operator bob may not change team/tilers
        unauthorized: operator bob may not change engine/engine-1
        [Drain { engine: engine-1 }]"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn of_two_concurrent_drains_in_one_pool_the_second_is_rejected() {
    let mut state = state();
    let fleet = fleet(2, 0);
    let plans = ["engine-1", "engine-2"].map(|engine| {
        let value = json!({ "intent": "drain", "engine": engine });
        let id = format!("plan-{engine}");
        let plan = ebonyspur::intent::draft(
            &state,
            &fleet,
            &super::fixtures::intent(value),
            &id,
            UnixMillis(0),
        );
        let plan = plan.expect("a plan");
        plan.confirm(&operator(None), UnixMillis(0))
            .expect("allowed")
    });
    let undecided = plans[0].outcome(&state);
    for plan in &plans {
        state.apply(state.applied, &Record::Change(plan.change()));
    }
    let outcomes: Vec<Option<PlanOutcome>> =
        plans.iter().map(|plan| plan.outcome(&state)).collect();
    expect![[r#"
        null
        [
          {
            "outcome": "accepted",
            "id": "plan-engine-1",
            "offset": 1
          },
          {
            "outcome": "rejected",
            "id": "plan-engine-2",
            "offset": 2,
            "rejection": {
              "reason": "conflict",
              "object": "capacity/planners",
              "offset": 1
            }
          }
        ]"#]]
    .assert_eq(&format!("{}\n{}", text(&undecided), text(&outcomes)));
}

#[test]
fn a_move_unloads_unneeded_versions_and_retries_failed_loads() {
    let steps = |state: &ConfigState, to: &str| {
        let value = json!({ "intent": "move_team", "team": "kerb", "to": to });
        let plan = plan(state, &fleet(4, 32), value).expect("a plan");
        let steps = plan.document().steps.iter();
        let steps: Vec<_> = steps
            .map(|step| format!("{}: {}", step.object, step.action))
            .collect();
        steps.join("\n")
    };
    let shared = steps(&state(), "v2");
    let mut own = state();
    own.teams.retain(|name, _| name.as_str() == "kerb");
    let alone = steps(&own, "v2");
    let ops = json!([{ "op": "load", "pool": "planners", "version": "v2" },
                     { "op": "move_team", "team": "kerb", "to": "v2" }]);
    let ops: Vec<_> = serde_json::from_value(ops).expect("operations");
    own.apply_ops(&ops).expect("a move");
    let failure = json!({ "planners": { "v2": { "engine": "engine-1", "reason": "no memory" } } });
    own.load_failures = serde_json::from_value(failure).expect("a load failure");
    let (again, back) = (steps(&own, "v2"), steps(&own, "v1"));
    expect![[r#"
        pool/planners: load version v2
        team/kerb: move to version v2 once engines have it ready
        --
        pool/planners: load version v2
        team/kerb: move to version v2 once engines have it ready
        pool/planners: unload version v1 once no team is served by it
        --
        pool/planners: try failed loads again
        team/kerb: move to version v2 once engines have it ready
        pool/planners: unload version v1 once no team is served by it
        --
        team/kerb: move to version v1 once engines have it ready
        pool/planners: unload version v2 once no team is served by it"#]]
    .assert_eq(&[shared, alone, again, back].join("\n--\n"));
}
