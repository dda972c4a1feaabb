//! Requests that wait at this router until their pool has room.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::Notify;

use super::{attempts::Attempts, Forwarder, ProxyRequest, ResponseHead, Routed, RunOutcome, Wire};
use crate::{
    admission::{Crowding, Decision, RoomRequest, Ticket, WaitingRoom, MAX_WAIT},
    catalog::{LoadReport, Server},
    sync::lock,
    Category, Error, Instant, PoolName, Result, TeamName,
};

/// Multiple of the response time goal for which a request waits for room at most.
const WAIT_GOAL_FACTOR: f64 = 0.4;

/// Mean of the random delay after which a caller returns whose request got no room.
const RETURN_DELAY_MEAN: Duration = Duration::from_millis(400);

/// Shortest wait that is logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(100);

/// Name under which requests without a team share the room.
const NO_TEAM: &str = "-";

/// The waiting rooms of the pools of plain servers.
#[derive(Debug, Default)]
pub struct WaitingRooms {
    pools: Mutex<BTreeMap<PoolName, PoolRoom>>,
}

#[derive(Debug)]
struct PoolRoom {
    room: WaitingRoom,
    /// Notified when requests were admitted or displaced.
    changed: Arc<Notify>,
}

/// A request in a waiting room; dropping it removes the request.
struct Waiting<'a> {
    rooms: &'a WaitingRooms,
    pool: &'a PoolName,
    ticket: Ticket,
}

/// What a decision went by, for the log line.
#[derive(Debug, Clone, Copy)]
struct Inputs {
    rate: Option<f64>,
    waiting: usize,
    report_age: Duration,
}

impl WaitingRooms {
    /// Records what a response tells of the room at its server.
    ///
    /// Only servers that report their load limit what is sent to their pool.
    pub(super) fn record_response(&self, server: &Server, head: &ResponseHead, now: Instant) {
        let LoadReport::Load(load) = head.load else {
            return;
        };
        let is_full = head.outcome == RunOutcome::NotRun && load.waiting > 0;
        let crowding = match is_full {
            true => Crowding::REJECTING,
            false => Crowding::from_load(load),
        };
        if let Some(pool_room) = lock(&self.pools).get_mut(&server.pool) {
            pool_room.room.record_response(crowding, now);
        }
    }

    /// Returns the number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        let pools = lock(&self.pools);
        pools.values().map(|pool_room| pool_room.room.len()).sum()
    }

    /// Admits a request to `pool` if there is room and none waits.
    fn try_admit(&self, pool: &PoolName, now: Instant) -> bool {
        let mut pools = lock(&self.pools);
        if let Some(pool_room) = pools.get_mut(pool) {
            return pool_room.room.try_admit(now);
        }
        let mut room = WaitingRoom::new(now);
        let is_admitted = room.try_admit(now);
        let changed = Arc::default();
        pools.insert(pool.clone(), PoolRoom { room, changed });
        is_admitted
    }

    /// Adds a request to the queue of `pool`; `None` if it would not be served in time.
    fn enter<'a>(
        &'a self,
        pool: &'a PoolName,
        req: RoomRequest<'_>,
        now: Instant,
    ) -> Option<(Waiting<'a>, Arc<Notify>)> {
        let mut pools = lock(&self.pools);
        let pool_room = pools.get_mut(pool)?;
        let ticket = pool_room.room.enter(req, now)?;
        // One that it displaced learns of it.
        pool_room.changed.notify_waiters();
        let rooms = self;
        let waiting = Waiting {
            rooms,
            pool,
            ticket,
        };
        Some((waiting, pool_room.changed.clone()))
    }

    fn decide(&self, waiting: &Waiting<'_>, now: Instant) -> Option<Decision<()>> {
        let mut pools = lock(&self.pools);
        let pool_room = pools.get_mut(waiting.pool)?;
        let before = pool_room.room.len();
        let decision = pool_room.room.decide(waiting.ticket, now);
        if pool_room.room.len() != before {
            pool_room.changed.notify_waiters();
        }
        Some(decision)
    }

    /// Returns what decisions on `pool` go by, and the time until those that wait have had their turn.
    fn inputs(&self, pool: &PoolName, now: Instant) -> (Inputs, Duration) {
        let pools = lock(&self.pools);
        let room = pools.get(pool).map(|pool_room| &pool_room.room);
        let rate = room.map(WaitingRoom::rate);
        let inputs = Inputs {
            rate: rate.and_then(|rate| rate.limit(now)),
            waiting: room.map_or(0, WaitingRoom::len),
            report_age: rate.map_or(Duration::MAX, |rate| rate.age(now)),
        };
        let wait = room.map_or(Duration::ZERO, |room| room.expected_wait(now));
        (inputs, wait)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(pool_room) = lock(&self.rooms.pools).get_mut(self.pool) {
            pool_room.room.leave(self.ticket);
        }
    }
}

impl ProxyRequest<Routed> {
    /// Waits until the pool has room for the request; engines queue requests themselves.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when there will be no room in time.
    pub(super) async fn wait_for_room<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        attempts: &Attempts,
    ) -> Result<()> {
        let pool = &self.state.pool;
        let asked = cx.clock.now();
        if self.state.settings.has_engines || cx.waiting_rooms.try_admit(pool, asked) {
            return Ok(());
        }
        let admitted = self.wait_for_turn(cx, asked).await;
        let now = cx.clock.now();
        let waited = now.since(asked);
        cx.metrics.observe_room_wait(waited, admitted);
        if admitted && waited < MIN_LOGGED_WAIT {
            return Ok(());
        }
        let (inputs, expected_wait) = cx.waiting_rooms.inputs(pool, now);
        log::info!(
            "request {} id={} pool={pool} urgency={} waited_ms={} rate_per_s={:?} waiting={} \
             report_age_ms={}",
            if admitted {
                "waited for room"
            } else {
                "refused for want of room"
            },
            self.id(),
            self.state.rank.urgency,
            waited.as_millis(),
            inputs.rate,
            inputs.waiting,
            inputs.report_age.as_millis()
        );
        if admitted {
            return Ok(());
        }
        let err = Error::not_run(Category::Overloaded, "the pool has no room in time");
        Err(err
            .with_retry_after(expected_wait + cx.jittered_delay(RETURN_DELAY_MEAN))
            .with_verdict_at_least(attempts.verdict))
    }

    /// Waits in the queue of the pool; returns whether the request got room.
    async fn wait_for_turn<W: Wire>(&self, cx: &Forwarder<W>, asked: Instant) -> bool {
        let goal = self.state.response_time_goal.mul_f64(WAIT_GOAL_FACTOR);
        let longest = asked + goal.min(MAX_WAIT);
        let rank = &self.state.rank;
        let latest = rank.deadline.map_or(longest, |at| at.min(longest));
        let no_team = TeamName::new(NO_TEAM).expect("a name");
        let req = RoomRequest {
            urgency: rank.urgency,
            team: rank.team.as_ref().unwrap_or(&no_team),
            latest,
        };
        let Some((waiting, changed)) = cx.waiting_rooms.enter(&self.state.pool, req, asked) else {
            return false;
        };
        loop {
            let notified = changed.notified();
            let now = cx.clock.now();
            match cx.waiting_rooms.decide(&waiting, now) {
                Some(Decision::Admit(())) => return true,
                Some(Decision::Wait { until }) => {
                    let wait = until.min(latest).since(now);
                    // The next decision is due either way.
                    drop(tokio::time::timeout(wait, notified).await);
                }
                Some(Decision::Reject { .. }) | None => return false,
            }
        }
    }
}
