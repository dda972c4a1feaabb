//! Tasks of the steward: one for each engine counted here, and one that renews the grants
//! held by this router.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use http_body_util::{BodyExt, Full, Limited};
use serde::Deserialize;
use tokio::task::{AbortHandle, JoinSet};

use super::{GrantId, HandOverRequest, RenewReply, RenewRequest, Renewal};
use crate::{
    membership::Engine, Category, EngineName, Error, Incarnation, Result, Router, RouterName,
};

/// Time between two checks of which engines are counted here.
const ENGINE_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Time between two load reports of an engine.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Time between two checks of which grants are due for renewal.
const RENEWAL_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Maximum size of a load report.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Time limit for fetching a load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a task for each engine of which this router is the steward.
///
/// The future never completes; dropping it ends the tasks.
pub async fn run_stewardships(cx: Arc<Router>) {
    let mut tasks = JoinSet::new();
    let mut running = BTreeMap::<(EngineName, Incarnation), AbortHandle>::new();
    let mut period = tokio::time::interval(ENGINE_CHECK_PERIOD);
    loop {
        period.tick().await;
        while tasks.try_join_next().is_some() {}
        running.retain(|_, task| !task.is_finished());
        for engine in engines_to_count(&cx) {
            let key = (engine.name.clone(), engine.incarnation);
            running
                .entry(key)
                .or_insert_with(|| tasks.spawn(count_engine(cx.clone(), engine)));
        }
        expire_state(&cx);
    }
}

fn engines_to_count(cx: &Router) -> Vec<Arc<Engine>> {
    let engines: Vec<_> = {
        let view = cx.membership.view();
        view.all_engines().cloned().collect()
    };
    let state = cx.config.current();
    let is_chat = |engine: &&Arc<Engine>| {
        let mut services = state.services.values();
        services.any(|service| {
            service.pool == engine.pool && service.kind == crate::config::ServiceKind::Chat
        })
    };
    let chat_engines = engines.iter().filter(is_chat);
    chat_engines
        .filter(|engine| cx.remote_steward(&engine.name).is_none())
        .cloned()
        .collect()
}

fn expire_state(cx: &Router) {
    // The lock on the view is released before other state is locked.
    let (routers, engines) = {
        let view = cx.membership.view();
        let routers: BTreeSet<_> = view.peers().map(|peer| peer.name.clone()).collect();
        let engines: BTreeSet<_> = view.all_engines().map(|e| e.name.clone()).collect();
        (routers, engines)
    };
    let is_live = |name: &RouterName| *name == cx.settings.name || routers.contains(name);
    cx.steward.tick(is_live, cx.clock.now());
    cx.steward.retain(|name| engines.contains(name));
    cx.held_grants.retain(|name| engines.contains(name));
}

/// Counts the load of one incarnation of an engine while this router is its steward.
async fn count_engine(cx: Arc<Router>, engine: Arc<Engine>) {
    while let Some(engine) = still_counted(&cx, &engine) {
        if cx.steward.take_over(&engine, cx.clock.now()) {
            request_hand_over(&cx, &engine).await;
        }
        match fetch_load(&cx, &engine).await {
            Ok(in_flight) => cx
                .steward
                .record_load_report(&engine, in_flight, cx.clock.now()),
            Err(err) => log::debug!(
                "failed to fetch load report engine={} error=\"{err}\"",
                engine.name
            ),
        }
        tokio::time::sleep(REPORT_PERIOD).await;
    }
}

/// Returns the current state of the engine, or `None` when it is no longer counted here.
fn still_counted(cx: &Router, engine: &Engine) -> Option<Arc<Engine>> {
    if cx.remote_steward(&engine.name).is_some() {
        cx.steward.stop_granting(&engine.name, cx.clock.now());
        return None;
    }
    let known = cx.membership.view().engine(&engine.name).cloned();
    known.filter(|known| known.incarnation == engine.incarnation)
}

async fn request_hand_over(cx: &Router, engine: &Engine) {
    let Some(peer) = cx.last_remote_steward(&engine.name) else {
        return;
    };
    let req = HandOverRequest {
        engine: engine.name.clone(),
    };
    match cx.peers.call(&peer.name, peer.peer_address, req).await {
        Ok(Some(hand_over)) => cx
            .steward
            .accept_hand_over(&engine.name, hand_over, cx.clock.now()),
        Ok(None) => {}
        Err(err) => log::info!(
            "failed to fetch grant ledger from previous steward engine={} error=\"{err}\"",
            engine.name
        ),
    }
}

/// The part of an engine's load report that the steward reads.
#[derive(Deserialize)]
struct LoadReport {
    in_flight: u32,
}

async fn fetch_load(cx: &Router, engine: &Engine) -> Result<u32> {
    let malformed = |err: String| Error::not_run(Category::Protocol, err);
    let req = http::Request::get(format!("http://{}/load", engine.address))
        .body(Full::default())
        .map_err(|err| malformed(err.to_string()))?;
    let read = async {
        let answer = cx.backends.send(req).await?;
        let body = Limited::new(answer.into_body(), MAX_REPORT_BYTES)
            .collect()
            .await;
        body.map_err(|err| malformed(err.to_string()))
    };
    let timed_out = |_| Error::not_run(Category::Timeout, "the engine did not answer in time");
    let body = tokio::time::timeout(REPORT_TIMEOUT, read)
        .await
        .map_err(timed_out)??;
    let report: LoadReport =
        serde_json::from_slice(&body.to_bytes()).map_err(|err| malformed(err.to_string()))?;
    Ok(report.in_flight)
}

/// Renews the grants that this router holds, at the stewards of their engines.
///
/// The future never completes; it runs until it is dropped.
pub async fn renew_grants(cx: Arc<Router>) {
    let mut period = tokio::time::interval(RENEWAL_CHECK_PERIOD);
    loop {
        period.tick().await;
        let steward_of = |engine: &EngineName| {
            let peer = cx.remote_steward(engine);
            Some(peer.map_or_else(|| cx.settings.name.clone(), |peer| peer.name.clone()))
        };
        let (before, due) = cx.held_grants.due_renewals(steward_of, cx.clock.now());
        for (steward, renewals) in due {
            renew(&cx, &steward, before, renewals).await;
        }
    }
}

async fn renew(cx: &Router, steward: &RouterName, before: GrantId, renewals: Vec<Renewal>) {
    let sent = cx.clock.now();
    let req = RenewRequest { before, renewals };
    match send_renewal(cx, steward, req).await {
        Ok(reply) => {
            for engine in &reply.renewed {
                cx.held_grants.mark_renewed(engine, steward, sent);
            }
        }
        Err(err) => log::debug!("failed to renew grants steward={steward} error=\"{err}\""),
    }
}

async fn send_renewal(cx: &Router, steward: &RouterName, req: RenewRequest) -> Result<RenewReply> {
    if *steward == cx.settings.name {
        return Ok(cx.handle_renewal(steward, cx.incarnation, &req));
    }
    let peer = cx.membership.view().peer(steward).cloned();
    let not_found = || {
        Error::not_run(
            Category::Unavailable,
            "the steward is no longer a known router",
        )
    };
    let peer = peer.ok_or_else(not_found)?;
    cx.peers.call(&peer.name, peer.peer_address, req).await
}
