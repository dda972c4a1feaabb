//! The state dump that a router shows to operators.

use std::{collections::BTreeMap, sync::Arc};

use serde::Serialize;

use super::RefusalRecord;
use crate::{
    config,
    membership::{Engine, Health, Peer, View},
    orders::PoolProgress,
    DomainName, EngineName, Incarnation, Offset, PoolName, Router, RouterName, TeamName,
};

/// A snapshot of a router's state for operators.
#[derive(Debug, Serialize)]
pub struct Dump {
    router: RouterName,
    incarnation: Incarnation,
    failure_domain: DomainName,
    phase: &'static str,
    config_applied: Offset,
    config_head: Offset,
    config: Arc<config::ConfigState>,
    routers: BTreeMap<RouterName, &'static str>,
    engines: Vec<EngineDump>,
    granted: BTreeMap<EngineName, u32>,
    stewardships: BTreeMap<EngineName, &'static str>,
    admitted: BTreeMap<TeamName, u32>,
    keys_held: usize,
    leases: BTreeMap<usize, Offset>,
    orders: BTreeMap<PoolName, PoolProgress>,
    refusals: Vec<RefusalRecord>,
}

#[derive(Debug, Serialize)]
struct EngineDump {
    name: EngineName,
    pool: String,
    address: String,
    incarnation: Incarnation,
    leaving: bool,
}

impl Dump {
    /// Takes a snapshot of the state of `cx`.
    pub fn new(cx: &Router) -> Self {
        let config = cx.config.current();
        let view = cx.membership.view();
        let routers = view
            .peers()
            .map(|peer| (peer.name.clone(), state_name(&view, peer)));
        Dump {
            router: cx.settings.name.clone(),
            incarnation: cx.incarnation,
            failure_domain: cx.settings.domain.clone(),
            phase: cx.membership.phase(),
            config_applied: config.applied,
            config_head: view.config_head(),
            config,
            routers: routers.collect(),
            engines: view
                .all_engines()
                .map(|engine| dump_engine(engine))
                .collect(),
            granted: cx.steward.in_flight(),
            stewardships: cx.steward.stages(),
            admitted: cx.admission.in_flight(),
            keys_held: cx.claims.len(),
            leases: cx.leases.fences(),
            orders: cx.order_progress.progress(),
            refusals: cx.refusals.latest(),
        }
    }
}

fn dump_engine(engine: &Engine) -> EngineDump {
    EngineDump {
        name: engine.name.clone(),
        pool: engine.pool.to_string(),
        address: engine.address.to_string(),
        incarnation: engine.incarnation,
        leaving: engine.leaving,
    }
}

fn state_name(view: &View, peer: &Peer) -> &'static str {
    match view.member_state(&peer.name).health {
        _ if peer.leaving => "leaving",
        Health::Alive => "live",
        Health::Suspect => "suspect",
        Health::Dead => "dead",
    }
}
