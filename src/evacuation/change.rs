//! Evacuations that begin and end.

use crate::DomainName;

/// State of one failure domain in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The operator asks to evacuate the domain.
    Begun(DomainName),
    /// The operator has taken the evacuation back.
    Ended(DomainName),
    /// The record of the domain cannot be read, so that what is known of the domain stays.
    Unreadable(DomainName),
}

/// Result of a read of the operator's evacuations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationsRead {
    /// Evacuations that begin or end, in the order in which they were written.
    pub changes: Vec<EvacuationChange>,
    /// Whether the list is complete, so that domains not among the changes are not evacuated.
    pub is_complete: bool,
}

/// Difference that a read or a report makes to what is known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationDelta {
    /// Domains that are evacuated from now on.
    pub begun: Vec<DomainName>,
    /// Domains that are no longer evacuated.
    pub ended: Vec<DomainName>,
    /// Domains that stay evacuated although a store that came back from a copy does not list them.
    pub doubted: Vec<DomainName>,
    /// Such domains that the store lists again.
    pub confirmed: Vec<DomainName>,
}

impl EvacuationDelta {
    /// Returns whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        let all = [&self.begun, &self.ended, &self.doubted, &self.confirmed];
        all.iter().all(|domains| domains.is_empty())
    }
}
