//! The task that contends for the lease of one group and renews it.

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

/// Number of routers that read the lease stream of one group and may bid.
const CANDIDATES_PER_GROUP: usize = 3;

/// Longest time for which a long poll of the log waits for records.
const MAX_POLL_WAIT: Duration = Duration::from_secs(10);

/// Delay after a failed read of the lease stream.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time between two checks whether this router has become a candidate.
const RANK_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Upper bound of the random delay of a bid, in milliseconds.
const MAX_JITTER_MS: u64 = 500;

/// A lease term that this router holds, which permits it to send orders to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Fencing number that each order of the term carries.
    pub fence: Offset,
    /// Time at which this router read that it holds the lease.
    pub acquired_at: Instant,
    /// End of the term, which is checked right before each order.
    pub expires_at: Instant,
}

impl LeaseTerm {
    /// Returns whether an order may be sent at `now`.
    pub fn permits(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}

/// The lease terms that this router holds, by group.
#[derive(Debug)]
pub struct Leases {
    terms: [watch::Sender<Option<LeaseTerm>>; GROUPS],
}

impl Leases {
    /// Creates an empty set: this router holds no lease.
    pub fn new() -> Self {
        Leases {
            terms: std::array::from_fn(|_| watch::Sender::new(None)),
        }
    }

    /// Returns the lease term that this router holds in `group`, if any.
    pub fn term(&self, group: usize) -> Option<LeaseTerm> {
        *self.terms[group].borrow()
    }

    /// Returns the fencing numbers of the leases that this router holds, by group.
    pub fn fences(&self) -> BTreeMap<usize, Offset> {
        let fence = |group| Some((group, self.term(group)?.fence));
        (0..GROUPS).filter_map(fence).collect()
    }

    /// Returns a watch channel of the lease term in `group`.
    pub fn subscribe(&self, group: usize) -> watch::Receiver<Option<LeaseTerm>> {
        self.terms[group].subscribe()
    }

    fn publish(&self, group: usize, term: Option<LeaseTerm>) {
        self.terms[group].send_if_modified(|old| {
            let changed = *old != term;
            *old = term;
            changed
        });
    }
}

impl Default for Leases {
    fn default() -> Self {
        Leases::new()
    }
}

fn stream_name(group: usize) -> String {
    format!("lease-{group}")
}

/// Contends for the lease of `group` until `stop` turns true, then releases it.
pub async fn run_lease(cx: Arc<Router>, group: usize, mut stop: watch::Receiver<bool>) {
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
            held = acquire(&cx, group, lease, jitter) => held,
        };
        let lapsed = hold(&cx, group, held, &mut stop).await;
        cx.leases.publish(group, None);
        if *stop.borrow() {
            return;
        }
        lease = lapsed.into_candidate();
    }
}

/// Bids each time the lease expires, until this router holds it.
async fn acquire(
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

/// Waits until this router is a candidate; returns its rank, counted from 0.
async fn candidate_rank(cx: &Router, group: usize) -> usize {
    loop {
        if cx.membership.is_serving() {
            let rank = rank(cx, group);
            if rank < CANDIDATES_PER_GROUP {
                return rank;
            }
        }
        tokio::time::sleep(RANK_CHECK_PERIOD).await;
    }
}

fn rank(cx: &Router, group: usize) -> usize {
    let view = cx.membership.view();
    let stream = stream_name(group);
    let own_score = placement::rendezvous_score(&stream, cx.settings.name.as_str());
    let score = |name: &crate::RouterName| placement::rendezvous_score(&stream, name.as_str());
    view.active_routers()
        .filter(|name| score(name) > own_score)
        .count()
}

/// Keeps the lease until it expires, another router takes it, or `stop` turns true.
async fn hold(
    cx: &Router,
    group: usize,
    mut lease: Lease<Held>,
    stop: &mut watch::Receiver<bool>,
) -> Lease<Lapsed> {
    let acquired_at = cx.clock.now();
    log::info!("lease acquired group={group} fence={}", lease.fence());
    loop {
        let term = LeaseTerm {
            fence: lease.fence(),
            acquired_at,
            expires_at: lease.expires_at(),
        };
        cx.leases.publish(group, Some(term));
        let result = tokio::select! {
            _ = stop.wait_for(|stop| *stop) => None,
            page = renew_and_read(cx, group, &mut lease) => Some(page),
        };
        let Some(page) = result else {
            return release(cx, group, lease).await;
        };
        let now = cx.clock.now();
        let state = match page {
            Some(page) => {
                lease.skip_truncated(page.first, now);
                lease.observe(&decode(page.records), now)
            }
            None => lease.expire(now),
        };
        lease = match state {
            LeaseState::Held(lease) => lease,
            LeaseState::Lapsed(lapsed) => {
                log::warn!("lease lapsed group={group}");
                return lapsed;
            }
            LeaseState::Candidate(_) => {
                unreachable!("a held lease cannot become a candidate without lapsing")
            }
        };
    }
}

/// Renews the lease if that is due, then reads the stream until the next renewal at the latest.
async fn renew_and_read(cx: &Router, group: usize, lease: &mut Lease<Held>) -> Option<Page> {
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

/// Appends a record; only reading the stream shows whether the record is valid.
async fn append(cx: &Router, group: usize, record: &LeaseRecord) {
    let Ok(entry) = serde_json::to_value(record) else {
        return;
    };
    if let Err(err) = cx.infra.log.append(&stream_name(group), &[entry]).await {
        log::warn!("append of a lease record not confirmed group={group} error=\"{err}\"");
    }
}

async fn read(cx: &Router, group: usize, from: Offset, wait: Duration) -> Option<Page> {
    match read_page(cx, group, from, wait.min(MAX_POLL_WAIT)).await {
        Ok(page) => Some(page),
        Err(err) => {
            log::warn!("reading the lease stream failed group={group} error=\"{err}\"");
            tokio::time::sleep(RETRY_DELAY).await;
            None
        }
    }
}

/// Reads records from offset `from` on.
///
/// If the log no longer keeps them, the page is empty and only gives the first offset kept.
async fn read_page(cx: &Router, group: usize, from: Offset, wait: Duration) -> Result<Page> {
    let stream = stream_name(group);
    match cx.infra.log.read(&stream, from, wait).await {
        Err(err) if err.classify() == Category::KeyExpired => {
            let past_end = Offset(u64::MAX);
            cx.infra.log.read(&stream, past_end, Duration::ZERO).await
        }
        page => page,
    }
}

fn decode(entries: Vec<Entry>) -> Vec<(Offset, Option<LeaseRecord>)> {
    let record = |entry: Entry| (entry.offset, serde_json::from_value(entry.data).ok());
    entries.into_iter().map(record).collect()
}
