//! Which prompts engines are reading for the first time, as all routers tell each other.
//!
//! Load pattern: many sessions return at once to engines that hold none of their prompts,
//! after a start of the fleet or the loss of an engine, and several requests of one session
//! arrive while its prompt is still being read. An engine that reads a prompt for one
//! request does not share the work with the next one until the first event, so that a
//! request sent meanwhile reads all of it again; it had better wait. Sessions that have no
//! engine yet go to engines that have less to read.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::sync::{futures::Notified, Notify};

use super::SessionPlacement;
use crate::{catalog::ServerKey, sync::lock, Instant};

/// Time after which a prompt that another router began to read no longer counts.
///
/// The longest prompts, 40,000 tokens at 80 a millisecond, take half a second alone.
const EXPIRES_AFTER: Duration = Duration::from_millis(1_500);

/// Shortest prompt, in tokens, that is told and waited for; it is read in some 5 ms, which
/// is what the news of it takes to arrive.
pub const MIN_ANNOUNCED_TOKENS: u32 = 400;

/// Digests in which a read is told, as datagrams may be lost.
const TOLD: u8 = 2;

/// Most reads in one digest.
const MAX_TOLD: usize = 24;

/// Most reads remembered.
const MAX_READS: usize = 2_048;

/// The beginning or the end of a read of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillUpdate {
    /// The session, and the engine that reads its prompt.
    pub placement: SessionPlacement,
    /// Tokens to be read, 0 at the end.
    pub tokens: u32,
}

/// The reads that are under way.
#[derive(Debug, Default)]
pub struct Prefills {
    inner: Mutex<Inner>,
    /// Fires when there is something to tell.
    urgent: Arc<Notify>,
    /// Fires when a read has ended.
    ended: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    underway: BTreeMap<SessionPlacement, Underway>,
    news: VecDeque<(PrefillUpdate, u8)>,
}

#[derive(Debug, Clone, Copy)]
struct Underway {
    tokens: u32,
    since: Instant,
}

/// A read that this router began; it has ended when dropped.
#[derive(Debug)]
pub struct Prefill {
    all: Arc<Prefills>,
    placed: SessionPlacement,
}

impl Drop for Prefill {
    fn drop(&mut self) {
        self.all.end(self.placed);
    }
}

impl Prefills {
    /// Creates the state, which fires `urgent` when there is something to tell.
    pub fn with_announce_signal(urgent: Arc<Notify>) -> Self {
        Prefills {
            urgent,
            ..Prefills::default()
        }
    }

    /// Notes that this router had `tokens` of the prompt of a session read by an engine.
    ///
    /// There is nothing to note for a short prompt, or while the engine reads it already.
    pub fn begin(
        self: &Arc<Self>,
        placed: SessionPlacement,
        tokens: u32,
        now: Instant,
    ) -> Option<Prefill> {
        if tokens < MIN_ANNOUNCED_TOKENS || self.is_underway(placed, now) {
            return None;
        }
        let mut inner = lock(&self.inner);
        inner.put(
            PrefillUpdate {
                placement: placed,
                tokens,
            },
            now,
        );
        inner.tell(PrefillUpdate {
            placement: placed,
            tokens,
        });
        drop(inner);
        self.urgent.notify_one();
        let all = self.clone();
        Some(Prefill { all, placed })
    }

    fn end(&self, placement: SessionPlacement) {
        let mut inner = lock(&self.inner);
        inner.underway.remove(&placement);
        inner.tell(PrefillUpdate {
            placement,
            tokens: 0,
        });
        drop(inner);
        self.ended.notify_waiters();
        self.urgent.notify_one();
    }

    /// Takes over what another router told.
    pub fn receive(&self, news: &[PrefillUpdate], now: Instant) {
        let mut inner = lock(&self.inner);
        let before = inner.underway.len();
        for news in news {
            inner.put(*news, now);
        }
        let ended = inner.underway.len() < before;
        drop(inner);
        if ended {
            self.ended.notify_waiters();
        }
    }

    /// Returns whether the engine is reading the prompt of the session.
    pub fn is_underway(&self, placed: SessionPlacement, now: Instant) -> bool {
        let inner = lock(&self.inner);
        let read = inner.underway.get(&placed);
        read.is_some_and(|read| read.counts(now))
    }

    /// Returns what completes when the next read ends, whichever; made before a look at
    /// [`is_underway`](Self::is_underway), it misses none.
    pub fn ended(&self) -> Notified<'_> {
        self.ended.notified()
    }

    /// Returns the tokens that each engine has to read.
    pub fn pending_tokens(&self, now: Instant) -> BTreeMap<ServerKey, u32> {
        let mut pending = BTreeMap::new();
        for ((_, engine), read) in &lock(&self.inner).underway {
            if read.counts(now) {
                *pending.entry(*engine).or_default() += read.tokens;
            }
        }
        pending
    }

    /// Returns what is to be told in the next digest.
    pub fn next_updates(&self) -> Vec<PrefillUpdate> {
        let mut inner = lock(&self.inner);
        let count = inner.news.len().min(MAX_TOLD);
        let mut told = Vec::with_capacity(count);
        for (news, left) in inner.news.drain(..count).collect::<Vec<_>>() {
            told.push(news);
            if left > 1 {
                inner.news.push_back((news, left - 1));
            }
        }
        told
    }
}

impl Inner {
    fn put(&mut self, news: PrefillUpdate, now: Instant) {
        if news.tokens == 0 {
            self.underway.remove(&news.placement);
            return;
        }
        if self.underway.len() >= MAX_READS {
            self.underway.retain(|_, read| read.counts(now));
        }
        if self.underway.len() < MAX_READS {
            let read = Underway {
                tokens: news.tokens,
                since: now,
            };
            self.underway.entry(news.placement).or_insert(read);
        }
    }

    /// Queues news; an earlier one of the same read is out of date.
    fn tell(&mut self, news: PrefillUpdate) {
        self.news.retain(|(old, _)| old.placement != news.placement);
        self.news.push_front((news, TOLD));
        self.news.truncate(4 * MAX_TOLD);
    }
}

impl Underway {
    fn counts(&self, now: Instant) -> bool {
        now.since(self.since) < EXPIRES_AFTER
    }
}
