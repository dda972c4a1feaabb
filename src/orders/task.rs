//! The task that drives the engines of one group while its lease is held here.

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

/// Time after which no order of an earlier holder is under way any more.
const LONGEST_ORDER: Duration = Duration::from_secs(3);

/// Time between two rounds.
const ROUND_PERIOD: Duration = Duration::from_secs(1);

/// Time between two reports of an engine that has reached the wanted state.
const REPORT_PERIOD: Duration = Duration::from_secs(30);

/// The same for an engine that ignores fencing numbers.
const UNFENCED_REPORT_PERIOD: Duration = Duration::from_secs(5);

/// Engines spoken to at once.
const CONCURRENCY: usize = 16;

/// Drives the pools of `group` whenever this router holds their lease.
pub async fn reconcile_group(cx: Arc<Router>, group: usize) {
    let mut tenures = cx.leases.subscribe(group);
    loop {
        // The sender lives as long as the router, so waiting cannot fail.
        if tenures.wait_for(Option::is_some).await.is_err() {
            return;
        }
        let mut round = Round::default();
        while let Some(tenure) = cx.leases.term(group) {
            round.run(&cx, group, tenure).await;
            tokio::time::sleep(ROUND_PERIOD).await;
        }
        cx.order_progress.forget(|pool| group_of(pool) == group);
    }
}

/// What one tenure has learnt of the engines.
#[derive(Default)]
struct Round {
    applied: Offset,
    reports: HashMap<EngineName, (EngineReport, Instant)>,
    retries: HashMap<PoolName, (Option<Offset>, Retries)>,
    wanted: HashMap<PoolName, (DesiredState, Instant)>,
}

impl Round {
    async fn run(&mut self, cx: &Router, group: usize, tenure: LeaseTerm) {
        let state = cx.config.current();
        if state.applied != self.applied {
            self.applied = state.applied;
            self.reports.clear();
        }
        for pool in state.pools.keys().filter(|pool| group_of(pool) == group) {
            if let Some(wanted) = DesiredState::from_config(&state, pool) {
                let wanted = self.settle(pool, wanted, cx.clock.now());
                self.drive_pool(cx, tenure, &state, pool, &wanted).await;
            }
        }
    }

    /// Notes since when `pool` is wanted so; by the end of the time after which a router
    /// that hears nothing takes no requests, all others know it.
    fn settle(&mut self, pool: &PoolName, mut wanted: DesiredState, now: Instant) -> DesiredState {
        let known = self.wanted.entry(pool.clone());
        let (last, since) = known.or_insert_with(|| (wanted.clone(), now));
        if *last != wanted {
            (*last, *since) = (wanted.clone(), now);
        }
        wanted.is_known_everywhere = now >= *since + ISOLATION_TIMEOUT;
        wanted
    }

    async fn drive_pool(
        &mut self,
        cx: &Router,
        tenure: LeaseTerm,
        state: &ConfigState,
        pool: &PoolName,
        wanted: &DesiredState,
    ) {
        let engines = live_engines(cx, pool);
        self.refresh(cx, &engines).await;
        let reports: BTreeMap<_, _> = engines
            .iter()
            .filter_map(|engine| {
                let (report, _) = self.reports.get(&engine.name)?;
                Some((engine.name.clone(), report.clone()))
            })
            .collect();
        let free = free_loads(cx, wanted, &reports).await;
        let now = cx.clock.now();
        let retries = self.retries(state, pool);
        retries.note(&reports, now);
        let decision = decide(wanted, &reports, tenure.fence, free, retries, now);
        for (engine, order) in &decision.orders {
            if let Order::Load { version } = order {
                retries.record_attempt(engine, version);
            }
        }
        for engine in &engines {
            let Some(order) = decision.orders.get(&engine.name) else {
                continue;
            };
            let fenced = reports[&engine.name].checks_fencing;
            if may_order(tenure, fenced, cx.clock.now()) {
                send(cx, engine, tenure.fence, order).await;
            }
            // What the order brought about is read in the next round.
            self.reports.remove(&engine.name);
        }
        report_step(cx, tenure, state, pool, &reports, &decision.stops).await;
        let progress = PoolProgress::new(reports.values(), decision.behind, decision.stops);
        publish(cx, pool, progress);
    }

    /// Returns the failed loads of `pool`, none once an operator has changed it.
    fn retries(&mut self, state: &ConfigState, pool: &PoolName) -> &mut Retries {
        let changed = state.touched.get(&format!("pool/{pool}")).copied();
        let (seen, retries) = self.retries.entry(pool.clone()).or_default();
        if *seen != changed {
            (*seen, *retries) = (changed, Retries::default());
        }
        retries
    }

    /// Reads the reports that are missing, too old, or of an engine at work.
    async fn refresh(&mut self, cx: &Router, engines: &[Arc<Engine>]) {
        let now = cx.clock.now();
        let due = engines.iter().filter(|engine| self.is_due(engine, now));
        let due: Vec<_> = due.cloned().collect();
        let mut answers = stream::iter(due)
            .map(|engine| async move { (engine.name.clone(), report(&engine).await) })
            .buffer_unordered(CONCURRENCY);
        while let Some((name, answer)) = answers.next().await {
            match answer {
                Ok(report) => drop(self.reports.insert(name, (report, now))),
                Err(err) => {
                    log::debug!("engine does not report engine={name} error=\"{err}\"");
                    self.reports.remove(&name);
                }
            }
        }
    }

    fn is_due(&self, engine: &Engine, now: Instant) -> bool {
        let Some((report, at)) = self.reports.get(&engine.name) else {
            return true;
        };
        let period = if report.checks_fencing {
            REPORT_PERIOD
        } else {
            UNFENCED_REPORT_PERIOD
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

/// Returns how many loads may start; none when that is not known.
async fn free_loads(
    cx: &Router,
    wanted: &DesiredState,
    reports: &BTreeMap<EngineName, EngineReport>,
) -> usize {
    let missing = |(engine, report): (&EngineName, &EngineReport)| {
        let mut versions = wanted.versions_of(engine);
        versions.any(|version| needs_load(report.versions.get(version)))
    };
    if !reports.iter().any(missing) {
        return 0;
    }
    let loading = reports.values().filter(|report| is_loading(report)).count();
    match cx.infra.weights.usage().await {
        Ok(usage) => usage.free(loading),
        Err(err) => {
            log::warn!("weight store unreadable error=\"{err}\"");
            0
        }
    }
}

/// Returns whether an order may go out now, the last look before it does.
fn may_order(tenure: LeaseTerm, fenced: bool, now: Instant) -> bool {
    tenure.permits(now) && (fenced || now >= tenure.acquired_at + LONGEST_ORDER)
}

/// Appends the next step of the pool's moves; appending one again is harmless.
async fn report_step(
    cx: &Router,
    tenure: LeaseTerm,
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
        fence: tenure.fence,
    });
    let Ok(entry) = serde_json::to_value(step) else {
        return;
    };
    if !tenure.permits(cx.clock.now()) {
        return;
    }
    if let Err(err) = cx.infra.log.append(CONFIG_STREAM, &[entry]).await {
        log::warn!("step not confirmed pool={pool} error=\"{err}\"");
    }
}

async fn report(engine: &Engine) -> Result<EngineReport> {
    client(engine)?.get("/orders", ORDER_TIMEOUT).await
}

async fn send(cx: &Router, engine: &Engine, fence: Offset, order: &Order) {
    let message = FencedOrder { fence, order };
    let answer = match client(engine) {
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

fn client(engine: &Engine) -> Result<JsonClient> {
    let base = format!("http://{}", engine.address);
    let malformed =
        |err: http::uri::InvalidUri| Error::not_run(crate::Category::BadInput, err.to_string());
    Ok(JsonClient::new(&base.parse().map_err(malformed)?))
}

fn publish(cx: &Router, pool: &PoolName, progress: PoolProgress) {
    let stops = progress.stops.clone();
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
