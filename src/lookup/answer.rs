//! The addresses for a caller.

use std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    config::Service,
    membership::{Engine, Peer, View},
    placement, Category, ChatId, DomainName, Error, Result, RouterName,
};

/// How long a caller may use an answer.
pub const ANSWER_TTL: Duration = Duration::from_secs(30);

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 3;

/// One router that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterAddress {
    /// Name of the router.
    pub router: RouterName,
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
}

/// The answer to a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookupAnswer {
    /// Routers in different failure domains, the best first.
    pub addresses: Vec<RouterAddress>,
}

impl LookupAnswer {
    /// Chooses routers for a chat of `service`.
    ///
    /// The first is the steward of the engine that the chat would get, so that the
    /// common request needs no call between routers.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Unavailable`] when no router is known.
    pub fn new(
        view: &View,
        me: &RouterAddress,
        service: &Service,
        chat: &ChatId,
        hint: &placement::Hint,
    ) -> Result<LookupAnswer> {
        let engine = engine_for(view, service, chat, hint);
        let key = engine.map_or(chat.as_str(), |engine| engine.name.as_str());
        let addresses = spread(key, view, me);
        if addresses.is_empty() {
            return Err(Error::not_run(Category::Unavailable, "no router is live"));
        }
        Ok(LookupAnswer { addresses })
    }
}

/// Returns the engine that the chat would get if it were below its bound.
fn engine_for<'a>(
    view: &'a View,
    service: &Service,
    chat: &ChatId,
    hint: &placement::Hint,
) -> Option<&'a Arc<Engine>> {
    let pool = &service.pool;
    let open = |engine: &&Arc<Engine>| !engine.leaving;
    let mut named = hint
        .entries()
        .iter()
        .filter_map(|entry| view.hinted_engine(pool, entry));
    let first = || {
        let others = view.engines(pool).iter().filter(open);
        let name = placement::rendezvous_first(chat.as_str(), others.map(|engine| &engine.name))?;
        view.engine(name)
    };
    named.find(open).or_else(first)
}

/// A router in the choice, this one or another.
#[derive(Clone, Copy)]
struct Choice<'a> {
    score: u64,
    router: &'a RouterName,
    address: SocketAddr,
    domain: &'a DomainName,
}

impl<'a> Choice<'a> {
    fn other(key: &str, peer: &'a Peer) -> Self {
        Choice {
            score: placement::rendezvous_score(key, peer.name.as_str()),
            router: &peer.name,
            address: peer.address,
            domain: &peer.domain,
        }
    }

    fn own(key: &str, me: &'a RouterAddress) -> Self {
        Choice {
            score: placement::rendezvous_score(key, me.router.as_str()),
            router: &me.router,
            address: me.address,
            domain: &me.domain,
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

/// Returns the first routers of different failure domains, and fills up with others when
/// there are fewer domains than addresses in an answer.
fn spread(key: &str, view: &View, me: &RouterAddress) -> Vec<RouterAddress> {
    let by_score = |choice: &Choice<'_>| Reverse(choice.score);
    let mut chosen = firsts(key, view, me);
    chosen.sort_unstable_by_key(by_score);
    if chosen.len() < MAX_ADDRESSES {
        let mut others = all(key, view, me);
        others.retain(|other| chosen.iter().all(|first| first.router != other.router));
        others.sort_unstable_by_key(by_score);
        chosen.extend(others);
    }
    let chosen = chosen.into_iter().take(MAX_ADDRESSES);
    chosen.map(Choice::to_address).collect()
}

/// Returns the first router of each failure domain.
fn firsts<'a>(key: &str, view: &'a View, me: &'a RouterAddress) -> Vec<Choice<'a>> {
    let domains = view.active_peers().chunk_by(|a, b| a.domain == b.domain);
    let others = domains.filter_map(|peers| {
        let choices = peers.iter().map(|peer| Choice::other(key, peer));
        choices.max_by_key(|choice| choice.score)
    });
    let mut firsts: Vec<_> = others.collect();
    let own = Choice::own(key, me);
    match firsts.iter_mut().find(|first| first.domain == own.domain) {
        Some(first) if own.score > first.score => *first = own,
        Some(_) => {}
        None => firsts.push(own),
    }
    firsts
}

fn all<'a>(key: &str, view: &'a View, me: &'a RouterAddress) -> Vec<Choice<'a>> {
    let others = view.active_peers().iter();
    let others = others.map(|peer| Choice::other(key, peer));
    others.chain([Choice::own(key, me)]).collect()
}
