//! Failures of a command and their exit statuses.

use std::process::ExitCode;

use crate::{Category, Error, Verdict};

/// Why a command failed; the statuses are part of the command line's interface.
#[derive(Debug)]
pub(super) enum Failure {
    /// A step failed.
    Error(Error),
    /// The fold rejected the plan.
    Rejected(String),
    /// The change is accepted, but not in force everywhere in time.
    NotAppliedInTime(String),
}

impl From<Error> for Failure {
    fn from(err: Error) -> Self {
        Failure::Error(err)
    }
}

impl Failure {
    /// Returns the text for people.
    pub(super) fn message(&self) -> &str {
        match self {
            Failure::Error(err) => err.message(),
            Failure::Rejected(message) | Failure::NotAppliedInTime(message) => message,
        }
    }

    /// Returns the exit status.
    pub(super) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Error(err) => status(err),
            Failure::Rejected(_) => 4,
            Failure::NotAppliedInTime(_) => 6,
        })
    }
}

fn status(err: &Error) -> u8 {
    if err.verdict() != Verdict::NotRun {
        return 5;
    }
    match err.classify() {
        Category::Conflict | Category::NotFound | Category::BadInput => 3,
        Category::Unauthorized => 7,
        Category::Unavailable | Category::NotServing | Category::LogUnavailable => 8,
        _ => 1,
    }
}
