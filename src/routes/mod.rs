//! Which pool, limits and team a request gets: the route table in force.
//!
//! A table is replaced whole and its version never goes back within one life of a
//! router, whatever order tables arrive in.

mod route;
mod state;
mod table;

pub use self::{
    route::{Route, RouteKind, Target},
    state::ActiveRoutes,
    table::{CallerLimits, PoolSettings, RouteTable, TableBuilder, Team},
};
