//! Gauges that are read from the state of the slices when the metrics are asked for.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::Router;

/// Label of a gauge that is kept for each pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabel {
    pool: String,
}

/// Gauges of a router; those by pool are as many as the configuration has pools.
#[derive(Debug, Default)]
pub struct Gauges {
    routers: Gauge,
    engines: Gauge,
    grants: Gauge,
    config_lag: Gauge,
    keys: Gauge,
    leases: Gauge,
    serving: Gauge,
    waiting: Family<PoolLabel, Gauge>,
    behind: Family<PoolLabel, Gauge>,
    stopped: Family<PoolLabel, Gauge>,
}

impl Gauges {
    /// Creates the gauges and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let gauges = Gauges::default();
        let plain = [
            (
                "routers",
                "Routers known that are not leaving",
                &gauges.routers,
            ),
            (
                "engines",
                "Engines and servers known that are not leaving",
                &gauges.engines,
            ),
            (
                "grants",
                "Slots granted here and not given back",
                &gauges.grants,
            ),
            (
                "config_lag_records",
                "Records heard of and not applied",
                &gauges.config_lag,
            ),
            ("claimed_keys", "Keys of calls held in memory", &gauges.keys),
            (
                "leases_held",
                "Leases held to order engines",
                &gauges.leases,
            ),
            ("serving", "1 while new requests are taken", &gauges.serving),
        ];
        for (name, help, gauge) in plain {
            registry.register(name, help, gauge.clone());
        }
        let by_pool = [
            (
                "waiting_requests",
                "Requests that wait for an engine",
                &gauges.waiting,
            ),
            (
                "orders_behind_engines",
                "Engines short of the wanted state",
                &gauges.behind,
            ),
            (
                "orders_stopped_steps",
                "Steps that failed and stop a move",
                &gauges.stopped,
            ),
        ];
        for (name, help, family) in by_pool {
            registry.register(name, help, family.clone());
        }
        gauges
    }

    /// Reads the gauges from the slices.
    pub fn read(&self, cx: &Router) {
        let applied = cx.config.current().applied.0;
        let view = cx.membership.view();
        self.routers.set(view.active_routers().count() as i64);
        let engines = view.all_engines().filter(|engine| !engine.leaving);
        self.engines.set(engines.count() as i64);
        let lag = view.config_head().0.saturating_sub(applied);
        drop(view);
        self.config_lag.set(lag as i64);
        let grants: u32 = cx.steward.in_flight().values().sum();
        self.grants.set(i64::from(grants));
        self.keys.set(cx.claims.len() as i64);
        self.leases.set(cx.leases.fences().len() as i64);
        self.serving.set(i64::from(cx.check_serving().is_ok()));
        self.read_pools(cx);
    }

    fn read_pools(&self, cx: &Router) {
        self.waiting.clear();
        for (pool, waiting) in cx.admission.queues.waiting() {
            set(&self.waiting, pool.as_str(), waiting);
        }
        self.behind.clear();
        self.stopped.clear();
        for (pool, progress) in cx.order_progress.progress() {
            set(&self.behind, pool.as_str(), progress.behind);
            set(&self.stopped, pool.as_str(), progress.stops.len());
        }
    }
}

fn set(family: &Family<PoolLabel, Gauge>, pool: &str, value: usize) {
    let pool = pool.to_string();
    family.get_or_create(&PoolLabel { pool }).set(value as i64);
}
