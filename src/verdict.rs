//! The verdict on whether a request may have run, which every error carries.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request may have run, under any of its attempts.
///
/// A verdict applies to the request under its key, not to one attempt: an error carries
/// [`Verdict::NotRun`] only when no attempt has run and none can still run.
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

    /// Returns whichever of the two verdicts is nearer to [`Verdict::Ran`].
    #[must_use]
    pub fn strongest(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
