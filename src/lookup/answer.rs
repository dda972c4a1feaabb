//! The addresses for a caller.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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
        let routers = routers(view, me);
        let open = view.engines(&service.pool).filter(|engine| !engine.leaving);
        let engines: Vec<_> = open.cloned().collect();
        let engine = placement::candidates(chat.as_str(), hint, &engines)
            .into_iter()
            .next();
        let key = engine
            .as_ref()
            .map_or(chat.as_str(), |engine| engine.name.as_str());
        let ranked = placement::order(key, &routers, |router| router.router.as_str());
        let addresses = spread(ranked);
        if addresses.is_empty() {
            return Err(Error::not_run(Category::Unavailable, "no router is live"));
        }
        Ok(Answer { addresses })
    }
}

fn routers(view: &View, me: &Address) -> Vec<Address> {
    let address = |peer: &Arc<crate::membership::Peer>| Address {
        router: peer.name.clone(),
        address: peer.address,
        domain: peer.domain.clone(),
    };
    let live = view.peers().filter(|peer| !peer.leaving).map(address);
    live.chain(std::iter::once(me.clone())).collect()
}

/// Keeps the first router of each failure domain, and fills up with others when there are
/// fewer domains than addresses in an answer.
fn spread(ranked: Vec<Address>) -> Vec<Address> {
    let mut chosen: Vec<Address> = Vec::new();
    let mut others = Vec::new();
    for address in ranked {
        if chosen.iter().any(|other| other.domain == address.domain) {
            others.push(address);
        } else {
            chosen.push(address);
        }
    }
    chosen.extend(others);
    chosen.truncate(MAX_ADDRESSES);
    chosen
}
