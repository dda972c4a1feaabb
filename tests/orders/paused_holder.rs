//! A lease holder that is paused beyond the end of its lease while its orders are delayed.

use expect_test::expect;
use rustix::process::Signal;
use serde_json::{json, Value};

use crate::{
    moves::{await_holder, await_versions, load, publish_model, report, unload},
    support::{call, dump, wait_until, Fleet},
};

/// Time by which the orders of the paused holder are delayed.
const ORDER_DELAY_MS: u64 = 30_000;

/// Makes an engine hold back the next order that it receives.
fn delay_next_order(fleet: &Fleet, engine: usize) {
    let address = fleet.engines[engine].address;
    let url = format!("http://{address}/orders/hold?ms={ORDER_DELAY_MS}");
    call("POST", &url, &Value::Null).expect("the engine accepts the delay");
}

fn report_summary(fleet: &Fleet, engine: usize) -> Value {
    let report = report(fleet, engine);
    json!({
        "checks_fencing": report["checks_fencing"], "refused": report["refused"],
        "loads": report["loads"], "versions": report["versions"],
    })
}

#[test]
fn late_orders_of_a_paused_holder_are_refused_or_corrected() {
    let mut fleet = Fleet::start(1, 3);
    fleet.add_engine(&["--ignores-fencing"]);
    fleet.await_ready();
    publish_model(&fleet);
    fleet.publish("one", &json!([load("m-1")]));
    await_versions(&fleet, &["m-1"]);
    let holder = await_holder(&fleet);
    let old_fence = report(&fleet, 0)["fence"].as_u64();
    for engine in 0..2 {
        delay_next_order(&fleet, engine);
    }
    fleet.publish("two", &json!([load("m-2")]));
    wait_until("both orders are delayed", || {
        (0..2).all(|engine| report(&fleet, engine)["held"] == 1)
    });
    fleet.routers[holder].process.signal(Signal::STOP);
    fleet.publish("three", &json!([unload("m-2")]));
    wait_until("another router has fenced the checking engine", || {
        report(&fleet, 0)["fence"].as_u64() > old_fence
    });
    fleet.routers[holder].process.signal(Signal::CONT);
    wait_until("the late orders have arrived", || {
        report(&fleet, 0)["refused"] == 1 && report(&fleet, 1)["loads"]["m-2"] == 1
    });
    await_versions(&fleet, &["m-1"]);
    wait_until("the paused router knows that its lease has expired", || {
        dump(&fleet.routers[holder]).is_some_and(|state| !state["orders"]["planners"].is_object())
    });
    let seen = json!([report_summary(&fleet, 0), report_summary(&fleet, 1)]);
    expect![[r#"
        [
          {
            "checks_fencing": true,
            "loads": {
              "m-1": 1
            },
            "refused": 1,
            "versions": {
              "m-1": {
                "state": "warm"
              }
            }
          },
          {
            "checks_fencing": false,
            "loads": {
              "m-1": 1,
              "m-2": 1
            },
            "refused": 0,
            "versions": {
              "m-1": {
                "state": "warm"
              }
            }
          }
        ]"#]]
    .assert_eq(&serde_json::to_string_pretty(&seen).unwrap());
}
