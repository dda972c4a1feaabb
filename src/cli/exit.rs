//! Failures of a command and their exit statuses.

use std::process::ExitCode;

use crate::{Category, Error, Verdict};

/// The reason why a command failed, which determines its exit status.
#[derive(Debug)]
pub(super) enum Failure {
    /// A request or local operation failed.
    Error(Error),
    /// The plan was rejected because it conflicts with an earlier change.
    Rejected(String),
    /// The change was accepted, but not applied by every live router in time.
    NotAppliedInTime(String),
}

impl From<Error> for Failure {
    fn from(err: Error) -> Self {
        Failure::Error(err)
    }
}

impl Failure {
    /// Returns the message to print.
    pub(super) fn message(&self) -> &str {
        match self {
            Failure::Error(err) => err.message(),
            Failure::Rejected(message) | Failure::NotAppliedInTime(message) => message,
        }
    }

    /// Returns the exit status, which is part of the command line's interface.
    pub(super) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Error(err) => status(err),
            Failure::Rejected(_) => 4,
            Failure::NotAppliedInTime(_) => 6,
        })
    }
}

/// Returns the exit status for an error.
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
