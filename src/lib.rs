//! Ebonyspur is a fleet of routers between callers and model engines.
//!
//! A caller asks any router which address to use ([`lookup`]), connects to that address and
//! sends a request. The router admits it ([`admission`]), chooses an engine that still
//! caches the chat's prompt prefix ([`placement`]) and is below its load bound ([`steward`]),
//! and forwards the whole answer to the caller ([`relay`]). An at-most-once call is claimed
//! in the platform's log before it runs ([`once`]). Routers discover each other and the
//! engines through [`membership`], and share the configuration as a fold of a log stream
//! ([`config`]).
//!
//! On a platform with its own protocols, an adapter decodes those protocols and uses the
//! slices that do not depend on Ebonyspur's: [`forward`] forwards requests, [`routes`] and
//! [`catalog`] hold the configuration and the servers from the platform's store, [`evacuation`]
//! the failure domains that get nothing more, [`feed`] distributes them between routers, and [`presence`] exchanges the liveness and loads of
//! routers.
//!
//! Every decision is a plain function of its arguments, including the time, so that it
//! can be tested without a network. Tasks read sockets and clocks and call these functions.
//!
//! # Examples
//!
//! Rendezvous hashing ranks the engines for a chat in the same order at every router:
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
pub mod evacuation;
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
pub mod memory;
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
pub mod tasks;
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
