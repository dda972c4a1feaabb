//! Explains where a chat's next request would go, and why.

use std::{collections::BTreeSet, sync::Arc};

use serde::Serialize;

use crate::{
    config::ConfigState,
    lookup,
    membership::Engine,
    placement::Hint,
    steward::{LoadLimit, WaitingCounts},
    Category, ChatId, DomainName, EngineName, Result, Router, RouterName, ServiceName, TeamName,
};

/// How this router would treat a request of a team for a chat.
#[derive(Debug, Serialize)]
pub struct Explanation {
    team: TeamName,
    service: ServiceName,
    chat: ChatId,
    #[serde(skip_serializing_if = "Option::is_none")]
    refusal: Option<WouldRefuse>,
    bound: u32,
    waiting: usize,
    routers: Vec<RouterName>,
    engines: Vec<RankedEngine>,
    shut: Vec<ExcludedEngine>,
}

/// Why the router would refuse the request now.
#[derive(Debug, Serialize)]
struct WouldRefuse {
    reason: Category,
    message: String,
}

/// An engine that the request would try; the explanation lists them in the order of tries.
#[derive(Debug, Serialize)]
struct RankedEngine {
    engine: EngineName,
    failure_domain: DomainName,
    steward: RouterName,
    hinted: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_flight: Option<u32>,
}

/// An engine of the pool to which the request cannot go, and the reason.
#[derive(Debug, Serialize)]
struct ExcludedEngine {
    engine: EngineName,
    why: &'static str,
}

/// Explains where the next request of `team` for `chat` would go.
///
/// # Errors
///
/// Returns [`Category::NotFound`] for an unknown team or service.
pub fn explain(
    cx: &Router,
    team: &TeamName,
    service: &ServiceName,
    chat: &ChatId,
    hint: &Hint,
) -> Result<Explanation> {
    let state = cx.config.current();
    state.team(team)?;
    let service = state.service(service)?;
    let pool = &service.pool;
    let engines = cx.membership.view().engines(pool).to_vec();
    let ranked = cx.candidates(pool, team, chat, hint, &BTreeSet::new());
    let routers =
        lookup::LookupAnswer::new(&cx.membership.view(), &cx.address(), service, chat, hint)?;
    let waiting = cx.admission.queues.waiting();
    let waiting_counts = WaitingCounts {
        local: cx.admission.slot_demand.count(pool),
        at_requester: 0,
    };
    Ok(Explanation {
        team: team.clone(),
        service: service.name.clone(),
        chat: chat.clone(),
        refusal: would_refuse(cx, team, &ranked),
        bound: cx.bound(pool, LoadLimit::Bound, waiting_counts),
        waiting: waiting.get(pool).copied().unwrap_or_default(),
        routers: routers.addresses.into_iter().map(|a| a.router).collect(),
        engines: ranked
            .iter()
            .map(|engine| ranked_engine(cx, engine, hint))
            .collect(),
        shut: engines
            .iter()
            .filter_map(|engine| excluded_engine(&state, team, engine))
            .collect(),
    })
}

fn excluded_engine(
    state: &ConfigState,
    team: &TeamName,
    engine: &Engine,
) -> Option<ExcludedEngine> {
    let why = exclusion_reason(state, team, engine)?;
    let engine = engine.name.clone();
    Some(ExcludedEngine { engine, why })
}

fn exclusion_reason(state: &ConfigState, team: &TeamName, engine: &Engine) -> Option<&'static str> {
    if engine.leaving {
        Some("leaving")
    } else if state.drained.contains(&engine.name) {
        Some("drained")
    } else if !state.may_serve_team(team, engine) {
        Some("without the team's version")
    } else {
        None
    }
}

fn would_refuse(cx: &Router, team: &TeamName, ranked: &[Arc<Engine>]) -> Option<WouldRefuse> {
    if let Err(err) = cx
        .check_serving()
        .and_then(|()| cx.admission.check(team, 1))
    {
        return Some(WouldRefuse {
            reason: err.classify(),
            message: err.message().to_string(),
        });
    }
    ranked.is_empty().then(|| WouldRefuse {
        reason: Category::Unavailable,
        message: "no engine is live".to_string(),
    })
}

fn ranked_engine(cx: &Router, engine: &Engine, hint: &Hint) -> RankedEngine {
    let steward = cx.remote_steward(&engine.name);
    let own_name = &cx.settings.name;
    RankedEngine {
        engine: engine.name.clone(),
        failure_domain: engine.domain.clone(),
        steward: steward.map_or_else(|| own_name.clone(), |peer| peer.name.clone()),
        hinted: hint.position(engine).is_some(),
        in_flight: cx.steward.in_flight().get(&engine.name).copied(),
    }
}
