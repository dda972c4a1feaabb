//! The load that a server reports in its responses.

use serde::{Deserialize, Serialize};

/// Lowest slowness that counts, in percent; a server that claims less draws no more work than this.
const MIN_SLOWNESS_PERCENT: u16 = 25;

/// Highest slowness that counts, in percent.
const MAX_SLOWNESS_PERCENT: u16 = 10_000;

/// How long work takes at a server at present, relative to its usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slowness {
    percent: u16,
}

impl Slowness {
    /// The slowness of a server at which work takes its usual time.
    pub const USUAL: Slowness = Slowness { percent: 100 };

    /// Returns the slowness of `percent`, limited to the range that counts.
    pub fn from_percent(percent: u32) -> Self {
        let percent = u16::try_from(percent).unwrap_or(u16::MAX);
        Slowness {
            percent: percent.clamp(MIN_SLOWNESS_PERCENT, MAX_SLOWNESS_PERCENT),
        }
    }

    /// Returns the multiple of the usual time that work takes.
    pub fn factor(self) -> f64 {
        // One that was decoded from a datagram may be out of range.
        let percent = self
            .percent
            .clamp(MIN_SLOWNESS_PERCENT, MAX_SLOWNESS_PERCENT);
        f64::from(percent) / 100.0
    }
}

/// Load of a server, summed over all routers, as the server itself reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests that the server runs.
    pub running: u32,
    /// Number of requests that wait at the server for a slot.
    pub waiting: u32,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// How long work takes at present, if the server says so.
    pub slowness: Option<Slowness>,
}

/// What a response says about the load of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LoadReport {
    /// The response says nothing.
    #[default]
    Absent,
    /// The response has a report that cannot be read.
    Malformed,
    /// The response reports this load.
    Load(ReportedLoad),
}
