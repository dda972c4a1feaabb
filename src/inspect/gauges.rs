//! Gauges, set from the state of the slices each time the metrics are read.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::Router;

/// Label of the gauges that have one value for each pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabel {
    pool: String,
}

/// Gauges of a router.
///
/// The number of pools in the configuration bounds the number of label values.
#[derive(Debug, Default)]
pub struct Gauges {
    routers: Gauge,
    engines: Gauge,
    granted_slots: Gauge,
    config_lag: Gauge,
    claimed_keys: Gauge,
    held_leases: Gauge,
    is_serving: Gauge,
    waiting_requests: Family<PoolLabel, Gauge>,
    engines_behind: Family<PoolLabel, Gauge>,
    stopped_steps: Family<PoolLabel, Gauge>,
}

impl Gauges {
    /// Creates the gauges and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let gauges = Gauges::default();
        let router_gauges = [
            (
                "routers",
                "Known routers that are not leaving",
                &gauges.routers,
            ),
            (
                "engines",
                "Known engines and servers that are not leaving",
                &gauges.engines,
            ),
            (
                "grants",
                "Engine slots granted by this router and not yet released",
                &gauges.granted_slots,
            ),
            (
                "config_lag_records",
                "Configuration records that exist in the log and are not yet applied",
                &gauges.config_lag,
            ),
            (
                "claimed_keys",
                "Claimed call keys held in memory",
                &gauges.claimed_keys,
            ),
            (
                "leases_held",
                "Leases held for sending orders to engines",
                &gauges.held_leases,
            ),
            (
                "serving",
                "1 while the router accepts new requests, otherwise 0",
                &gauges.is_serving,
            ),
        ];
        for (name, help, gauge) in router_gauges {
            registry.register(name, help, gauge.clone());
        }
        let pool_gauges = [
            (
                "waiting_requests",
                "Requests that wait for an engine",
                &gauges.waiting_requests,
            ),
            (
                "orders_behind_engines",
                "Engines that have not yet reached their desired state",
                &gauges.engines_behind,
            ),
            (
                "orders_stopped_steps",
                "Failed steps, each of which stops the move of a team to a version",
                &gauges.stopped_steps,
            ),
        ];
        for (name, help, family) in pool_gauges {
            registry.register(name, help, family.clone());
        }
        gauges
    }

    /// Sets the gauges from the state of `cx`.
    pub fn update(&self, cx: &Router) {
        let applied = cx.config.current().applied.0;
        let view = cx.membership.view();
        self.routers.set(view.active_routers().count() as i64);
        let engines = view.all_engines().filter(|engine| !engine.leaving);
        self.engines.set(engines.count() as i64);
        let lag = view.config_head().0.saturating_sub(applied);
        drop(view);
        self.config_lag.set(lag as i64);
        let granted_slots: u32 = cx.steward.in_flight().values().sum();
        self.granted_slots.set(i64::from(granted_slots));
        self.claimed_keys.set(cx.claims.len() as i64);
        self.held_leases.set(cx.leases.fences().len() as i64);
        self.is_serving.set(i64::from(cx.check_serving().is_ok()));
        self.update_pools(cx);
    }

    /// Sets the gauges that have one value for each pool.
    fn update_pools(&self, cx: &Router) {
        self.waiting_requests.clear();
        for (pool, waiting) in cx.admission.queues.waiting() {
            set(&self.waiting_requests, pool.as_str(), waiting);
        }
        self.engines_behind.clear();
        self.stopped_steps.clear();
        for (pool, progress) in cx.order_progress.progress() {
            set(&self.engines_behind, pool.as_str(), progress.engines_behind);
            set(
                &self.stopped_steps,
                pool.as_str(),
                progress.stopped_moves.len(),
            );
        }
    }
}

fn set(family: &Family<PoolLabel, Gauge>, pool: &str, value: usize) {
    let pool = pool.to_string();
    family.get_or_create(&PoolLabel { pool }).set(value as i64);
}
