//! Decides which routers are relays, and which of them is the relay of a router.
//!
//! Load pattern: a fleet of hundreds, in which each router has to know the loads of all servers and
//! which routers are live. If each sent its digest to each other one, the datagrams of a router
//! would grow with the fleet; with relays they do not.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use super::{RelayRole, RouterPhase, RouterState};
use crate::{placement::rendezvous_score, DomainName, Instant, RouterName};

/// Largest fleet in which each router sends its digests to all others.
///
/// Digests then arrive sooner by two hops, and cost less than the summaries.
pub const DIRECT_FLEET_SIZE: usize = 32;

/// Number of routers of a failure domain for each of its relays.
const ROUTERS_PER_RELAY: usize = 16;

/// Minimum number of relays of a failure domain, so that the loss of one leaves another.
const MIN_RELAYS: usize = 2;

/// Time without a summary after which a router chooses another relay.
///
/// Less than half of the time after which its own silence would hide it.
const RELAY_TIMEOUT: Duration = Duration::from_millis(650);

/// The same for a relay that has not answered yet; it answers a new client without delay.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a relay that timed out is not chosen again.
const RELAY_AVOID_TIME: Duration = Duration::from_secs(5);

/// Maximum number of routers of a domain that get summaries as relays beyond the number of its relays.
const MAX_EXTRA_RELAYS: usize = 4;

/// Rendezvous key by which all routers rank those with equal links.
const RELAY_RANK_KEY: &str = "relays";

/// The relay of a router.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    pub(super) relay: RouterName,
    /// Time of the latest summary, or of the choice before the first one.
    last_received: Instant,
    has_answered: bool,
}

impl Upstream {
    fn is_silent(&self, now: Instant) -> bool {
        let timeout = match self.has_answered {
            true => RELAY_TIMEOUT,
            false => FIRST_ANSWER_TIMEOUT,
        };
        now.since(self.last_received) >= timeout
    }
}

/// Choice of the relay of this router.
#[derive(Debug, Default)]
pub(super) struct RelayChoice {
    upstream: Option<Upstream>,
    /// Relays that have timed out, and when.
    silent: BTreeMap<RouterName, Instant>,
}

impl RelayChoice {
    /// Returns the relay of the router `me` at `now`, or `None` if it is a relay itself.
    ///
    /// `live` are the states of the other live routers.
    pub(super) fn decide<'a>(
        &mut self,
        me: &'a RouterState,
        live: impl Iterator<Item = &'a RouterState>,
        now: Instant,
    ) -> Option<&Upstream> {
        self.silent
            .retain(|_, since| now.since(*since) < RELAY_AVOID_TIME);
        if let Some(upstream) = &self.upstream {
            if upstream.is_silent(now) {
                log::info!("relay silent name={}", upstream.relay);
                self.silent.insert(upstream.relay.clone(), now);
                self.upstream = None;
            }
        }
        let answers = |router: &&RouterState| !self.silent.contains_key(&router.name);
        let ranked = rank(&me.domain, live.chain([me]).filter(answers));
        let relays = &ranked[..relay_count(ranked.len()).min(ranked.len())];
        if relays.iter().any(|relay| relay.name == me.name) {
            self.upstream = None;
            return None;
        }
        let is_relay = |name: &RouterName| relays.iter().any(|relay| relay.name == *name);
        if !self.upstream.as_ref().is_some_and(|up| is_relay(&up.relay)) {
            let score = |r: &&&RouterState| rendezvous_score(me.name.as_str(), r.name.as_str());
            let chosen = relays.iter().max_by_key(score);
            self.upstream = chosen.map(|relay| {
                let relay = relay.name.clone();
                log::info!("relay chosen name={relay}");
                Upstream {
                    relay,
                    last_received: now,
                    has_answered: false,
                }
            });
        }
        self.upstream.as_ref()
    }

    /// Gives up the relay of this router, which has become one itself.
    pub(super) fn clear(&mut self) {
        self.upstream = None;
    }

    /// Returns the relay of this router, if it has one.
    pub(super) fn upstream(&self) -> Option<&Upstream> {
        self.upstream.as_ref()
    }

    /// Records a summary of `relay` for this router.
    pub(super) fn record_summary(&mut self, relay: &RouterName, now: Instant) {
        if let Some(upstream) = self.upstream.as_mut().filter(|up| up.relay == *relay) {
            upstream.last_received = now;
            upstream.has_answered = true;
        }
    }
}

/// Returns the addresses of the routers that are relays or should be: the first ones of each failure
/// domain and those that say so.
///
/// A relay that the others do not know yet makes itself known by its first summary.
///
/// Each state comes with the time of its router's latest digest. Of a domain whose first routers were
/// not heard for a moment, the next ones count as well.
pub(super) fn relay_addresses<'a>(
    routers: impl Iterator<Item = (&'a RouterState, Instant)>,
    now: Instant,
) -> BTreeSet<SocketAddr> {
    let mut domains: BTreeMap<&DomainName, Vec<&RouterState>> = BTreeMap::new();
    let mut heard = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for (router, last_received) in routers {
        if router.relay_role == RelayRole::Relay {
            addresses.insert(router.peer_address);
        }
        if now.since(last_received) < RELAY_TIMEOUT {
            heard.insert(&router.name);
        }
        domains.entry(&router.domain).or_default().push(router);
    }
    for (domain, routers) in domains {
        let ranked = rank(domain, routers.into_iter());
        let mut missing = relay_count(ranked.len());
        for router in ranked.iter().take(missing + MAX_EXTRA_RELAYS) {
            if missing == 0 {
                break;
            }
            addresses.insert(router.peer_address);
            missing -= usize::from(heard.contains(&router.name));
        }
    }
    addresses
}

/// Returns the routers of `domain` that may be relays, those with the fastest links first.
fn rank<'a>(
    domain: &DomainName,
    routers: impl Iterator<Item = &'a RouterState>,
) -> Vec<&'a RouterState> {
    let in_domain = routers.filter(|r| r.domain == *domain && r.phase != RouterPhase::Leaving);
    let mut ranked: Vec<_> = in_domain.collect();
    ranked.sort_by_cached_key(|router| {
        let score = rendezvous_score(RELAY_RANK_KEY, router.name.as_str());
        Reverse((router.link_mbps, score))
    });
    ranked
}

fn relay_count(routers: usize) -> usize {
    routers.div_ceil(ROUTERS_PER_RELAY).max(MIN_RELAYS)
}
