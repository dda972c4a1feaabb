//! Which backend servers take work, as the platform lists them.
//!
//! A listing can be wrong for a while after an outage of the list: entries lapse though
//! their servers live. [`Keeper`] holds removals back until servers have had time to
//! register again; [`Catalog`] is what requests are placed by.

mod keeper;
mod server;
mod state;

pub use self::{
    keeper::{Keeper, Listed},
    server::{Server, ServerKey},
    state::Catalog,
};
