//! The backend servers that take requests, as the platform's server list names them.
//!
//! The list can be wrong for a while after an outage: entries expire although their servers
//! are running. [`ServerRegistry`] delays removals until servers have had time to register
//! again; [`Departures`] has those that announced in their responses that they leave;
//! [`Catalog`] holds the servers among which requests are placed, [`ServerLoads`] the loads that they
//! report, and [`WarmUps`] those that are cold.

mod departures;
mod registry;
mod reported_load;
mod server;
mod server_loads;
mod state;
mod warm_ups;

pub use self::{
    departures::{DepartureReport, Departures},
    registry::{ServerChange, ServerRegistry},
    reported_load::{LoadReport, ReportedLoad, Slowness},
    server::{Server, ServerKey},
    server_loads::{KnownLoad, ServerLoads, SlownessReport},
    state::Catalog,
    warm_ups::{Cold, ColdTime, WarmUpReport, WarmUps},
};
