//! The administration API: JSON endpoints on the operators' listener.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use gotham::{helpers::http::Body, prelude::*, router::builder::RouterBuilder};
use http::{Response, StatusCode, Uri};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use uuid::Uuid;

use super::{
    auth::authorize,
    endpoint::{Endpoint, HttpRequest},
    request,
    response::json,
};
use crate::{
    config::{ConfigHeadRequest, Decision},
    inspect,
    intent::{self, FleetView, Intent, PlanDocument, PlanToken},
    membership::Peer,
    orders::{self, LoadFailureStatus, MoveStatus},
    peer::{Authenticator, DumpRequest, Purpose},
    Category, Error, Offset, PoolName, Result, Router, RouterName,
};

/// Largest request body of the administration API.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Longest time that a request for decisions may wait for a new one.
const MAX_DECISION_WAIT: Duration = Duration::from_secs(30);

/// Maximum number of decisions in one answer.
const MAX_DECISIONS: usize = 500;

/// Adds the routes of the administration API.
pub(super) fn register_admin_routes(route: &mut RouterBuilder<'_, (), ()>, cx: &Arc<Router>) {
    route
        .post("/v1/plans")
        .to_new_handler(Endpoint::new(cx, draft));
    route
        .post("/v1/plans/show")
        .to_new_handler(Endpoint::new(cx, show));
    route
        .post("/v1/plans/confirm")
        .to_new_handler(Endpoint::new(cx, confirm));
    route
        .get("/v1/status")
        .to_new_handler(Endpoint::new(cx, status));
    route
        .get("/v1/decisions")
        .to_new_handler(Endpoint::new(cx, decisions));
    route
        .get("/v1/objects/*")
        .to_new_handler(Endpoint::new(cx, objects));
    route
        .get("/v1/routers/*")
        .to_new_handler(Endpoint::new(cx, router_state));
}

/// Reads the request body and decodes it as JSON.
async fn read_json<T: DeserializeOwned>(cx: &Router, req: HttpRequest) -> Result<T> {
    let body =
        request::read_body(req.body, MAX_BODY_BYTES, cx.settings.limits.receive_timeout).await?;
    serde_json::from_slice(&body).map_err(|err| Error::not_run(Category::BadInput, err.to_string()))
}

/// Returns the authenticator that signs and verifies plan tokens.
fn plan_authenticator(cx: &Router) -> Authenticator {
    Authenticator::new(&cx.settings.peer_keys, Purpose::Plan)
}

#[derive(Serialize)]
struct DraftAnswer<'a> {
    plan: &'a PlanDocument,
    token: String,
}

async fn draft(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    cx.check_serving()?;
    let intent: Intent = read_json(&cx, req).await?;
    let state = cx.config.current();
    let (own_loads, own_teams) = (cx.steward.loads(), cx.admission.in_flight());
    let fleet = FleetView::new(&cx.membership.view(), &own_loads, own_teams);
    let id = format!("plan-{}", Uuid::new_v4().simple());
    let plan = intent::draft(&state, &fleet, &intent, &id, cx.clock.wall())?;
    let answer = DraftAnswer {
        plan: plan.document(),
        token: PlanToken::new(&plan, &plan_authenticator(&cx)).to_string(),
    };
    Ok(json(StatusCode::OK, &answer))
}

#[derive(Deserialize)]
struct TokenBody {
    token: String,
}

async fn show(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    let body: TokenBody = read_json(&cx, req).await?;
    let token: PlanToken = body.token.parse()?;
    let plan = token.verify(&plan_authenticator(&cx))?;
    Ok(json(StatusCode::OK, plan.document()))
}

async fn confirm(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    let operator = authorize(&cx, &req.headers)?.clone();
    cx.check_serving()?;
    let body: TokenBody = read_json(&cx, req).await?;
    let token: PlanToken = body.token.parse()?;
    let plan = token.verify(&plan_authenticator(&cx))?;
    let plan = plan.confirm(&operator, cx.clock.wall())?;
    let settled = intent::confirm(&cx, &plan).await?;
    Ok(json(StatusCode::OK, &settled))
}

#[derive(Serialize)]
struct Status {
    router: RouterName,
    phase: &'static str,
    applied: Offset,
    head: Offset,
    routers: BTreeMap<RouterName, RouterStatus>,
    /// Teams that are being moved to another version.
    moves: Vec<MoveStatus>,
    /// Pools whose versions are being redistributed over their engines.
    rebalancing: Vec<PoolName>,
    /// Versions that engines failed to load; moves to them are stopped.
    stopped: Vec<LoadFailureStatus>,
}

#[derive(Serialize)]
struct RouterStatus {
    state: &'static str,
    /// Offset up to which the router has applied the configuration; absent if the router did
    /// not answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    applied: Option<Offset>,
}

async fn status(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    let peers: Vec<_> = cx.membership.view().peers().cloned().collect();
    let routers = join_all(peers.iter().map(|peer| fetch_status(&cx, peer))).await;
    let state = cx.config.current();
    let status = Status {
        router: cx.settings.name.clone(),
        phase: cx.membership.phase(),
        applied: state.applied,
        head: cx.membership.view().config_head(),
        routers: routers.into_iter().collect(),
        moves: orders::moves(&state),
        rebalancing: orders::rebalancing(&state),
        stopped: orders::load_failures(&state),
    };
    Ok(json(StatusCode::OK, &status))
}

async fn fetch_status(cx: &Router, peer: &Peer) -> (RouterName, RouterStatus) {
    let answer = cx
        .peers
        .call(&peer.name, peer.peer_address, ConfigHeadRequest);
    let status = RouterStatus {
        state: if peer.leaving { "leaving" } else { "live" },
        applied: answer.await.ok().flatten(),
    };
    (peer.name.clone(), status)
}

#[derive(Serialize)]
struct Decisions<'a> {
    /// Value of `since` for the next request.
    next: Offset,
    decisions: Vec<&'a Decision>,
}

async fn decisions(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    let since = Offset(query_number(&req.uri, "since")?);
    let wait = Duration::from_millis(query_number(&req.uri, "wait_ms")?).min(MAX_DECISION_WAIT);
    let mut applied = cx.config.subscribe();
    let newer = applied.wait_for(|applied| *applied > since);
    // If no decision arrives in time, the answer has no decisions.
    drop(tokio::time::timeout(wait, newer).await);
    let state = cx.config.current();
    let recent = state
        .decided
        .iter()
        .filter(|decision| decision.offset >= since);
    let decisions: Vec<_> = recent.take(MAX_DECISIONS).collect();
    let next = match decisions.last() {
        Some(last) if decisions.len() == MAX_DECISIONS => last.offset.next(),
        _ => state.applied,
    };
    Ok(json(StatusCode::OK, &Decisions { next, decisions }))
}

/// Returns the number in the query parameter `key`, or 0 if it is absent.
fn query_number(uri: &Uri, key: &str) -> Result<u64> {
    let query = request::query(uri);
    let Some(text) = query.get(key) else {
        return Ok(0);
    };
    let malformed = |_| Error::not_run(Category::BadInput, format!("{key}: must be a number"));
    text.parse().map_err(malformed)
}

#[derive(Serialize)]
struct EngineAnswer<'a> {
    name: &'a str,
    pool: &'a str,
    address: String,
    failure_domain: &'a str,
    state: &'static str,
    role: crate::config::Role,
}

async fn objects(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    let state = cx.config.current();
    let kind = req.uri.path().trim_start_matches("/v1/objects/");
    Ok(match kind {
        "teams" => list_objects(state.teams.values()),
        "services" => list_objects(state.services.values()),
        "pools" => list_objects(state.pools.values()),
        "models" => list_objects(state.models.values()),
        "engines" => engines(&cx),
        _ => {
            let message = "unknown kind of objects; use teams, services, pools, models or engines";
            return Err(Error::not_run(Category::NotFound, message));
        }
    })
}

fn list_objects<'a, T: Serialize + 'a>(objects: impl Iterator<Item = &'a T>) -> Response<Body> {
    json(StatusCode::OK, &objects.collect::<Vec<_>>())
}

fn engines(cx: &Router) -> Response<Body> {
    let state = cx.config.current();
    let view = cx.membership.view();
    let engines = view.all_engines().map(|engine| EngineAnswer {
        name: engine.name.as_str(),
        pool: engine.pool.as_str(),
        address: engine.address.to_string(),
        failure_domain: engine.domain.as_str(),
        state: match (state.drained.contains(&engine.name), engine.leaving) {
            (true, _) => "drained",
            (false, true) => "leaving",
            (false, false) => "live",
        },
        role: state.roles.get(&engine.name).copied().unwrap_or_default(),
    });
    json(StatusCode::OK, &engines.collect::<Vec<_>>())
}

/// Returns the state dump of a router; that of another router is fetched over its peer
/// connection.
async fn router_state(cx: Arc<Router>, req: HttpRequest) -> Result<Response<Body>> {
    authorize(&cx, &req.headers)?;
    let rest = req.uri.path().trim_start_matches("/v1/routers/");
    let name = RouterName::new(rest.trim_end_matches("/state"))?;
    if name == cx.settings.name {
        return Ok(json(StatusCode::OK, &inspect::Dump::new(&cx)));
    }
    let peer = cx.membership.view().peer(&name).cloned();
    let missing = || Error::not_run(Category::NotFound, format!("no router {name}"));
    let peer = peer.ok_or_else(missing)?;
    let text = cx.peers.call(&name, peer.peer_address, DumpRequest).await?;
    let dump: serde_json::Value = serde_json::from_str(&text)
        .map_err(|err| Error::not_run(Category::Protocol, err.to_string()))?;
    Ok(json(StatusCode::OK, &dump))
}
