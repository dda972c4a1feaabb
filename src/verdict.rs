//! The answer to "may this request have run?", carried by every error.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request, under its key, may have been executed.
///
/// A verdict speaks of the request, not of one attempt at it: [`Verdict::NotRun`]
/// is given only when no attempt has run and none can still run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No attempt has run or can still run.
    #[default]
    NotRun,
    /// An attempt may have run, or may yet run.
    MayHaveRun,
    /// An attempt has run.
    Ran,
}

impl Verdict {
    /// Returns the wire form, as sent in the `Ebonyspur-Verdict` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }

    /// Returns the weaker claim of the two: the one nearer to having run.
    #[must_use]
    pub fn or(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
