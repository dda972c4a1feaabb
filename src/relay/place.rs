//! Finds an engine for a request.

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

/// How many times longer a draft waits for an engine than an interactive request.
const DRAFT_QUEUE_FACTOR: u32 = 4;

/// Longest wait for an engine that caches the chat, when another would have to start cold.
const WARM_WAIT: Duration = Duration::from_millis(1_500);

/// Time until the second try for an engine that caches the chat; it doubles with each try.
const MIN_WARM_RETRY: Duration = Duration::from_millis(10);

/// Longest time between two tries for an engine that caches the chat.
const MAX_WARM_RETRY: Duration = Duration::from_millis(40);

/// Time between two tries of a request that waits for a copy of it.
const COPY_RETRY: Duration = Duration::from_millis(100);

/// Engines without a freed slot that a waiting request asks in one round.
const ENGINES_PER_ROUND: usize = 4;

impl ChatRequest<Admitted> {
    /// Takes a slot on an engine below its bound, and waits for one if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when no slot is free in time and
    /// [`Category::Unavailable`] when no engine is live.
    pub async fn place(mut self, cx: &Arc<Router>) -> Result<ChatRequest<Placed>> {
        if self.needs_trial(cx) {
            self.begin_trial(cx).await?;
        }
        if !cx.admission.queues.is_waiting(&self.head.pool) {
            if let Some(slot) = self.wait_for_warm(cx).await? {
                return Ok(self.at_slot(slot));
            }
        }
        // What waits for one engine is no load that the others could have.
        let seeker = cx.admission.slot_demand.track(&self.head.pool);
        if !cx.admission.queues.is_waiting(&self.head.pool) {
            match self.try_engines(cx, &seeker, &self.candidates(cx)?).await {
                Ok(slot) => return Ok(self.at_slot(slot)),
                Err(err) if err.classify() == Category::Conflict => {
                    return self.wait_for_copy(cx, &seeker).await;
                }
                Err(err) if err.classify() == Category::Quarantined => return Err(err),
                Err(err) => log::debug!("request={} waits error=\"{err}\"", self.head.id),
            }
        }
        self.wait_for_slot(cx, &seeker).await
    }

    /// Returns whether the request was sent before, or an engine died with it.
    fn needs_trial(&self, cx: &Router) -> bool {
        let trust = self.trust(cx);
        let again = self.head.attempt > 1 || !self.stage.failed_engines.is_empty();
        let again = again || !self.stage.duplicate_guard.is_first();
        matches!(trust, CrashRisk::High(_)) || again && matches!(trust, CrashRisk::Unknown(_))
    }

    async fn begin_trial(&mut self, cx: &Arc<Router>) -> Result<()> {
        match &self.stage.canary {
            Some(trial) => trial.wait().await?,
            None => self.stage.canary = Some(CanaryPermit::begin(cx, &self.head).await?),
        }
        Ok(())
    }

    /// Returns how far the request is trusted by the steward.
    ///
    /// The only copy on trial waits for others only if it has met one: an earlier attempt
    /// may be left on an engine by a router that died.
    fn trust(&self, cx: &Router) -> CrashRisk {
        let trust = cx
            .quarantine
            .crash_risk(self.head.fingerprint, cx.clock.now());
        match trust {
            CrashRisk::Unknown(_) if self.stage.canary.is_some() && !self.stage.duplicate_seen => {
                CrashRisk::Low
            }
            trust => trust,
        }
    }

    /// Waits until no copy of the request is on the engine where it belongs.
    async fn wait_for_copy(
        mut self,
        cx: &Arc<Router>,
        seeker: &SlotDemandGuard,
    ) -> Result<ChatRequest<Placed>> {
        self.stage.duplicate_seen = true;
        self.begin_trial(cx).await?;
        let deadline = cx.clock.now() + cx.settings.limits.queue_timeout;
        loop {
            match self.try_engines(cx, seeker, &self.candidates(cx)?).await {
                Ok(slot) => return Ok(self.at_slot(slot)),
                Err(err) if err.classify() == Category::Quarantined => return Err(err),
                Err(_) if cx.clock.now() < deadline => tokio::time::sleep(COPY_RETRY).await,
                Err(_) => return Err(duplicate_in_flight_error(cx)),
            }
        }
    }

    /// Waits a little for an engine that caches the chat, while it is at its bound.
    async fn wait_for_warm(&mut self, cx: &Arc<Router>) -> Result<Option<Slot>> {
        let deadline = cx.clock.now() + WARM_WAIT;
        let mut pause = MIN_WARM_RETRY;
        loop {
            let ChatHead {
                pool, team, hint, ..
            } = &self.head;
            let warm = cx.hinted_engines(pool, team, hint, &self.stage.failed_engines);
            if warm.is_empty() {
                return Ok(None);
            }
            match self.try_below(cx, None, &warm, LoadLimit::Bound).await {
                Ok(slot) => return Ok(Some(slot)),
                Err(err) if err.classify() == Category::Quarantined => return Err(err),
                Err(err) if err.classify() != Category::Overloaded => return Ok(None),
                Err(_) if cx.clock.now() >= deadline => return Ok(None),
                Err(_) => tokio::time::sleep(pause).await,
            }
            pause = (pause * 2).min(MAX_WARM_RETRY);
        }
    }

    async fn wait_for_slot(
        mut self,
        cx: &Arc<Router>,
        seeker: &SlotDemandGuard,
    ) -> Result<ChatRequest<Placed>> {
        // Those that wait ask varying engines.
        self.leave_first_engine(cx).await?;
        let waiter = self.enqueue(cx)?;
        let mut round = 0;
        loop {
            let freed = waiter.wait_for_turn().await?;
            let engines = some_of(&self.candidates(cx)?, &freed, round);
            round += 1;
            match self.try_engines(cx, seeker, &engines).await {
                Ok(slot) => {
                    waiter.leave_with_slot();
                    return Ok(self.at_slot(slot));
                }
                Err(err) if err.classify() == Category::Quarantined => return Err(err),
                Err(err) if err.classify() == Category::Conflict => {
                    drop(waiter);
                    return self.wait_for_copy(cx, seeker).await;
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
        let applicant = QueueEntry {
            team,
            share: share.unwrap_or(1),
            class: self.head.class,
            deadline: cx.clock.now() + wait,
        };
        let lines = &cx.admission.queues;
        lines.enqueue(&self.head.pool, applicant, cx.clock)
    }

    /// Returns the engines that the request may use, the best first.
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

    /// Takes a slot on the first of `engines` below the mean, else on the first below its bound.
    async fn try_engines(
        &mut self,
        cx: &Arc<Router>,
        seeker: &SlotDemandGuard,
        engines: &[Arc<Engine>],
    ) -> Result<Slot> {
        let seeker = Some(seeker);
        match self.try_below(cx, seeker, engines, LoadLimit::Mean).await {
            Ok(slot) => Ok(slot),
            Err(err) if is_of_copies(&err) => Err(err),
            Err(_) => self.try_below(cx, seeker, engines, LoadLimit::Bound).await,
        }
    }

    /// Takes a slot on the first of `engines` that has one and that the request may use.
    async fn try_below(
        &mut self,
        cx: &Arc<Router>,
        seeker: Option<&SlotDemandGuard>,
        engines: &[Arc<Engine>],
        limit: LoadLimit,
    ) -> Result<Slot> {
        let mut refusal = Error::not_run(Category::Overloaded, "each engine is at its bound");
        for (index, engine) in engines.iter().enumerate() {
            if index > 0 {
                self.leave_first_engine(cx).await?;
            }
            let waiting = match seeker {
                Some(seeker) => seeker.others(),
                None => cx.admission.slot_demand.count(&self.head.pool),
            };
            match Slot::acquire(cx, engine, limit, waiting, self.trust(cx)).await {
                Ok(slot) => return self.confirm(slot).await,
                Err(err) if is_of_copies(&err) => return Err(err),
                Err(err) => refusal = err,
            }
        }
        Err(refusal)
    }

    /// Lets an unproven request beyond its first engine, where its copies meet, only as
    /// the copy on trial.
    async fn leave_first_engine(&mut self, cx: &Arc<Router>) -> Result<()> {
        if self.stage.canary.is_none() && matches!(self.trust(cx), CrashRisk::Unknown(_)) {
            self.stage.duplicate_seen = true;
            self.begin_trial(cx).await?;
        }
        Ok(())
    }

    /// Asks once more whether the copy on trial may run, as engines may have died while it
    /// waited for its slot.
    async fn confirm(&self, slot: Slot) -> Result<Slot> {
        if let Some(trial) = &self.stage.canary {
            trial.wait().await?;
        }
        Ok(slot)
    }

    fn at_slot(self, slot: Slot) -> ChatRequest<Placed> {
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

/// Returns whether other engines make no difference, as copies of the request decide.
fn is_of_copies(err: &Error) -> bool {
    matches!(err.classify(), Category::Conflict | Category::Quarantined)
}

/// Returns the engines that a waiting request asks: those with freed slots and a few
/// others, which change from round to round.
fn some_of(ranked: &[Arc<Engine>], freed: &[EngineName], round: usize) -> Vec<Arc<Engine>> {
    let is_freed = |engine: &&Arc<Engine>| freed.contains(&engine.name);
    let others = ranked.iter().filter(|engine| !is_freed(engine));
    let others = others.cycle().skip(round * ENGINES_PER_ROUND);
    let count = ENGINES_PER_ROUND.min(ranked.len());
    let first = ranked.iter().filter(is_freed);
    first.chain(others.take(count)).cloned().collect()
}
