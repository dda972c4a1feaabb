//! Which backend servers take work, as the platform lists them.
//!
//! A listing can be wrong for a while after an outage of the list: entries lapse though
//! their servers live. [`ServerRegistry`] holds removals back until servers have had time to
//! register again; [`Catalog`] is what requests are placed by.

mod registry;
mod server;
mod state;

pub use self::{
    registry::{ServerChange, ServerRegistry},
    server::{Server, ServerKey},
    state::Catalog,
};
