//! The rank of a request among those that want the same room.

use crate::{Instant, TeamName};

/// What decides the order in which requests get room; it is set once, after routing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rank {
    /// Urgency of the team, or else of the route; 0 is the most urgent.
    pub urgency: u8,
    /// Team of the caller, if it is known.
    pub team: Option<TeamName>,
    /// Time at which the final response is due.
    ///
    /// A caller that returns names what is left of its time, so that it precedes new requests of its
    /// urgency.
    pub deadline: Option<Instant>,
}
