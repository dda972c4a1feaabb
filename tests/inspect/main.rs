//! What operators see: refusals, explanations, metrics, the state dump without secrets, and
//! the rate limit of the log.

use ebonyspur::{
    config::{Change, EncodedRecord, Op, Record},
    infra::InstanceChanges,
    inspect::{explain, Dump, LineDecision, LogRateLimiter, Refusals},
    placement::Hint,
    Category, ChatId, Error, Instant, Offset, RequestId, Router, ServiceName, Settings, TeamName,
    UnixMillis,
};
use expect_test::expect;
use serde_json::json;

const SETTINGS: &str = "
router: {name: r1, failure_domain: d1}
listen: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'}
platform: {url: 'http://127.0.0.1:4'}
peers: {keys: [key-of-the-test-fleet]}
operators: [{name: alice, token: token-of-the-test-operator}]
";

/// Returns a router with one team, one service, a drained engine and two that take requests.
fn router() -> std::sync::Arc<Router> {
    let cx = Router::new(Settings::from_yaml(SETTINGS).unwrap());
    let ops = json!([
        { "op": "put_team", "name": "kerb" },
        { "op": "put_pool", "name": "planners" },
        { "op": "put_service", "name": "planner", "kind": "chat", "pool": "planners" },
        { "op": "drain", "engine": "e3" },
    ]);
    let change = Change {
        id: "first".into(),
        operator: "alice".into(),
        at: UnixMillis(0),
        base: Offset(0),
        ops: serde_json::from_value::<Vec<Op>>(ops).unwrap(),
        relies_on: Vec::new(),
    };
    cx.config.apply(&[EncodedRecord {
        offset: Offset(0),
        data: serde_json::to_string(&Record::Change(change)).unwrap(),
    }]);
    let engine = |name: &str, domain: &str| {
        json!({
            "name": name, "kind": "engine", "pool": "planners", "address": "127.0.0.1:9",
            "failure_domain": domain, "state": "live", "incarnation": 7,
        })
    };
    let changes = json!({
        "version": 1, "full": true,
        "instances": [engine("e1", "d1"), engine("e2", "d2"), engine("e3", "d3")],
    });
    cx.membership
        .apply_instances(serde_json::from_value::<InstanceChanges>(changes).unwrap());
    cx.membership.config_caught_up();
    cx
}

/// Returns the explanation for `chat-7` with the given hint, as JSON.
fn explanation(cx: &Router, hint: &str) -> String {
    let team = TeamName::new("kerb").unwrap();
    let service = ServiceName::new("planner").unwrap();
    let chat = ChatId::new("chat-7").unwrap();
    let hint: Hint = hint.parse().unwrap();
    let explanation = explain(cx, &team, &service, &chat, &hint).unwrap();
    serde_json::to_string_pretty(&explanation).unwrap()
}

#[test]
fn an_explanation_lists_the_ranked_engines_and_the_excluded_ones() {
    expect![[r#"
        {
          "team": "kerb",
          "service": "planner",
          "chat": "chat-7",
          "bound": 1,
          "waiting": 0,
          "routers": [
            "r1"
          ],
          "engines": [
            {
              "engine": "e1",
              "failure_domain": "d1",
              "steward": "r1",
              "hinted": false
            },
            {
              "engine": "e2",
              "failure_domain": "d2",
              "steward": "r1",
              "hinted": false
            }
          ],
          "shut": [
            {
              "engine": "e3",
              "why": "drained"
            }
          ]
        }"#]]
    .assert_eq(&explanation(&router(), ""));
}

#[test]
fn an_explanation_puts_the_hinted_engine_first() {
    expect![[r#"
        {
          "team": "kerb",
          "service": "planner",
          "chat": "chat-7",
          "bound": 1,
          "waiting": 0,
          "routers": [
            "r1"
          ],
          "engines": [
            {
              "engine": "e2",
              "failure_domain": "d2",
              "steward": "r1",
              "hinted": true
            },
            {
              "engine": "e1",
              "failure_domain": "d1",
              "steward": "r1",
              "hinted": false
            }
          ],
          "shut": [
            {
              "engine": "e3",
              "why": "drained"
            }
          ]
        }"#]]
    .assert_eq(&explanation(&router(), "e2@7"));
}

#[test]
fn an_explanation_by_a_leaving_router_gives_the_reason_for_its_refusal() {
    let cx = router();
    cx.membership.leave();
    let text = explanation(&cx, "");
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    expect![[r#"{"message":"the router is leaving","reason":"not_serving"}"#]]
        .assert_eq(&value["refusal"].to_string());
}

#[test]
fn the_latest_refusals_are_kept_with_request_team_and_reason() {
    let refusals = Refusals::default();
    let team = TeamName::new("kerb").unwrap();
    for number in 0..70 {
        let request = RequestId::new(&format!("req-{number}")).unwrap();
        let err = Error::not_run(Category::Overloaded, "every engine is at its bound");
        refusals.record(&request, &team, &err, UnixMillis(number));
    }
    let latest = refusals.latest();
    expect!["64"].assert_eq(&latest.len().to_string());
    expect![[r#"{"at":6,"request":"req-6","team":"kerb","reason":"overloaded","verdict":"not-run","message":"every engine is at its bound"}"#]].assert_eq(&serde_json::to_string(&latest[0]).unwrap());
}

#[test]
fn the_state_dump_and_the_settings_show_no_secret() {
    let cx = router();
    let dump = serde_json::to_string(&Dump::new(&cx)).unwrap();
    let settings = format!("{:?}", cx.settings);
    let secrets = ["key-of-the-test-fleet", "token-of-the-test-operator"];
    for secret in secrets {
        assert!(!dump.contains(secret), "the state dump contains {secret}");
        assert!(!settings.contains(secret), "the settings contain {secret}");
    }
}

#[test]
fn metric_names_carry_units_and_metrics_have_few_labels() {
    let cx = router();
    cx.metrics.count_answer(None);
    cx.metrics.count_order(None);
    let text = cx.metrics.encode(&cx);
    let is_sample = |line: &&str| !line.starts_with('#') && !line.contains("_bucket");
    let lines: Vec<_> = text.lines().filter(is_sample).collect();
    expect![[r#"
        ebonyspur_answers_total{reason="none",verdict="ran"} 1
        ebonyspur_answer_seconds_sum 0.0
        ebonyspur_answer_seconds_count 0
        ebonyspur_datagrams_dropped_total 0
        ebonyspur_datagram_sent_bytes_total 0
        ebonyspur_peer_sent_bytes_total 0
        ebonyspur_platform_exchanged_bytes_total 0
        ebonyspur_peer_connections_refused_total 0
        ebonyspur_orders_total{outcome="accepted"} 1
        ebonyspur_routers 1
        ebonyspur_engines 3
        ebonyspur_grants 0
        ebonyspur_config_lag_records 0
        ebonyspur_claimed_keys 0
        ebonyspur_leases_held 0
        ebonyspur_serving 1"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_burst_of_log_lines_is_limited_and_warnings_are_still_written() {
    let mut limiter = LogRateLimiter::default();
    let count = |limiter: &mut LogRateLimiter, level, lines: usize, ms| {
        let now = Instant::from_millis(ms);
        let decisions: Vec<_> = (0..lines).map(|_| limiter.admit(level, now)).collect();
        let written = decisions
            .iter()
            .filter(|decision| **decision != LineDecision::Dropped)
            .count();
        let first = decisions
            .iter()
            .find(|decision| **decision != LineDecision::Dropped)
            .copied();
        format!("{ms} ms, {lines} at {level}: {written} written, first {first:?}")
    };
    let lines = [
        count(&mut limiter, log::Level::Info, 5_000, 0),
        count(&mut limiter, log::Level::Warn, 100, 0),
        count(&mut limiter, log::Level::Info, 1, 10),
        count(&mut limiter, log::Level::Info, 1_000, 2_000),
        count(&mut limiter, log::Level::Info, 5_000, 60_000),
        count(&mut limiter, log::Level::Error, 5_000, 60_000),
    ];
    expect![[r#"
        0 ms, 5000 at INFO: 750 written, first Some(Written(0))
        0 ms, 100 at WARN: 100 written, first Some(Written(4250))
        10 ms, 1 at INFO: 0 written, first None
        2000 ms, 1000 at INFO: 300 written, first Some(Written(1))
        60000 ms, 5000 at INFO: 750 written, first Some(Written(700))
        60000 ms, 5000 at ERROR: 250 written, first Some(Written(4250))"#]]
    .assert_eq(&lines.join("\n"));
}
