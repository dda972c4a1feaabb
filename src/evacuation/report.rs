//! Reports of evacuations between routers.

use serde::{Deserialize, Serialize};

use crate::{feed::Position, DomainName};

/// Version of the evacuations that one router knows; a later one knows more.
///
/// Of routers with equal positions, the one with more domains knows one that a restored store may
/// have forgotten.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct EvacuationsVersion {
    /// Position in the store before which all changes are included.
    pub position: Position,
    /// Number of evacuated domains.
    pub domains: u32,
}

/// Evacuations as one router knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Position in the store before which all changes are included.
    pub position: Position,
    /// Evacuated domains.
    pub in_force: Vec<ReportedEvacuation>,
    /// Domains whose evacuation has ended lately.
    pub ended: Vec<EndedEvacuation>,
}

/// An evacuated domain in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEvacuation {
    /// The domain.
    pub domain: DomainName,
    /// If a store that came back from a copy does not list the domain, the time until the
    /// evacuation ends unless it is written again, in milliseconds.
    pub doubt_millis: Option<u64>,
}

/// A domain in a report whose evacuation has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedEvacuation {
    /// The domain.
    pub domain: DomainName,
    /// Time since the end of the evacuation, in milliseconds.
    pub elapsed_millis: u64,
}
