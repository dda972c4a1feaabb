//! Life cycle of a request.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;

use super::{AnswerStream, ChatAnswer, Opening, Sent};
use crate::{
    admission::{Applicant, Class, Fingerprint, Permit, Waiter},
    membership::Engine,
    placement::Hint,
    steward::{Limit, Slot},
    Category, ChatId, EngineName, Error, PoolName, RequestId, Result, Router, TeamName,
};

/// Header that carries the request id to and from a backend server.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// How many times longer a draft waits for an engine than an interactive request.
const DRAFT_PATIENCE: u32 = 4;

/// Longest wait for an engine that caches the chat, when another would have to start cold.
const WARM_WAIT: Duration = Duration::from_millis(1_500);

/// Time between two tries for an engine that caches the chat.
const WARM_RETRY: Duration = Duration::from_millis(100);

/// Engines without a freed slot that a waiting request asks in one round.
const ENGINES_PER_ROUND: usize = 4;

/// What is known of a request from its headers.
#[derive(Debug, Clone)]
pub struct Head {
    /// Identity of the request, the same for each attempt.
    pub id: RequestId,
    /// Team that sends it.
    pub team: TeamName,
    /// Pool that serves it.
    pub pool: PoolName,
    /// Chat it belongs to.
    pub chat: ChatId,
    /// Engines that served the chat last.
    pub hint: Hint,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// How soon the answer is needed.
    pub class: Class,
    /// Tells requests that crash engines from others.
    pub fingerprint: Fingerprint,
}

/// The request has been read.
#[derive(Debug)]
pub struct Received;

/// The request is let in.
pub struct Admitted {
    permit: Permit,
    failed: BTreeSet<EngineName>,
}

/// The request holds a slot on an engine.
pub struct Placed {
    admitted: Admitted,
    slot: Slot,
}

/// The request has been sent and its answer has begun.
pub struct Dispatched {
    placed: Placed,
    sent: Sent,
    opening: Opening,
}

/// A request at stage `S`.
pub struct Request<S> {
    head: Head,
    stage: S,
}

/// A dispatch that failed, with the request as it was before it was placed.
pub struct Failed {
    /// The request, which will not be placed on the same engine again.
    pub req: Request<Admitted>,
    /// Why it failed.
    pub err: Error,
}

impl<S> Request<S> {
    /// Returns what is known from the headers.
    pub fn head(&self) -> &Head {
        &self.head
    }
}

impl Request<Received> {
    /// Creates a request that has been read.
    pub fn new(head: Head) -> Self {
        let stage = Received;
        Request { head, stage }
    }

    /// Lets the request in.
    ///
    /// # Errors
    ///
    /// Fails as [`crate::admission::Admission::admit`] does.
    pub fn admit(self, cx: &Router) -> Result<Request<Admitted>> {
        let permit = cx.admission.admit(&self.head.team, self.head.attempt)?;
        let stage = Admitted {
            permit,
            failed: BTreeSet::new(),
        };
        Ok(Request {
            head: self.head,
            stage,
        })
    }
}

impl Request<Admitted> {
    /// Takes a slot on an engine below its bound, and waits for one if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when no slot is free in time and
    /// [`Category::Unavailable`] when no engine is live.
    pub async fn place(self, cx: &Arc<Router>) -> Result<Request<Placed>> {
        let _seeker = cx.admission.seekers.enter(&self.head.pool);
        if !cx.admission.lines.is_waiting(&self.head.pool) {
            if let Some(slot) = self.wait_for_warm(cx).await? {
                return Ok(self.at_slot(slot));
            }
            match self.try_engines(cx, &self.candidates(cx)?).await {
                Ok(slot) => return Ok(self.at_slot(slot)),
                Err(err) => log::debug!("request={} waits error=\"{err}\"", self.head.id),
            }
        }
        self.wait_for_slot(cx).await
    }

    /// Waits a little for an engine that caches the chat, while it is at its bound.
    async fn wait_for_warm(&self, cx: &Arc<Router>) -> Result<Option<Slot>> {
        let deadline = cx.clock.now() + WARM_WAIT;
        loop {
            let mut warm = self.candidates(cx)?;
            warm.retain(|engine| self.head.hint.position(engine).is_some());
            if warm.is_empty() {
                return Ok(None);
            }
            match self.try_below(cx, &warm, Limit::Bound).await {
                Ok(slot) => return Ok(Some(slot)),
                Err(err) if err.classify() != Category::Overloaded => return Ok(None),
                Err(_) if cx.clock.now() >= deadline => return Ok(None),
                Err(_) => tokio::time::sleep(WARM_RETRY).await,
            }
        }
    }

    async fn wait_for_slot(self, cx: &Arc<Router>) -> Result<Request<Placed>> {
        let waiter = self.enqueue(cx)?;
        let mut round = 0;
        loop {
            let freed = waiter.turn().await?;
            let engines = some_of(&self.candidates(cx)?, &freed, round);
            round += 1;
            match self.try_engines(cx, &engines).await {
                Ok(slot) => {
                    waiter.placed();
                    return Ok(self.at_slot(slot));
                }
                Err(_) => waiter.pause().await,
            }
        }
    }

    fn enqueue(&self, cx: &Router) -> Result<Waiter> {
        let team = &self.head.team;
        let share = cx.config.current().teams.get(team).map(|team| team.share);
        let patience = match self.head.class {
            Class::Interactive => cx.settings.limits.queue,
            Class::Draft => cx.settings.limits.queue * DRAFT_PATIENCE,
        };
        let applicant = Applicant {
            team,
            share: share.unwrap_or(1),
            class: self.head.class,
            deadline: cx.clock.now() + patience,
        };
        let lines = &cx.admission.lines;
        lines.enqueue(&self.head.pool, applicant, cx.clock)
    }

    /// Returns the engines that the request may use, the best first.
    fn candidates(&self, cx: &Router) -> Result<Vec<Arc<Engine>>> {
        let engines = cx.open_engines(&self.head.pool, &self.stage.failed);
        let ranked = cx.candidates(&self.head.chat, &self.head.hint, &engines);
        if ranked.is_empty() {
            return Err(Error::not_run(Category::Unavailable, "no engine is live"));
        }
        Ok(ranked)
    }

    /// Takes a slot on the first of `engines` below the mean, else on the first below its bound.
    async fn try_engines(&self, cx: &Arc<Router>, engines: &[Arc<Engine>]) -> Result<Slot> {
        match self.try_below(cx, engines, Limit::Mean).await {
            Ok(slot) => Ok(slot),
            Err(_) => self.try_below(cx, engines, Limit::Bound).await,
        }
    }

    /// Takes a slot on the first of `engines` that has one and that the request may use.
    async fn try_below(
        &self,
        cx: &Arc<Router>,
        engines: &[Arc<Engine>],
        limit: Limit,
    ) -> Result<Slot> {
        let mut refusal = Error::not_run(Category::Overloaded, "each engine is at its bound");
        for engine in engines {
            let trust = cx.quarantine.trust(self.head.fingerprint, cx.clock.now());
            match Slot::acquire(cx, engine, limit, trust).await {
                Ok(slot) => return Ok(slot),
                Err(err) => refusal = err,
            }
        }
        Err(refusal)
    }

    fn at_slot(self, slot: Slot) -> Request<Placed> {
        let stage = Placed {
            admitted: self.stage,
            slot,
        };
        Request {
            head: self.head,
            stage,
        }
    }
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

impl Request<Placed> {
    /// Sends the request to its engine and waits for the answer to begin.
    ///
    /// # Errors
    ///
    /// Gives the request back together with the error, so that the caller of this
    /// function can decide whether to place it again.
    pub async fn dispatch(
        self,
        cx: &Router,
        body: Bytes,
    ) -> std::result::Result<Request<Dispatched>, Box<Failed>> {
        let engine = self.stage.slot.engine().clone();
        let sent = Sent::new(self.head.clone(), body, engine);
        // After a failure, a connection that was idle is not trusted.
        let fresh = !self.stage.admitted.failed.is_empty();
        match self.open(cx, &sent, fresh).await {
            Ok(opening) => Ok(self.at_opening(sent, opening)),
            Err(err) => {
                sent.note_failure(cx, &err).await;
                let engine = self.stage.slot.engine();
                let refusing = &cx.membership.refusing;
                refusing.note_failure(engine, &err, cx.clock.now());
                Err(self.fail(err))
            }
        }
    }

    async fn open(&self, cx: &Router, sent: &Sent, fresh: bool) -> Result<Opening> {
        let answer = sent.send(cx, fresh).await?;
        Opening::read(answer, &self.head.id, cx.backends.progress()).await
    }

    fn fail(self, err: Error) -> Box<Failed> {
        let mut stage = self.stage.admitted;
        stage.failed.insert(self.stage.slot.engine().name.clone());
        let req = Request {
            head: self.head,
            stage,
        };
        Box::new(Failed { req, err })
    }

    fn at_opening(self, sent: Sent, opening: Opening) -> Request<Dispatched> {
        let stage = Dispatched {
            placed: self.stage,
            sent,
            opening,
        };
        Request {
            head: self.head,
            stage,
        }
    }
}

impl Request<Dispatched> {
    /// Returns the engine that answers.
    pub fn engine(&self) -> &Arc<Engine> {
        self.stage.placed.slot.engine()
    }

    /// Returns the hint for the chat's next request.
    pub fn next_hint(&self) -> Hint {
        self.head.hint.with_served_by(self.engine())
    }

    /// Turns the request into its answer, which holds the slot and the permit.
    pub fn into_answer(self, cx: &Arc<Router>) -> ChatAnswer {
        let hint = self.next_hint();
        let holding = Holding {
            _permit: self.stage.placed.admitted.permit,
            _slot: self.stage.placed.slot,
        };
        match self.stage.opening {
            Opening::Whole(body) => {
                cx.quarantine.clear(self.head.fingerprint);
                ChatAnswer::Whole { body, hint }
            }
            Opening::Stream(begun) => {
                let stream = AnswerStream::new(cx, self.stage.sent, *begun, holding);
                let stream = Box::new(stream);
                ChatAnswer::Stream { stream, hint }
            }
        }
    }
}

/// The slot and the permit of an answer under way.
pub(super) struct Holding {
    _permit: Permit,
    _slot: Slot,
}
