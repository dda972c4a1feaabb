//! Places a chat request on an engine.

use std::{sync::Arc, time::Duration};

use super::{
    canary::{duplicate_in_flight_error, CanaryPermit},
    request::Placed,
    Admitted, ChatHead, ChatRequest,
};
use crate::{
    admission::{Class, CrashRisk, QueueEntry, SlotDemandGuard, Waiter},
    membership::Engine,
    steward::{LoadLimit, Slot},
    Category, EngineName, Error, Result, Router,
};

/// Factor by which a draft may wait longer for an engine than an interactive request.
const DRAFT_QUEUE_FACTOR: u32 = 4;

/// Longest wait for an engine that caches the chat, when another would have to start cold.
const MAX_WARM_WAIT: Duration = Duration::from_millis(1_500);

/// Delay before the second try of the engines that cache the chat; it doubles with each try.
const MIN_WARM_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Longest delay between two tries of the engines that cache the chat.
const MAX_WARM_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Delay between two tries of a request that waits for a duplicate of it to end.
const DUPLICATE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Engines without a newly freed slot that a waiting request asks in one round.
const ENGINES_PER_ROUND: usize = 4;

impl ChatRequest<Admitted> {
    /// Acquires a slot on an engine below its load bound, and waits for one if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when no slot is free in time, or a
    /// duplicate of the request stays in flight for too long, [`Category::Quarantined`] when
    /// the request is quarantined, and
    /// [`Category::Unavailable`] when no engine is live.
    pub async fn place(mut self, cx: &Arc<Router>) -> Result<ChatRequest<Placed>> {
        if self.needs_canary(cx) {
            self.begin_canary(cx).await?;
        }
        if !cx.admission.queues.is_waiting(&self.head.pool) {
            if let Some(slot) = self.wait_for_warm_engine(cx).await? {
                return Ok(self.into_placed(slot));
            }
        }
        // Requests that wait for a warm engine are no demand for slots of other engines.
        let demand = cx.admission.slot_demand.track(&self.head.pool);
        if !cx.admission.queues.is_waiting(&self.head.pool) {
            match self.try_engines(cx, &demand, &self.candidates(cx)?).await {
                Ok(slot) => return Ok(self.into_placed(slot)),
                Err(err) if err.classify() == Category::Conflict => {
                    return self.wait_for_duplicate(cx, &demand).await;
                }
                Err(err) if err.classify() == Category::Quarantined => return Err(err),
                Err(err) => log::debug!(
                    "request waits for a slot request={} error=\"{err}\"",
                    self.head.id
                ),
            }
        }
        self.wait_for_slot(cx, &demand).await
    }

    /// Returns whether the request needs a canary run: its crash risk is high, or it is unknown
    /// and the request may have been sent to an engine before.
    fn needs_canary(&self, cx: &Router) -> bool {
        let crash_risk = self.crash_risk(cx);
        let may_be_repeated = self.head.attempt > 1 || !self.stage.failed_engines.is_empty();
        let may_be_repeated = may_be_repeated || !self.stage.duplicate_guard.is_first();
        matches!(crash_risk, CrashRisk::High(_))
            || may_be_repeated && matches!(crash_risk, CrashRisk::Unknown(_))
    }

    /// Begins a canary run, or waits until the one that has begun may go on.
    async fn begin_canary(&mut self, cx: &Arc<Router>) -> Result<()> {
        match &self.stage.canary {
            Some(canary) => canary.wait().await?,
            None => self.stage.canary = Some(CanaryPermit::begin(cx, &self.head).await?),
        }
        Ok(())
    }

    /// Returns the crash risk that the steward of an engine is given for the request.
    ///
    /// In a canary run, unknown risk counts as low unless a duplicate of the request was seen
    /// in flight: a router that crashed may have left an earlier attempt running on an engine,
    /// and a request of unknown risk waits for duplicates on the same engine.
    fn crash_risk(&self, cx: &Router) -> CrashRisk {
        let crash_risk = cx
            .quarantine
            .crash_risk(self.head.fingerprint, cx.clock.now());
        match crash_risk {
            CrashRisk::Unknown(_) if self.stage.canary.is_some() && !self.stage.duplicate_seen => {
                CrashRisk::Low
            }
            crash_risk => crash_risk,
        }
    }

    /// Begins a canary run and retries until no duplicate of the request keeps it from an engine.
    async fn wait_for_duplicate(
        mut self,
        cx: &Arc<Router>,
        demand: &SlotDemandGuard,
    ) -> Result<ChatRequest<Placed>> {
        self.stage.duplicate_seen = true;
        self.begin_canary(cx).await?;
        let deadline = cx.clock.now() + cx.settings.limits.queue_timeout;
        loop {
            match self.try_engines(cx, demand, &self.candidates(cx)?).await {
                Ok(slot) => return Ok(self.into_placed(slot)),
                Err(err) if err.classify() == Category::Quarantined => return Err(err),
                Err(_) if cx.clock.now() < deadline => {
                    tokio::time::sleep(DUPLICATE_RETRY_DELAY).await
                }
                Err(_) => return Err(duplicate_in_flight_error(cx)),
            }
        }
    }

    /// Waits up to [`MAX_WARM_WAIT`] for a slot on an engine that caches the chat.
    async fn wait_for_warm_engine(&mut self, cx: &Arc<Router>) -> Result<Option<Slot>> {
        let deadline = cx.clock.now() + MAX_WARM_WAIT;
        let mut delay = MIN_WARM_RETRY_DELAY;
        loop {
            let ChatHead {
                pool, team, hint, ..
            } = &self.head;
            let warm = cx.hinted_engines(pool, team, hint, &self.stage.failed_engines);
            if warm.is_empty() {
                return Ok(None);
            }
            match self.try_acquire(cx, None, &warm, LoadLimit::Bound).await {
                Ok(slot) => return Ok(Some(slot)),
                Err(err) if err.classify() == Category::Quarantined => return Err(err),
                Err(err) if err.classify() != Category::Overloaded => return Ok(None),
                Err(_) if cx.clock.now() >= deadline => return Ok(None),
                Err(_) => tokio::time::sleep(delay).await,
            }
            delay = (delay * 2).min(MAX_WARM_RETRY_DELAY);
        }
    }

    /// Waits in the queue of the pool and asks engines for a slot whenever it is its turn.
    async fn wait_for_slot(
        mut self,
        cx: &Arc<Router>,
        demand: &SlotDemandGuard,
    ) -> Result<ChatRequest<Placed>> {
        // While it waits, a request also asks engines other than its first one, where only a
        // canary run keeps duplicates apart.
        self.begin_canary_if_unknown(cx).await?;
        let waiter = self.enqueue(cx)?;
        let mut round = 0;
        loop {
            let freed = waiter.wait_for_turn().await?;
            let engines = engines_to_ask(&self.candidates(cx)?, &freed, round);
            round += 1;
            match self.try_engines(cx, demand, &engines).await {
                Ok(slot) => {
                    waiter.leave_with_slot();
                    return Ok(self.into_placed(slot));
                }
                Err(err) if err.classify() == Category::Quarantined => return Err(err),
                Err(err) if err.classify() == Category::Conflict => {
                    drop(waiter);
                    return self.wait_for_duplicate(cx, demand).await;
                }
                Err(_) => waiter.back_off().await,
            }
        }
    }

    fn enqueue(&self, cx: &Router) -> Result<Waiter> {
        let team = &self.head.team;
        let share = cx.config.current().teams.get(team).map(|team| team.share);
        let wait = match self.head.class {
            Class::Interactive => cx.settings.limits.queue_timeout,
            Class::Draft => cx.settings.limits.queue_timeout * DRAFT_QUEUE_FACTOR,
        };
        let entry = QueueEntry {
            team,
            share: share.unwrap_or(1),
            class: self.head.class,
            deadline: cx.clock.now() + wait,
        };
        let queues = &cx.admission.queues;
        queues.enqueue(&self.head.pool, entry, cx.clock)
    }

    /// Returns the engines that the request may use, in order of preference.
    fn candidates(&self, cx: &Router) -> Result<Vec<Arc<Engine>>> {
        let ChatHead {
            pool,
            team,
            chat,
            hint,
            ..
        } = &self.head;
        let ranked = cx.candidates(pool, team, chat, hint, &self.stage.failed_engines);
        if ranked.is_empty() {
            return Err(Error::not_run(Category::Unavailable, "no engine is live"));
        }
        Ok(ranked)
    }

    /// Acquires a slot on the first of `engines` below the mean load, or else on the first one
    /// below its load bound.
    async fn try_engines(
        &mut self,
        cx: &Arc<Router>,
        demand: &SlotDemandGuard,
        engines: &[Arc<Engine>],
    ) -> Result<Slot> {
        let demand = Some(demand);
        match self.try_acquire(cx, demand, engines, LoadLimit::Mean).await {
            Ok(slot) => Ok(slot),
            Err(err) if is_due_to_request(&err) => Err(err),
            Err(_) => {
                self.try_acquire(cx, demand, engines, LoadLimit::Bound)
                    .await
            }
        }
    }

    /// Acquires a slot on the first of `engines` whose load is below `limit` and whose steward
    /// grants a slot for the request.
    async fn try_acquire(
        &mut self,
        cx: &Arc<Router>,
        demand: Option<&SlotDemandGuard>,
        engines: &[Arc<Engine>],
        limit: LoadLimit,
    ) -> Result<Slot> {
        let mut last_error =
            Error::not_run(Category::Overloaded, "every engine is at its load bound");
        for (index, engine) in engines.iter().enumerate() {
            if index > 0 {
                self.begin_canary_if_unknown(cx).await?;
            }
            let waiting = match demand {
                Some(demand) => demand.others(),
                None => cx.admission.slot_demand.count(&self.head.pool),
            };
            match Slot::acquire(cx, engine, limit, waiting, self.crash_risk(cx)).await {
                Ok(slot) => return self.confirm_canary(slot).await,
                Err(err) if is_due_to_request(&err) => return Err(err),
                Err(err) => last_error = err,
            }
        }
        Err(last_error)
    }

    /// Begins a canary run for a request of unknown crash risk before it goes to another
    /// engine than its first.
    ///
    /// At the first engine, duplicates of the request meet and its steward keeps them apart;
    /// at other engines only the canary run does.
    async fn begin_canary_if_unknown(&mut self, cx: &Arc<Router>) -> Result<()> {
        if self.stage.canary.is_none() && matches!(self.crash_risk(cx), CrashRisk::Unknown(_)) {
            self.stage.duplicate_seen = true;
            self.begin_canary(cx).await?;
        }
        Ok(())
    }

    /// Asks once more whether the canary run may go on, as engines may have crashed while the
    /// request waited for its slot.
    async fn confirm_canary(&self, slot: Slot) -> Result<Slot> {
        if let Some(canary) = &self.stage.canary {
            canary.wait().await?;
        }
        Ok(slot)
    }

    fn into_placed(self, slot: Slot) -> ChatRequest<Placed> {
        let stage = Placed {
            admitted: self.stage,
            slot,
        };
        ChatRequest {
            head: self.head,
            stage,
        }
    }
}

/// Returns whether an error is due to the request or its duplicates, so that trying other
/// engines is of no use.
fn is_due_to_request(err: &Error) -> bool {
    matches!(err.classify(), Category::Conflict | Category::Quarantined)
}

/// Returns the engines that a waiting request asks in `round`: those with newly freed slots
/// and up to [`ENGINES_PER_ROUND`] others, which change from round to round.
fn engines_to_ask(ranked: &[Arc<Engine>], freed: &[EngineName], round: usize) -> Vec<Arc<Engine>> {
    let is_freed = |engine: &&Arc<Engine>| freed.contains(&engine.name);
    let others = ranked.iter().filter(|engine| !is_freed(engine));
    let others = others.cycle().skip(round * ENGINES_PER_ROUND);
    let count = ENGINES_PER_ROUND.min(ranked.len());
    let first = ranked.iter().filter(is_freed);
    first.chain(others.take(count)).cloned().collect()
}
