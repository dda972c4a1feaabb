//! Chooses the router addresses that a caller is given.

use std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    config::Service,
    membership::{Engine, Peer, View},
    placement, Category, ChatId, DomainName, Error, Result, RouterName,
};

/// Time for which a caller may use an answer.
pub const ANSWER_TTL: Duration = Duration::from_secs(30);

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 3;

/// Address of a router that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterAddress {
    /// Name of the router.
    pub router: RouterName,
    /// Address on which the router listens for callers.
    pub address: SocketAddr,
    /// Failure domain of the router.
    pub domain: DomainName,
}

/// Answer to a caller that asks which routers to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookupAnswer {
    /// Addresses of routers, the preferred one first, in different failure domains as far as
    /// there are enough.
    pub addresses: Vec<RouterAddress>,
}

impl LookupAnswer {
    /// Chooses routers for a chat of `service`.
    ///
    /// The first router is the steward of the engine that the chat would be placed on, so
    /// that in the common case no call between routers is needed.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Unavailable`] when no router is live.
    pub fn new(
        view: &View,
        own_address: &RouterAddress,
        service: &Service,
        chat: &ChatId,
        hint: &placement::Hint,
    ) -> Result<LookupAnswer> {
        let engine = engine_for(view, service, chat, hint);
        let key = engine.map_or(chat.as_str(), |engine| engine.name.as_str());
        let addresses = choose_addresses(key, view, own_address);
        if addresses.is_empty() {
            return Err(Error::not_run(Category::Unavailable, "no router is live"));
        }
        Ok(LookupAnswer { addresses })
    }
}

/// Returns the engine that the chat would be placed on if all engines were below their load
/// bounds.
fn engine_for<'a>(
    view: &'a View,
    service: &Service,
    chat: &ChatId,
    hint: &placement::Hint,
) -> Option<&'a Arc<Engine>> {
    let pool = &service.pool;
    let is_staying = |engine: &&Arc<Engine>| !engine.leaving;
    let mut hinted = hint
        .entries()
        .iter()
        .filter_map(|entry| view.hinted_engine(pool, entry));
    let ranked_first = || {
        let others = view.engines(pool).iter().filter(is_staying);
        let name = placement::rendezvous_first(chat.as_str(), others.map(|engine| &engine.name))?;
        view.engine(name)
    };
    hinted.find(is_staying).or_else(ranked_first)
}

/// A router that may be chosen, with its rendezvous score.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    score: u64,
    router: &'a RouterName,
    address: SocketAddr,
    domain: &'a DomainName,
}

impl<'a> Candidate<'a> {
    fn from_peer(key: &str, peer: &'a Peer) -> Self {
        Candidate {
            score: placement::rendezvous_score(key, peer.name.as_str()),
            router: &peer.name,
            address: peer.address,
            domain: &peer.domain,
        }
    }

    fn from_own_address(key: &str, own_address: &'a RouterAddress) -> Self {
        Candidate {
            score: placement::rendezvous_score(key, own_address.router.as_str()),
            router: &own_address.router,
            address: own_address.address,
            domain: &own_address.domain,
        }
    }

    fn to_address(self) -> RouterAddress {
        RouterAddress {
            router: self.router.clone(),
            address: self.address,
            domain: self.domain.clone(),
        }
    }
}

/// Returns the best routers of different failure domains, followed by other routers when there
/// are fewer domains than [`MAX_ADDRESSES`].
fn choose_addresses(key: &str, view: &View, own_address: &RouterAddress) -> Vec<RouterAddress> {
    let by_score = |candidate: &Candidate<'_>| Reverse(candidate.score);
    let mut chosen = best_per_domain(key, view, own_address);
    chosen.sort_unstable_by_key(by_score);
    if chosen.len() < MAX_ADDRESSES {
        let mut others = all_candidates(key, view, own_address);
        others.retain(|other| chosen.iter().all(|best| best.router != other.router));
        others.sort_unstable_by_key(by_score);
        chosen.extend(others);
    }
    let chosen = chosen.into_iter().take(MAX_ADDRESSES);
    chosen.map(Candidate::to_address).collect()
}

/// Returns the router with the highest score in each failure domain.
fn best_per_domain<'a>(
    key: &str,
    view: &'a View,
    own_address: &'a RouterAddress,
) -> Vec<Candidate<'a>> {
    let domains = view.active_peers().chunk_by(|a, b| a.domain == b.domain);
    let others = domains.filter_map(|peers| {
        let candidates = peers.iter().map(|peer| Candidate::from_peer(key, peer));
        candidates.max_by_key(|candidate| candidate.score)
    });
    let mut best_per_domain: Vec<_> = others.collect();
    let own = Candidate::from_own_address(key, own_address);
    match best_per_domain
        .iter_mut()
        .find(|best| best.domain == own.domain)
    {
        Some(best) if own.score > best.score => *best = own,
        Some(_) => {}
        None => best_per_domain.push(own),
    }
    best_per_domain
}

/// Returns all active routers, this one included.
fn all_candidates<'a>(
    key: &str,
    view: &'a View,
    own_address: &'a RouterAddress,
) -> Vec<Candidate<'a>> {
    let others = view.active_peers().iter();
    let others = others.map(|peer| Candidate::from_peer(key, peer));
    others
        .chain([Candidate::from_own_address(key, own_address)])
        .collect()
}
