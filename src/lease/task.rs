//! The task that contends for the lease of one group and keeps it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use super::{
    Candidate, Held, Lapsed, Lease, LeaseHolder, LeaseRecord, LeaseState, LeaseTiming, GROUPS,
};
use crate::{
    infra::{Entry, Page},
    placement, Category, Instant, Offset, Result, Router,
};

/// Number of routers that follow the stream of one group.
const CANDIDATES: usize = 3;

/// Longest time the log may hold back an empty answer.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read or append.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time between two looks at whether this router has become a candidate.
const RANK_PAUSE: Duration = Duration::from_secs(2);

/// Longest random delay of a bid.
const MAX_JITTER_MS: u64 = 500;

/// The right to order, as the tasks that order see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Fencing number for each order.
    pub fence: Offset,
    /// When this router learnt that it holds the lease.
    pub acquired_at: Instant,
    /// When the right ends; it is looked at right before each order.
    pub expires_at: Instant,
}

impl LeaseTerm {
    /// Returns whether an order may go out at `now`.
    pub fn permits(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}

/// The tenures of this router by group.
#[derive(Debug)]
pub struct Leases {
    tenures: [watch::Sender<Option<LeaseTerm>>; GROUPS],
}

impl Leases {
    /// Creates leases of which none is held.
    pub fn new() -> Self {
        Leases {
            tenures: std::array::from_fn(|_| watch::Sender::new(None)),
        }
    }

    /// Returns the tenure in `group`, if any.
    pub fn term(&self, group: usize) -> Option<LeaseTerm> {
        *self.tenures[group].borrow()
    }

    /// Returns the fencing numbers of the leases held, by group.
    pub fn fences(&self) -> BTreeMap<usize, Offset> {
        let fence = |group| Some((group, self.term(group)?.fence));
        (0..GROUPS).filter_map(fence).collect()
    }

    /// Returns a view of the tenure in `group` that can be waited on.
    pub fn subscribe(&self, group: usize) -> watch::Receiver<Option<LeaseTerm>> {
        self.tenures[group].subscribe()
    }

    fn publish(&self, group: usize, tenure: Option<LeaseTerm>) {
        self.tenures[group].send_if_modified(|old| {
            let changed = *old != tenure;
            *old = tenure;
            changed
        });
    }
}

impl Default for Leases {
    fn default() -> Self {
        Leases::new()
    }
}

fn stream(group: usize) -> String {
    format!("lease-{group}")
}

/// Contends for the lease of `group` until `stop` turns true, then releases it.
pub async fn contend(cx: Arc<Router>, group: usize, mut stop: watch::Receiver<bool>) {
    let me = LeaseHolder {
        name: cx.settings.name.clone(),
        incarnation: cx.incarnation,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(cx.incarnation.0 ^ group as u64);
    let mut lease = Lease::new(me, LeaseTiming::default());
    loop {
        let jitter = Duration::from_millis(rng.random_range(0..MAX_JITTER_MS));
        let held = tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            held = win(&cx, group, lease, jitter) => held,
        };
        let lapsed = hold(&cx, group, held, &mut stop).await;
        cx.leases.publish(group, None);
        if *stop.borrow() {
            return;
        }
        lease = lapsed.into_candidate();
    }
}

/// Waits until the lease lapses and bids until it is held.
async fn win(
    cx: &Router,
    group: usize,
    mut lease: Lease<Candidate>,
    jitter: Duration,
) -> Lease<Held> {
    let mut at_head = false;
    loop {
        let rank = candidate_rank(cx, group).await;
        let bid_at = lease.bid_at(rank, jitter);
        let now = cx.clock.now();
        if at_head && now >= bid_at {
            if let Some(record) = lease.bid(now) {
                append(cx, group, &record).await;
            }
        }
        let wait = if at_head {
            bid_at.since(now)
        } else {
            Duration::ZERO
        };
        let Some(page) = read(cx, group, lease.stream().applied(), wait).await else {
            at_head = false;
            continue;
        };
        let now = cx.clock.now();
        lease.skip_truncated(page.first, now);
        let head = page.head;
        lease = match lease.observe(&decode(page.records), now) {
            LeaseState::Held(held) => return held,
            LeaseState::Candidate(lease) => lease,
            LeaseState::Lapsed(lapsed) => lapsed.into_candidate(),
        };
        at_head = lease.stream().applied() >= head;
    }
}

/// Waits until this router is one of the candidates and returns its rank from 0.
async fn candidate_rank(cx: &Router, group: usize) -> usize {
    loop {
        if cx.membership.is_serving() {
            let rank = rank(cx, group);
            if rank < CANDIDATES {
                return rank;
            }
        }
        tokio::time::sleep(RANK_PAUSE).await;
    }
}

fn rank(cx: &Router, group: usize) -> usize {
    let view = cx.membership.view();
    let stream = stream(group);
    let own = placement::rendezvous_score(&stream, cx.settings.name.as_str());
    let score = |name: &crate::RouterName| placement::rendezvous_score(&stream, name.as_str());
    view.active_routers()
        .filter(|name| score(name) > own)
        .count()
}

/// Keeps the lease until it lapses, is lost, or `stop` turns true.
async fn hold(
    cx: &Router,
    group: usize,
    mut lease: Lease<Held>,
    stop: &mut watch::Receiver<bool>,
) -> Lease<Lapsed> {
    let acquired_at = cx.clock.now();
    log::info!("lease held group={group} fence={}", lease.fence());
    loop {
        let tenure = LeaseTerm {
            fence: lease.fence(),
            acquired_at,
            expires_at: lease.expires_at(),
        };
        cx.leases.publish(group, Some(tenure));
        let held = tokio::select! {
            _ = stop.wait_for(|stop| *stop) => None,
            page = keep(cx, group, &mut lease) => Some(page),
        };
        let Some(page) = held else {
            return release(cx, group, lease).await;
        };
        let now = cx.clock.now();
        let phase = match page {
            Some(page) => {
                lease.skip_truncated(page.first, now);
                lease.observe(&decode(page.records), now)
            }
            None => lease.expire(now),
        };
        lease = match phase {
            LeaseState::Held(lease) => lease,
            LeaseState::Lapsed(lapsed) => {
                log::warn!("lease lapsed group={group}");
                return lapsed;
            }
            LeaseState::Candidate(_) => unreachable!("a held lease stays held or lapses"),
        };
    }
}

/// Renews the lease when that is due and reads on until the next renewal.
async fn keep(cx: &Router, group: usize, lease: &mut Lease<Held>) -> Option<Page> {
    let now = cx.clock.now();
    if now >= lease.renew_at() {
        let record = lease.renew(now);
        append(cx, group, &record).await;
    }
    let next = lease.renew_at().min(lease.expires_at());
    let wait = next.since(cx.clock.now());
    read(cx, group, lease.stream().applied(), wait).await
}

async fn release(cx: &Router, group: usize, lease: Lease<Held>) -> Lease<Lapsed> {
    cx.leases.publish(group, None);
    let (record, lapsed) = lease.release();
    append(cx, group, &record).await;
    log::info!("lease released group={group}");
    lapsed
}

/// Appends a record; whether it counts shows when the stream is read.
async fn append(cx: &Router, group: usize, record: &LeaseRecord) {
    let Ok(entry) = serde_json::to_value(record) else {
        return;
    };
    if let Err(err) = cx.infra.log.append(&stream(group), &[entry]).await {
        log::warn!("lease record not confirmed group={group} error=\"{err}\"");
    }
}

async fn read(cx: &Router, group: usize, from: Offset, wait: Duration) -> Option<Page> {
    match read_page(cx, group, from, wait.min(POLL_WAIT)).await {
        Ok(page) => Some(page),
        Err(err) => {
            log::warn!("lease stream unreadable group={group} error=\"{err}\"");
            tokio::time::sleep(RETRY_PAUSE).await;
            None
        }
    }
}

async fn read_page(cx: &Router, group: usize, from: Offset, wait: Duration) -> Result<Page> {
    let stream = stream(group);
    match cx.infra.log.read(&stream, from, wait).await {
        Err(err) if err.classify() == Category::KeyExpired => {
            let head = Offset(u64::MAX);
            cx.infra.log.read(&stream, head, Duration::ZERO).await
        }
        page => page,
    }
}

fn decode(entries: Vec<Entry>) -> Vec<(Offset, Option<LeaseRecord>)> {
    let record = |entry: Entry| (entry.offset, serde_json::from_value(entry.data).ok());
    entries.into_iter().map(record).collect()
}
