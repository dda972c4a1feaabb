//! The backend servers that take requests, as the platform's server list names them.
//!
//! The list can be wrong for a while after an outage: entries expire although their servers
//! are running. [`ServerRegistry`] delays removals until servers have had time to register
//! again; [`Catalog`] holds the servers among which requests are placed.

mod registry;
mod server;
mod state;

pub use self::{
    registry::{ServerChange, ServerRegistry},
    server::{Server, ServerKey},
    state::Catalog,
};
