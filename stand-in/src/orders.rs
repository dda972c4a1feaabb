//! Executes orders to an engine: loads of versions, role changes, checks of fencing numbers.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde::Deserialize;
use serde_json::{json, Value};

use crate::web::{self, Req};

/// Delay before the engine retries a load that the weight store rejected.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct Order {
    fence: u64,
    order: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    role: String,
}

#[derive(Default)]
struct State {
    /// Highest fencing number of the accepted orders.
    fence: u64,
    /// Orders rejected for their fencing number.
    refused: u64,
    role: String,
    versions: BTreeMap<String, Value>,
    /// Delay of the next order.
    hold_ms: u64,
    /// Orders that were delayed.
    held: u64,
    /// Load orders for each version.
    loads: BTreeMap<String, u64>,
    /// Requests for each version.
    served: BTreeMap<String, u64>,
    /// Requests for a version that was not warm.
    unready: u64,
}

pub struct Orders {
    checks_fencing: bool,
    platform: String,
    state: Mutex<State>,
}

impl Orders {
    pub fn new(checks_fencing: bool, platform: &str) -> Arc<Self> {
        let state = State {
            role: "mixed".to_string(),
            ..State::default()
        };
        Arc::new(Orders {
            checks_fencing,
            platform: platform.to_string(),
            state: Mutex::new(state),
        })
    }

    pub fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        json!({
            "versions": state.versions, "role": state.role, "fence": state.fence,
            "checks_fencing": self.checks_fencing, "refused": state.refused,
            "held": state.held, "loads": state.loads, "served": state.served,
            "unready": state.unready,
        })
    }

    /// Counts a request for `version`, and whether the version was warm.
    pub fn count_request(&self, version: &str) {
        if version.is_empty() {
            return;
        }
        let mut state = self.state.lock().unwrap();
        *state.served.entry(version.to_string()).or_default() += 1;
        let loaded = state.versions.get(version);
        let is_ready = loaded.is_some_and(|loaded| loaded["state"] == "warm");
        state.unready += u64::from(!is_ready);
    }

    /// Delays the next order, which runs even if its sender closes the connection meanwhile.
    pub fn hold(&self, req: &Req) -> Response<Body> {
        self.state.lock().unwrap().hold_ms = req.number("ms", 0);
        web::json(StatusCode::OK, &json!({}))
    }

    pub async fn receive(self: Arc<Self>, req: &Req) -> Response<Body> {
        let order: Order = match req.json() {
            Ok(order) => order,
            Err(refusal) => return *refusal,
        };
        let hold = {
            let mut state = self.state.lock().unwrap();
            let hold = std::mem::take(&mut state.hold_ms);
            state.held += u64::from(hold > 0);
            hold
        };
        let execution = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(hold)).await;
            self.execute(order)
        });
        execution.await.expect("order execution does not panic")
    }

    fn execute(self: Arc<Self>, order: Order) -> Response<Body> {
        let mut state = self.state.lock().unwrap();
        if self.checks_fencing && order.fence < state.fence {
            state.refused += 1;
            return web::json(StatusCode::CONFLICT, &json!({ "fence": state.fence }));
        }
        state.fence = state.fence.max(order.fence);
        match order.order.as_str() {
            "load" => {
                *state.loads.entry(order.version.clone()).or_default() += 1;
                state
                    .versions
                    .insert(order.version.clone(), json!({ "state": "loading" }));
                tokio::spawn(self.clone().load(order.version));
            }
            "warm" => drop(
                state
                    .versions
                    .insert(order.version, json!({ "state": "warm" })),
            ),
            "unload" => drop(state.versions.remove(&order.version)),
            "set_role" => state.role = order.role,
            _ => return web::json(StatusCode::BAD_REQUEST, &"no such order"),
        }
        web::json(StatusCode::OK, &json!({}))
    }

    async fn load(self: Arc<Self>, version: String) {
        let http = web::client();
        let url = format!("{}/v1/weights/{version}", self.platform);
        let loaded = loop {
            match web::call(&http, "POST", &url, &[], String::new()).await {
                Ok((StatusCode::TOO_MANY_REQUESTS, _)) | Err(_) => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                Ok((status, _)) if status.is_success() => break json!({ "state": "loaded" }),
                Ok((status, _)) => {
                    let reason = format!("weight store: {status}");
                    break json!({ "state": "failed", "reason": reason });
                }
            }
        };
        let mut state = self.state.lock().unwrap();
        if let Some(entry) = state.versions.get_mut(&version) {
            *entry = loaded;
        }
    }
}
