//! Places requests on model engines by the parts of their prompts.
//!
//! Requests of one session share all parts of their prompt but the last, so that the part
//! before the last identifies the session. A session stays on one engine, whose cache then
//! holds its prompt, until the engine exceeds a multiple of the mean load; the session then
//! spills to the next engine in rendezvous order, always the same one.
//!
//! Load pattern: returning sessions, some of them requested far more often than others, and
//! the first requests after a start, when no engine holds any prompt.
//!
//! Load pattern: servers on which the same work takes a multiple of its usual time for seconds. They
//! are compared by the time that one more request is expected to take in place of the number of
//! requests, and sessions leave an engine whose expected time is far above the mean.

use xxhash_rust::xxh3::xxh3_64;

use super::score;
use crate::catalog::{Server, ServerKey};

/// Number of engines in rendezvous order among which a session without a warm engine gets
/// the one with the fewest tokens to prefill.
///
/// Announcements of prefills arrive a few milliseconds late; with more engines to choose
/// from, routers would choose different ones for the same session.
const COLD_SESSION_RANKS: usize = 3;

/// Multiple of the mean expected time up to which an engine takes requests while some are slow.
const EXPECTED_TIME_FACTOR: f64 = 1.5;

/// Time that a request takes at a server without load, in the unit of expected times.
///
/// It does not depend on the server, so that servers that work as usual are compared by the number of
/// requests alone.
const UNLOADED_TIME: f64 = 8.0;

/// Number of tokens whose prefill delays a request as much as another request in flight does.
const TOKENS_PER_REQUEST: f64 = 2_000.0;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the content; parts with equal content have equal identifiers.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

impl PromptPart {
    /// Creates the part that callers identify by the hexadecimal number `id`, of any length; `None` if it
    /// is none.
    ///
    /// Numbers that do not fit 64 bits are hashed.
    pub fn from_hex(id: &str, tokens: u32) -> Option<Self> {
        if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let digits = id.trim_start_matches('0');
        let id = if digits.len() <= size_of::<u64>() * 2 {
            u64::from_str_radix(digits, 16).unwrap_or_default()
        } else {
            xxh3_64(digits.to_ascii_lowercase().as_bytes())
        };
        Some(PromptPart { id, tokens })
    }
}

/// The portion of a prompt that other requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPrompt {
    /// Hash of the session, equal for all its requests.
    pub session: u64,
    /// Hash of the first part, which many sessions share; `None` if at most one part is shared.
    pub common_prefix: Option<u64>,
    /// Length of the shared parts in tokens.
    pub tokens: u32,
}

impl SharedPrompt {
    /// Returns the shared portion of a prompt made of `parts`, or `None` if there are no parts.
    pub fn from_parts(parts: &[PromptPart]) -> Option<Self> {
        let last = parts.last()?;
        let shared = &parts[..parts.len() - 1];
        let tokens = shared.iter().map(|part| part.tokens);
        Some(SharedPrompt {
            session: shared.last().unwrap_or(last).id,
            common_prefix: shared.first().filter(|_| shared.len() > 1).map(|p| p.id),
            tokens: tokens.fold(0, u32::saturating_add),
        })
    }
}

/// The load at which an engine gets no further request as long as another engine is below it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    /// Multiple of the mean load of all engines.
    pub factor: f64,
    /// Number of requests added to the multiple of the mean load.
    pub extra: f64,
}

impl LoadBound {
    /// Bound for engines that do the work of others, which are evacuated or cold and idle.
    ///
    /// The mean of the pool counts those as well, so that loads have to be even to stay below a
    /// multiple of it.
    pub const EVEN: LoadBound = LoadBound {
        factor: 1.0,
        extra: 1.0,
    };

    /// Returns the bound for the loads of the given share of the engines, if the others count in the
    /// mean load but get no requests.
    #[must_use]
    pub fn with_open_share(self, share: f64) -> Self {
        LoadBound {
            factor: self.factor * share,
            extra: self.extra * share,
        }
    }

    /// Returns the load below which an engine takes a request, given the loads of all engines.
    pub fn limit(&self, loads: impl Iterator<Item = u32>) -> f64 {
        let (count, total) = loads.fold((0u32, 0u64), |(n, sum), load| {
            (n + 1, sum + u64::from(load))
        });
        let mean = total as f64 / f64::from(count.max(1));
        self.factor * mean + self.extra
    }
}

/// A server that could run a request: a model engine or a plain backend server.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The server as listed in the catalog.
    pub server: &'a Server,
    /// Number of requests that all routers have in flight at the server.
    pub load: u32,
    /// Time that work takes at the server at present, as a multiple of its usual time.
    pub slowness: f64,
    /// Whether the server failed recently, so that others are preferred.
    pub is_avoided: bool,
    /// Number of tokens that the server has to prefill; 0 for a plain backend server.
    pub pending_tokens: u32,
}

impl Candidate<'_> {
    /// Returns the time that one more request is expected to take at the server; the unit is the time
    /// by which a request in flight delays it at a server that works as usual.
    pub fn expected_time(&self) -> f64 {
        (UNLOADED_TIME + f64::from(self.load)) * self.slowness
    }

    /// Returns the time until one more prompt is prefilled, in tokens at an engine that works as
    /// usual.
    fn prefill_time(&self) -> f64 {
        f64::from(self.pending_tokens) * self.slowness
    }
}

/// Returns the longest expected time at one of `candidates` as a multiple of the mean, or `None` if
/// there are none.
pub fn busiest_over_mean(candidates: &[Candidate<'_>]) -> Option<f64> {
    let times = candidates.iter().map(Candidate::expected_time);
    let (total, longest) = times.fold((0.0, 0.0_f64), |(total, longest), time| {
        (total + time, longest.max(time))
    });
    (!candidates.is_empty()).then(|| longest * candidates.len() as f64 / total)
}

/// Returns the expected time up to which engines take requests, or `None` if all work as usual, as
/// the bound on their loads suffices then.
fn expected_time_limit(candidates: &[Candidate<'_>]) -> Option<f64> {
    let is_usual = |c: &Candidate<'_>| c.slowness == 1.0;
    if candidates.iter().all(is_usual) {
        return None;
    }
    let total: f64 = candidates.iter().map(Candidate::expected_time).sum();
    Some(EXPECTED_TIME_FACTOR * total / candidates.len() as f64)
}

/// Returns the index in `candidates` of the engine for `session`.
///
/// Considers the engines that are not avoided, have a load below `limit` and, if some engines are
/// slow, an expected time not far above the mean. Prefers those that recently served the session
/// (`warm`, the latest first). A session without such an engine gets the one with the shortest
/// time to prefill, or to run if some engines are slow, among the first few in rendezvous order. If no
/// engine qualifies, returns the one with the shortest expected time, avoided engines last.
pub fn pick_by_session(
    session: u64,
    candidates: &[Candidate<'_>],
    limit: f64,
    warm: &[ServerKey],
) -> Option<usize> {
    let time_limit = expected_time_limit(candidates);
    let has_room = |c: &Candidate<'_>| !c.is_avoided && f64::from(c.load) < limit;
    let fits = |c: &Candidate<'_>| {
        has_room(c) && time_limit.is_none_or(|time_limit| c.expected_time() <= time_limit)
    };
    let index_of = |key: &ServerKey| candidates.iter().position(|c| c.server.key() == *key);
    let mut warm_indices = warm.iter().filter_map(index_of);
    if let Some(index) = warm_indices.find(|index| fits(&candidates[*index])) {
        return Some(index);
    }
    let key = score::hash_number(session);
    let rank = |index: &usize| score::node_score(key, candidates[*index].server.name.as_str());
    let mut ranked: Vec<_> = (0..candidates.len()).collect();
    ranked.sort_by_cached_key(|index| std::cmp::Reverse(rank(index)));
    let first_ranked = ranked
        .iter()
        .filter(|index| fits(&candidates[**index]))
        .take(COLD_SESSION_RANKS);
    let cost = |index: &usize| {
        let candidate = &candidates[*index];
        let run_time = time_limit.map_or(0.0, |_| candidate.expected_time());
        candidate.prefill_time() + TOKENS_PER_REQUEST * run_time
    };
    let best = first_ranked.min_by(|a, b| cost(a).total_cmp(&cost(b)));
    let shortest = || {
        let is_refused = |c: &Candidate<'_>| (c.is_avoided, f64::from(c.load) >= limit);
        ranked.iter().min_by(|a, b| {
            let (a, b) = (&candidates[**a], &candidates[**b]);
            let by_time = a.expected_time().total_cmp(&b.expected_time());
            is_refused(a).cmp(&is_refused(b)).then(by_time)
        })
    };
    best.or_else(shortest).copied()
}

/// Returns the index of the server with the shorter expected time out of two, chosen by the random
/// numbers `first` and `second` among those that are not avoided, or among all if every one is.
///
/// Reported loads are out of date on arrival; the least loaded server of all would get the
/// requests of all routers.
pub fn pick_by_two_choices(
    candidates: &[Candidate<'_>],
    first: usize,
    second: usize,
) -> Option<usize> {
    let healthy: Vec<_> = (0..candidates.len())
        .filter(|index| !candidates[*index].is_avoided)
        .collect();
    let all: Vec<_> = (0..candidates.len()).collect();
    let eligible = if healthy.is_empty() { &all } else { &healthy };
    let count = eligible.len();
    let one = *eligible.get(first % count.max(1))?;
    // The second choice differs from the first if there are at least two servers.
    let other = eligible[(first % count + 1 + second % (count - 1).max(1)) % count];
    let is_better = candidates[other].expected_time() < candidates[one].expected_time();
    Some(if is_better { other } else { one })
}
