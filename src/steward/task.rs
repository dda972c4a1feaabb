//! Tasks of the steward: one for each engine counted here, one for the grants held here.

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

/// Time between two looks at which engines are counted here.
const WATCH_PERIOD: Duration = Duration::from_millis(200);

/// Time between two load reports of an engine.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Time between two looks at which grants are to be renewed.
const RENEW_CHECK: Duration = Duration::from_millis(500);

/// Largest load report, in bytes.
const MAX_REPORT: usize = 16 * 1024;

/// Longest time for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a task for each engine that this router is to count, until it is dropped.
pub async fn keep_engines(cx: Arc<Router>) {
    let mut tasks = JoinSet::new();
    let mut kept = BTreeMap::<(EngineName, Incarnation), AbortHandle>::new();
    let mut period = tokio::time::interval(WATCH_PERIOD);
    loop {
        period.tick().await;
        while tasks.try_join_next().is_some() {}
        kept.retain(|_, task| !task.is_finished());
        for engine in engines_to_keep(&cx) {
            let life = (engine.name.clone(), engine.incarnation);
            kept.entry(life)
                .or_insert_with(|| tasks.spawn(keep_engine(cx.clone(), engine)));
        }
        tidy(&cx);
    }
}

fn engines_to_keep(cx: &Router) -> Vec<Arc<Engine>> {
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
    let kept = engines.iter().filter(is_chat);
    kept.filter(|engine| cx.steward_of(&engine.name).is_none())
        .cloned()
        .collect()
}

fn tidy(cx: &Router) {
    // The view is not locked together with the other states.
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

/// Counts one life of an engine as long as this router is its steward.
async fn keep_engine(cx: Arc<Router>, engine: Arc<Engine>) {
    while let Some(engine) = still_kept(&cx, &engine) {
        if cx.steward.take_over(&engine, cx.clock.now()) {
            ask_last_steward(&cx, &engine).await;
        }
        match load_of(&cx, &engine).await {
            Ok(in_flight) => cx
                .steward
                .record_load_report(&engine, in_flight, cx.clock.now()),
            Err(err) => log::debug!("no load report engine={} error=\"{err}\"", engine.name),
        }
        tokio::time::sleep(REPORT_PERIOD).await;
    }
}

/// Returns the engine as known now, or `None` when it is not counted here any longer.
fn still_kept(cx: &Router, engine: &Engine) -> Option<Arc<Engine>> {
    if cx.steward_of(&engine.name).is_some() {
        cx.steward.stop_granting(&engine.name, cx.clock.now());
        return None;
    }
    let known = cx.membership.view().engine(&engine.name).cloned();
    known.filter(|known| known.incarnation == engine.incarnation)
}

async fn ask_last_steward(cx: &Router, engine: &Engine) {
    let Some(peer) = cx.last_steward_of(&engine.name) else {
        return;
    };
    let req = HandOverRequest {
        engine: engine.name.clone(),
    };
    match cx.peers.call(&peer.name, peer.peer_address, req).await {
        Ok(Some(book)) => cx
            .steward
            .accept_hand_over(&engine.name, book, cx.clock.now()),
        Ok(None) => {}
        Err(err) => log::info!("no hand-over engine={} error=\"{err}\"", engine.name),
    }
}

/// The part of an engine's load report that the steward reads.
#[derive(Deserialize)]
struct LoadReport {
    in_flight: u32,
}

async fn load_of(cx: &Router, engine: &Engine) -> Result<u32> {
    let malformed = |err: String| Error::not_run(Category::Protocol, err);
    let req = http::Request::get(format!("http://{}/load", engine.address))
        .body(Full::default())
        .map_err(|err| malformed(err.to_string()))?;
    let read = async {
        let answer = cx.backends.send(req).await?;
        let body = Limited::new(answer.into_body(), MAX_REPORT).collect().await;
        body.map_err(|err| malformed(err.to_string()))
    };
    let timed_out = |_| Error::not_run(Category::Timeout, "the engine is silent");
    let body = tokio::time::timeout(REPORT_TIMEOUT, read)
        .await
        .map_err(timed_out)??;
    let report: LoadReport =
        serde_json::from_slice(&body.to_bytes()).map_err(|err| malformed(err.to_string()))?;
    Ok(report.in_flight)
}

/// Tells the stewards which grants this router holds, until it is dropped.
pub async fn renew_grants(cx: Arc<Router>) {
    let mut period = tokio::time::interval(RENEW_CHECK);
    loop {
        period.tick().await;
        let steward_of = |engine: &EngineName| {
            let peer = cx.steward_of(engine);
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
        Err(err) => log::debug!("grants not renewed steward={steward} error=\"{err}\""),
    }
}

async fn send_renewal(cx: &Router, steward: &RouterName, req: RenewRequest) -> Result<RenewReply> {
    if *steward == cx.settings.name {
        return Ok(cx.answer_renewal(steward, cx.incarnation, &req));
    }
    let peer = cx.membership.view().peer(steward).cloned();
    let gone = || Error::not_run(Category::Unavailable, "the steward is gone");
    let peer = peer.ok_or_else(gone)?;
    cx.peers.call(&peer.name, peer.peer_address, req).await
}
