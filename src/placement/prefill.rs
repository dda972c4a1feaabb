//! Prefills in progress (prompts that engines are processing for the first time), shared
//! between routers.
//!
//! Load pattern: many sessions return at once to engines that hold none of their prompts,
//! after a start of the fleet or the loss of an engine, and several requests of one session
//! arrive during its prefill. An engine does not share a prefill with other requests until
//! the first event of its stream, so that a request sent during the prefill repeats all of
//! it; such a request waits instead. Sessions without an engine go to engines with fewer
//! tokens to prefill.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::sync::{futures::Notified, Notify};

use super::SessionPlacement;
use crate::{catalog::ServerKey, presence::PendingUpdates, sync::lock, Instant};

/// Time after its start at which a prefill no longer counts as in progress, as the datagrams
/// that announce its end may be lost.
///
/// The longest prompts, 40,000 tokens at 80 tokens/ms, take half a second on an idle engine.
const PREFILL_TTL: Duration = Duration::from_millis(1_500);

/// Minimum number of tokens of a prefill that is announced and waited for.
///
/// A prefill of this length takes about 5 ms, as long as its announcement takes to arrive.
pub const MIN_ANNOUNCED_TOKENS: u32 = 400;

/// Maximum number of updates in one digest.
const MAX_UPDATES_PER_DIGEST: usize = 24;

/// Maximum number of updates that wait for a digest; the latest are sent first.
const MAX_PENDING_UPDATES: usize = 4 * MAX_UPDATES_PER_DIGEST;

/// Maximum number of prefills remembered.
const MAX_PREFILLS: usize = 2_048;

/// The start or the end of a prefill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillUpdate {
    /// The session and the engine that processes its prompt.
    pub placement: SessionPlacement,
    /// Number of tokens to prefill; 0 announces the end.
    pub tokens: u32,
}

/// The prefills in progress, as known to this router.
#[derive(Debug, Default)]
pub struct Prefills {
    inner: Mutex<Inner>,
    /// Notified when there is an update to announce.
    announce_signal: Arc<Notify>,
    /// Notified when a prefill ends.
    ended: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    in_progress: BTreeMap<SessionPlacement, PrefillInProgress>,
    /// Updates to announce, each with the number of digests that still have to carry it.
    pending_updates: PendingUpdates<PrefillUpdate, MAX_PENDING_UPDATES>,
}

#[derive(Debug, Clone, Copy)]
struct PrefillInProgress {
    tokens: u32,
    started: Instant,
}

/// A prefill started by a request of this router; dropping the guard ends it.
#[derive(Debug)]
pub struct Prefill {
    prefills: Arc<Prefills>,
    placement: SessionPlacement,
}

impl Drop for Prefill {
    fn drop(&mut self) {
        self.prefills.end(self.placement);
    }
}

impl Prefills {
    /// Creates an empty state that notifies `announce_signal` when there is an update to announce.
    pub fn with_announce_signal(announce_signal: Arc<Notify>) -> Self {
        Prefills {
            announce_signal,
            ..Prefills::default()
        }
    }

    /// Records the start of a prefill of `tokens` tokens by a request of this router.
    ///
    /// Returns `None` if the prompt is short or its prefill is already in progress.
    pub fn begin(
        self: &Arc<Self>,
        placement: SessionPlacement,
        tokens: u32,
        now: Instant,
    ) -> Option<Prefill> {
        if tokens < MIN_ANNOUNCED_TOKENS || self.is_in_progress(placement, now) {
            return None;
        }
        let mut inner = lock(&self.inner);
        inner.apply(PrefillUpdate { placement, tokens }, now);
        inner.queue_update(PrefillUpdate { placement, tokens });
        drop(inner);
        self.announce_signal.notify_one();
        let prefills = self.clone();
        Some(Prefill {
            prefills,
            placement,
        })
    }

    fn end(&self, placement: SessionPlacement) {
        let mut inner = lock(&self.inner);
        inner.in_progress.remove(&placement);
        inner.queue_update(PrefillUpdate {
            placement,
            tokens: 0,
        });
        drop(inner);
        self.ended.notify_waiters();
        self.announce_signal.notify_one();
    }

    /// Applies the updates that another router announced.
    pub fn receive(&self, updates: &[PrefillUpdate], now: Instant) {
        let mut inner = lock(&self.inner);
        let count_before = inner.in_progress.len();
        for update in updates {
            inner.apply(*update, now);
        }
        let has_ended = inner.in_progress.len() < count_before;
        drop(inner);
        if has_ended {
            self.ended.notify_waiters();
        }
    }

    /// Returns whether the engine is prefilling the prompt of the session.
    pub fn is_in_progress(&self, placement: SessionPlacement, now: Instant) -> bool {
        let inner = lock(&self.inner);
        let prefill = inner.in_progress.get(&placement);
        prefill.is_some_and(|prefill| prefill.is_unexpired(now))
    }

    /// Returns a future that completes when any prefill ends.
    ///
    /// If it is created before a call of [`is_in_progress`](Self::is_in_progress), it also
    /// completes when the prefill ends between that call and the first poll.
    pub fn ended(&self) -> Notified<'_> {
        self.ended.notified()
    }

    /// Returns the number of tokens that each engine has to prefill.
    pub fn pending_tokens(&self, now: Instant) -> BTreeMap<ServerKey, u32> {
        let mut pending = BTreeMap::new();
        for ((_, engine), prefill) in &lock(&self.inner).in_progress {
            if prefill.is_unexpired(now) {
                let tokens: &mut u32 = pending.entry(*engine).or_default();
                *tokens = tokens.saturating_add(prefill.tokens);
            }
        }
        pending
    }

    /// Returns the updates to announce in the next digest.
    pub fn next_updates(&self) -> Vec<PrefillUpdate> {
        lock(&self.inner)
            .pending_updates
            .take(MAX_UPDATES_PER_DIGEST)
    }
}

impl Inner {
    fn apply(&mut self, update: PrefillUpdate, now: Instant) {
        if update.tokens == 0 {
            self.in_progress.remove(&update.placement);
            return;
        }
        if self.in_progress.len() >= MAX_PREFILLS {
            self.in_progress
                .retain(|_, prefill| prefill.is_unexpired(now));
        }
        if self.in_progress.len() < MAX_PREFILLS {
            let prefill = PrefillInProgress {
                tokens: update.tokens,
                started: now,
            };
            self.in_progress.entry(update.placement).or_insert(prefill);
        }
    }

    /// Queues `update` for announcement in place of earlier updates for the same prefill.
    fn queue_update(&mut self, update: PrefillUpdate) {
        let is_superseded = |old: &PrefillUpdate| old.placement == update.placement;
        self.pending_updates.replace(update, is_superseded);
    }
}

impl PrefillInProgress {
    fn is_unexpired(&self, now: Instant) -> bool {
        now.since(self.started) < PREFILL_TTL
    }
}
