//! Failure domains to whose servers nothing more is sent, as the operator asks.
//!
//! [`EvacuationRegistry`] decides from reads of the store and from the reports of other routers
//! which domains these are; [`Evacuations`] holds them for the requests. Streams that run in an
//! evacuated domain go on.

mod change;
mod registry;
mod report;
mod state;

pub use self::{
    change::{EvacuationChange, EvacuationDelta, EvacuationsRead},
    registry::EvacuationRegistry,
    report::{EndedEvacuation, EvacuationReport, EvacuationsVersion, ReportedEvacuation},
    state::Evacuations,
};
