//! Ebonyspur is a fleet of routers between callers and model engines.
//!
//! A caller asks any router which address to use ([`lookup`]), connects there and sends
//! a request. The router admits it ([`admission`]), chooses an engine that still caches
//! the chat's prefix ([`placement`]) and is below its load bound ([`steward`]), and
//! carries the whole answer back ([`relay`]). A call that must not be repeated is
//! claimed through the platform's log before it runs ([`once`]). Routers learn of each
//! other and of the engines by [`membership`], and share the configuration as a fold of
//! a log stream ([`config`]).
//!
//! On a platform with protocols of its own, an adapter decodes them and uses the slices
//! that do not depend on the product's: [`forward`] carries requests, [`routes`] and
//! [`catalog`] hold what the platform's store says, [`feed`] spreads it, and [`presence`]
//! keeps the routers in touch.
//!
//! Every decision is a plain function of its arguments, the time included, so that it
//! can be tested without a network. Tasks read sockets and clocks and call the
//! decisions.
//!
//! # Examples
//!
//! Which engine serves a chat is decided by rendezvous hashing, the same at every router:
//!
//! ```
//! let engines = ["engine-1", "engine-2", "engine-3"];
//! let ranked = ebonyspur::placement::rendezvous_order("chat-7", &engines, |name| name);
//! assert_eq!(ranked.len(), 3);
//! assert_eq!(ranked, ebonyspur::placement::rendezvous_order("chat-7", &engines, |name| name));
//! ```

#![warn(missing_docs)]

pub mod admission;
pub mod catalog;
pub mod cli;
pub mod config;
mod error;
pub mod feed;
pub mod forward;
mod http;
mod id;
pub mod infra;
pub mod inspect;
pub mod intent;
pub mod lease;
pub mod lookup;
pub mod membership;
pub mod once;
pub mod orders;
pub mod peer;
pub mod placement;
pub mod presence;
pub mod relay;
mod router;
pub mod routes;
pub mod steward;
mod sync;
mod time;
mod verdict;

pub use self::{
    config::Settings,
    error::{Category, Error, Result},
    id::{
        CallKey, ChatId, DomainName, EngineName, Incarnation, Offset, PoolName, RequestId,
        RouterName, ServiceName, TeamName, VersionName, MAX_NAME_LEN,
    },
    router::Router,
    time::{Clock, Instant, UnixMillis},
    verdict::Verdict,
};
