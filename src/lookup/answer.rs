//! The addresses for a caller.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use crate::{
    config::Service, membership::View, placement, Category, ChatId, DomainName, Error, Result,
    RouterName,
};

/// How long a caller may use an answer.
pub const VALIDITY: Duration = Duration::from_secs(30);

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 3;

/// One router that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// Name of the router.
    pub router: RouterName,
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
}

/// The answer to a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Routers in different failure domains, the best first.
    pub addresses: Vec<Address>,
}

impl Answer {
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
        me: &Address,
        service: &Service,
        chat: &ChatId,
        hint: &placement::Hint,
    ) -> Result<Answer> {
        let open = view
            .engines(&service.pool)
            .iter()
            .filter(|engine| !engine.leaving);
        let engines = placement::preferred(chat.as_str(), hint, open, 1);
        let engine = engines.first();
        let key = engine.map_or(chat.as_str(), |engine| engine.name.as_str());
        let addresses = spread(key, view, me);
        if addresses.is_empty() {
            return Err(Error::not_run(Category::Unavailable, "no router is live"));
        }
        Ok(Answer { addresses })
    }
}

/// A router in the choice, this one or another.
#[derive(Clone, Copy)]
struct Choice<'a> {
    score: u64,
    router: &'a RouterName,
    address: SocketAddr,
    domain: &'a DomainName,
}

impl Choice<'_> {
    fn to_address(self) -> Address {
        Address {
            router: self.router.clone(),
            address: self.address,
            domain: self.domain.clone(),
        }
    }
}

fn routers<'a>(key: &'a str, view: &'a View, me: &'a Address) -> impl Iterator<Item = Choice<'a>> {
    let others = view
        .duty_peers()
        .iter()
        .map(|peer| (&peer.name, peer.address, &peer.domain));
    let mine = std::iter::once((&me.router, me.address, &me.domain));
    others
        .chain(mine)
        .map(move |(router, address, domain)| Choice {
            score: placement::score(key, router.as_str()),
            router,
            address,
            domain,
        })
}

/// Returns the first routers of different failure domains, and fills up with others when
/// there are fewer domains than addresses in an answer.
fn spread(key: &str, view: &View, me: &Address) -> Vec<Address> {
    let mut firsts: Vec<Choice<'_>> = Vec::new();
    let mut others: Vec<Choice<'_>> = Vec::new();
    for mut choice in routers(key, view, me) {
        let same = firsts
            .iter_mut()
            .find(|first| first.domain == choice.domain);
        let Some(first) = same else {
            firsts.push(choice);
            continue;
        };
        if choice.score > first.score {
            std::mem::swap(first, &mut choice);
        }
        others.push(choice);
    }
    let by_score = |choice: &Choice<'_>| Reverse(choice.score);
    firsts.sort_unstable_by_key(by_score);
    if firsts.len() < MAX_ADDRESSES {
        others.sort_unstable_by_key(by_score);
        firsts.extend(others);
    }
    let chosen = firsts.into_iter().take(MAX_ADDRESSES);
    chosen.map(Choice::to_address).collect()
}
