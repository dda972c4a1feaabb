//! Places requests at model engines by the parts of their prompts.
//!
//! Requests of one session share all parts of their prompt but the last, so the part
//! before it names the session. A session stays at one engine, whose cache then holds its
//! prompt, until the engine is over a multiple of the mean load; it then spills to the
//! next engine in rendezvous order, always the same one.

use super::score;
use crate::catalog::Server;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Name of the content; equal parts have equal names.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// Returns the hash by which requests of one session meet, if there are parts.
pub fn session(parts: &[Part]) -> Option<u64> {
    let part = parts.iter().rev().nth(1).or(parts.last())?;
    Some(part.id)
}

/// The load above which an engine gets no request that can go elsewhere.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    /// Multiple of the mean load.
    pub factor: f64,
    /// Requests on top of it.
    pub extra: f64,
}

impl LoadBound {
    /// Returns the largest load at which an engine still takes a request.
    pub fn limit(&self, loads: impl Iterator<Item = u32>) -> f64 {
        let (count, total) = loads.fold((0u32, 0u64), |(n, sum), load| {
            (n + 1, sum + u64::from(load))
        });
        let mean = total as f64 / f64::from(count.max(1));
        self.factor * mean + self.extra
    }
}

/// An engine that could serve a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The engine.
    pub server: &'a Server,
    /// Requests that all routers have in flight there.
    pub load: u32,
    /// Whether it failed lately.
    pub avoided: bool,
}

/// Returns the position of the engine for `session`.
///
/// Engines over `limit` or avoided are passed over while another one is left.
pub fn by_session(session: u64, candidates: &[Candidate<'_>], limit: f64) -> Option<usize> {
    let key = score::number(session);
    let rank = |c: &Candidate<'_>| score::node(key, c.server.name.as_str());
    let positions = || candidates.iter().enumerate();
    let fits = positions().filter(|(_, c)| !c.avoided && f64::from(c.load) < limit);
    let best = fits.max_by_key(|(_, c)| rank(c));
    let least = || positions().min_by_key(|(_, c)| (c.avoided, c.load, rank(c)));
    best.or_else(least).map(|(at, _)| at)
}

/// Returns the less loaded one of two random servers.
///
/// Loads are heard late; the least loaded of all would get the requests of all routers.
pub fn by_two_choices(candidates: &[Candidate<'_>], first: usize, second: usize) -> Option<usize> {
    let sound: Vec<_> = (0..candidates.len())
        .filter(|at| !candidates[*at].avoided)
        .collect();
    let all: Vec<_> = (0..candidates.len()).collect();
    let among = if sound.is_empty() { &all } else { &sound };
    let count = among.len();
    let one = *among.get(first % count.max(1))?;
    // The second one differs from the first while there are two.
    let other = among[(first % count + 1 + second % (count - 1).max(1)) % count];
    let better = candidates[other].load < candidates[one].load;
    Some(if better { other } else { one })
}
