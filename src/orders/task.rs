//! Task that reconciles the engines of one group while this router holds its lease.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use futures_util::{stream, StreamExt};
use serde_json::Value;

use super::{
    decide, next_move_step, DesiredState, EngineReport, FencedOrder, Order, PoolProgress, Retries,
    StoppedMove, VersionState,
};
use crate::{
    config::{ConfigState, Record, StepReport, CONFIG_STREAM},
    infra::JsonClient,
    lease::{group_of, LeaseTerm},
    membership::{Engine, ISOLATION_TIMEOUT},
    EngineName, Error, Instant, Offset, PoolName, Result, Router,
};

/// Longest time for an engine to answer an order or to report.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time from the end of a lease until the last order of its holder has ended.
const MAX_ORDER_DURATION: Duration = Duration::from_secs(3);

/// Pause between two rounds of reconciliation.
const ROUND_PAUSE: Duration = Duration::from_secs(1);

/// Age at which the report of an engine that has reached the desired state is read again.
const MAX_REPORT_AGE: Duration = Duration::from_secs(30);

/// Age at which the report of an engine that ignores fencing numbers is read again.
///
/// It is shorter, so that the effect of a late order is soon corrected.
const MAX_UNFENCED_REPORT_AGE: Duration = Duration::from_secs(5);

/// Maximum number of engines whose reports are read at once.
const MAX_CONCURRENT_REPORTS: usize = 16;

/// Reconciles the pools of `group` whenever this router holds their lease.
pub async fn reconcile_group(cx: Arc<Router>, group: usize) {
    let mut terms = cx.leases.subscribe(group);
    loop {
        // The sender exists as long as the router, so waiting cannot fail.
        if terms.wait_for(Option::is_some).await.is_err() {
            return;
        }
        let mut reconciler = Reconciler::default();
        while let Some(term) = cx.leases.term(group) {
            reconciler.run_round(&cx, group, term).await;
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        cx.order_progress
            .remove_pools(|pool| group_of(pool) == group);
    }
}

/// State of the reconciliation of one group during one lease term.
#[derive(Default)]
struct Reconciler {
    /// Configuration offset of the last round; when it changes, all reports are read again.
    applied: Offset,
    /// Last report of each engine, with the time of its read.
    reports: HashMap<EngineName, (EngineReport, Instant)>,
    /// Failed loads of each pool, with the offset of the last change of the pool.
    retries: HashMap<PoolName, (Option<Offset>, Retries)>,
    /// Desired state of each pool, with the time since which it has not changed.
    desired: HashMap<PoolName, (DesiredState, Instant)>,
}

impl Reconciler {
    async fn run_round(&mut self, cx: &Router, group: usize, term: LeaseTerm) {
        let state = cx.config.current();
        if state.applied != self.applied {
            self.applied = state.applied;
            self.reports.clear();
        }
        for pool in state.pools.keys().filter(|pool| group_of(pool) == group) {
            if let Some(desired) = DesiredState::from_config(&state, pool) {
                let desired = self.track_desired_state(pool, desired, cx.clock.now());
                self.reconcile_pool(cx, term, &state, pool, &desired).await;
            }
        }
    }

    /// Records since when `pool` has this desired state and sets whether all routers know it.
    ///
    /// After [`ISOLATION_TIMEOUT`] they do: a router that has received nothing for this time
    /// takes no requests.
    fn track_desired_state(
        &mut self,
        pool: &PoolName,
        mut desired: DesiredState,
        now: Instant,
    ) -> DesiredState {
        let entry = self.desired.entry(pool.clone());
        let (last, since) = entry.or_insert_with(|| (desired.clone(), now));
        if *last != desired {
            (*last, *since) = (desired.clone(), now);
        }
        desired.is_known_everywhere = now >= *since + ISOLATION_TIMEOUT;
        desired
    }

    async fn reconcile_pool(
        &mut self,
        cx: &Router,
        term: LeaseTerm,
        state: &ConfigState,
        pool: &PoolName,
        desired: &DesiredState,
    ) {
        let engines = live_engines(cx, pool);
        self.refresh_reports(cx, &engines).await;
        let reports: BTreeMap<_, _> = engines
            .iter()
            .filter_map(|engine| {
                let (report, _) = self.reports.get(&engine.name)?;
                Some((engine.name.clone(), report.clone()))
            })
            .collect();
        let free = free_loads(cx, desired, &reports).await;
        let now = cx.clock.now();
        let retries = self.retries(state, pool);
        retries.observe_reports(&reports, now);
        let decision = decide(desired, &reports, term.fence, free, retries, now);
        for (engine, order) in &decision.orders {
            if let Order::Load { version } = order {
                retries.record_attempt(engine, version);
            }
        }
        for engine in &engines {
            let Some(order) = decision.orders.get(&engine.name) else {
                continue;
            };
            let checks_fencing = reports[&engine.name].checks_fencing;
            if may_order(term, checks_fencing, cx.clock.now()) {
                send_order(cx, engine, term.fence, order).await;
            }
            // The next round reads the report again, with the effect of the order.
            self.reports.remove(&engine.name);
        }
        append_move_step(cx, term, state, pool, &reports, &decision.stopped_moves).await;
        let progress = PoolProgress::new(
            reports.values(),
            decision.engines_behind,
            decision.stopped_moves,
        );
        publish_progress(cx, pool, progress);
    }

    /// Returns the failed loads of `pool`, and clears them when an operator has changed the pool.
    fn retries(&mut self, state: &ConfigState, pool: &PoolName) -> &mut Retries {
        let changed = state.touched.get(&format!("pool/{pool}")).copied();
        let (seen, retries) = self.retries.entry(pool.clone()).or_default();
        if *seen != changed {
            (*seen, *retries) = (changed, Retries::default());
        }
        retries
    }

    /// Reads the reports that are missing or too old, and those of engines that are loading.
    async fn refresh_reports(&mut self, cx: &Router, engines: &[Arc<Engine>]) {
        let now = cx.clock.now();
        let due = engines
            .iter()
            .filter(|engine| self.is_report_due(engine, now));
        let due: Vec<_> = due.cloned().collect();
        let mut answers = stream::iter(due)
            .map(|engine| async move { (engine.name.clone(), read_report(&engine).await) })
            .buffer_unordered(MAX_CONCURRENT_REPORTS);
        while let Some((name, answer)) = answers.next().await {
            match answer {
                Ok(report) => drop(self.reports.insert(name, (report, now))),
                Err(err) => {
                    log::debug!("cannot read engine report engine={name} error=\"{err}\"");
                    self.reports.remove(&name);
                }
            }
        }
    }

    fn is_report_due(&self, engine: &Engine, now: Instant) -> bool {
        let Some((report, at)) = self.reports.get(&engine.name) else {
            return true;
        };
        let period = if report.checks_fencing {
            MAX_REPORT_AGE
        } else {
            MAX_UNFENCED_REPORT_AGE
        };
        is_loading(report) || now >= *at + period
    }
}

fn is_loading(report: &EngineReport) -> bool {
    let mut versions = report.versions.values();
    versions.any(|state| *state == VersionState::Loading)
}

fn live_engines(cx: &Router, pool: &PoolName) -> Vec<Arc<Engine>> {
    let view = cx.membership.view();
    let live = view.engines(pool).iter().filter(|engine| !engine.leaving);
    live.cloned().collect()
}

fn needs_load(state: Option<&VersionState>) -> bool {
    matches!(state, None | Some(VersionState::Failed { .. }))
}

/// Returns how many loads may start: 0 if none is needed or the weight store does not answer.
async fn free_loads(
    cx: &Router,
    desired: &DesiredState,
    reports: &BTreeMap<EngineName, EngineReport>,
) -> usize {
    let missing = |(engine, report): (&EngineName, &EngineReport)| {
        let mut versions = desired.versions_of(engine);
        versions.any(|version| needs_load(report.versions.get(version)))
    };
    if !reports.iter().any(missing) {
        return 0;
    }
    let loading = reports.values().filter(|report| is_loading(report)).count();
    match cx.infra.weights.usage().await {
        Ok(usage) => usage.free(loading),
        Err(err) => {
            log::warn!("cannot read the usage of the weight store error=\"{err}\"");
            0
        }
    }
}

/// Returns whether an order may be sent at `now`; checked right before it is sent.
fn may_order(term: LeaseTerm, checks_fencing: bool, now: Instant) -> bool {
    term.permits(now) && (checks_fencing || now >= term.acquired_at + MAX_ORDER_DURATION)
}

/// Appends the next step of the moves of `pool` to the configuration stream.
///
/// A step that is appended twice has no further effect.
async fn append_move_step(
    cx: &Router,
    term: LeaseTerm,
    state: &ConfigState,
    pool: &PoolName,
    reports: &BTreeMap<EngineName, EngineReport>,
    stops: &[StoppedMove],
) {
    let open = live_engines(cx, pool).into_iter();
    let open = open.filter(|engine| !state.drained.contains(&engine.name));
    let open: Vec<_> = open.map(|engine| engine.name.clone()).collect();
    let Some(result) = next_move_step(state, pool, &open, reports, stops) else {
        return;
    };
    let step = Record::Step(StepReport {
        pool: pool.clone(),
        result,
        router: cx.settings.name.clone(),
        at: cx.clock.wall(),
        base: state.applied,
        fence: term.fence,
    });
    let Ok(entry) = serde_json::to_value(step) else {
        return;
    };
    if !term.permits(cx.clock.now()) {
        return;
    }
    if let Err(err) = cx.infra.log.append(CONFIG_STREAM, &[entry]).await {
        log::warn!("append of a move step not confirmed pool={pool} error=\"{err}\"");
    }
}

async fn read_report(engine: &Engine) -> Result<EngineReport> {
    engine_client(engine)?.get("/orders", ORDER_TIMEOUT).await
}

async fn send_order(cx: &Router, engine: &Engine, fence: Offset, order: &Order) {
    let message = FencedOrder { fence, order };
    let answer = match engine_client(engine) {
        Ok(client) => {
            client
                .post::<Value>("/orders", &message, ORDER_TIMEOUT)
                .await
        }
        Err(err) => Err(err),
    };
    let name = &engine.name;
    match &answer {
        Ok(_) => log::info!("order accepted engine={name} fence={fence} order={order:?}"),
        Err(err) => log::warn!("order failed engine={name} order={order:?} error=\"{err}\""),
    }
    cx.metrics.count_order(answer.as_ref().err());
}

fn engine_client(engine: &Engine) -> Result<JsonClient> {
    let base = format!("http://{}", engine.address);
    let malformed =
        |err: http::uri::InvalidUri| Error::not_run(crate::Category::BadInput, err.to_string());
    Ok(JsonClient::new(&base.parse().map_err(malformed)?))
}

fn publish_progress(cx: &Router, pool: &PoolName, progress: PoolProgress) {
    let stops = progress.stopped_moves.clone();
    if !cx.order_progress.record(pool, progress) {
        return;
    }
    for stop in stops {
        let (engine, version, reason) = (stop.engine, stop.version, stop.reason);
        log::error!(
            "move stopped pool={pool} engine={engine} version={version} reason=\"{reason}\""
        );
    }
}
