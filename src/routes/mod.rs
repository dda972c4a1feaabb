//! The route table, which assigns a pool, limits and a team to each request.
//!
//! A table is only replaced as a whole, and by a newer version, so the order in which tables
//! arrive does not matter. This holds until the router restarts.

mod route;
mod state;
mod table;

pub use self::{
    route::{Route, RouteKind, Target},
    state::ActiveRoutes,
    table::{CallerLimits, PoolSettings, RouteTable, TableBuilder, Team, WarmUp},
};
