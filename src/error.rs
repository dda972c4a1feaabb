//! The error type of the crate and its classification.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::Verdict;

/// Alias for a `Result` with the error type [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failure, with its category and the verdict on whether the request may have run.
///
/// # Examples
///
/// ```
/// use ebonyspur::{Category, Error, Verdict};
///
/// let err = Error::not_run(Category::Overloaded, "every engine is at its bound");
/// assert_eq!(err.classify(), Category::Overloaded);
/// assert_eq!(err.verdict(), Verdict::NotRun);
/// ```
#[derive(Debug, Snafu)]
#[snafu(display("{}: {}", inner.category, inner.message))]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Debug)]
struct Inner {
    category: Category,
    verdict: Verdict,
    message: String,
    retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error of `category` with the given verdict.
    pub fn new(category: Category, verdict: Verdict, message: impl Into<String>) -> Self {
        Error {
            inner: Box::new(Inner {
                category,
                verdict,
                message: message.into(),
                retry_after: None,
            }),
        }
    }

    /// Creates an error for a request that has not run and will not run.
    pub fn not_run(category: Category, message: impl Into<String>) -> Self {
        Error::new(category, Verdict::NotRun, message)
    }

    /// Creates an error for a request that may have run.
    pub fn may_have_run(category: Category, message: impl Into<String>) -> Self {
        Error::new(category, Verdict::MayHaveRun, message)
    }

    /// Sets how long the caller should wait before it retries.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.inner.retry_after = Some(delay);
        self
    }

    /// Raises the verdict to `verdict` if that is nearer to [`Verdict::Ran`].
    #[must_use]
    pub fn with_verdict_at_least(mut self, verdict: Verdict) -> Self {
        self.inner.verdict = self.inner.verdict.strongest(verdict);
        self
    }

    /// Returns the category of this error.
    pub fn classify(&self) -> Category {
        self.inner.category
    }

    /// Returns the verdict on whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.inner.verdict
    }

    /// Returns the human-readable message.
    pub fn message(&self) -> &str {
        &self.inner.message
    }

    /// Returns how long the caller should wait before it retries, if that is set.
    pub fn retry_after(&self) -> Option<Duration> {
        self.inner.retry_after
    }
}

/// The kind of a failure, on which a program can act.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Category {
    /// The request is malformed.
    BadInput,
    /// The request or a part of it is larger than allowed.
    TooLarge,
    /// The credentials are missing or wrong.
    Unauthorized,
    /// The team, service or other object does not exist.
    NotFound,
    /// The request conflicts with another one.
    Conflict,
    /// Every engine that could serve the request is at its load bound, or the queue is full.
    Overloaded,
    /// The retry budget of the team is spent.
    RetryBudget,
    /// The request has crashed engines and is quarantined: it is not run again.
    Quarantined,
    /// No live engine or server can serve the service.
    Unavailable,
    /// This router takes no requests because it is starting, leaving or isolated.
    NotServing,
    /// The log service cannot be reached.
    LogUnavailable,
    /// The key of an at-most-once call is too old to determine whether the call has run, or the
    /// log service no longer keeps the requested records.
    KeyExpired,
    /// The backend server failed or broke its protocol.
    Backend,
    /// The connection to the backend server closed before the answer was complete.
    Cut,
    /// A timeout expired before the answer arrived.
    Timeout,
    /// The settings of the process are invalid.
    Settings,
    /// A peer or a service of the platform broke its protocol.
    Protocol,
    /// An operation of the operating system failed.
    Io,
    /// This program failed, by a fault of its own.
    Internal,
}

impl Category {
    /// Returns the name used in answers, logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Category::BadInput => "bad_input",
            Category::TooLarge => "too_large",
            Category::Unauthorized => "unauthorized",
            Category::NotFound => "not_found",
            Category::Conflict => "conflict",
            Category::Overloaded => "overloaded",
            Category::RetryBudget => "retry_budget",
            Category::Quarantined => "quarantined",
            Category::Unavailable => "unavailable",
            Category::NotServing => "not_serving",
            Category::LogUnavailable => "log_unavailable",
            Category::KeyExpired => "key_expired",
            Category::Backend => "backend",
            Category::Cut => "cut",
            Category::Timeout => "timeout",
            Category::Settings => "settings",
            Category::Protocol => "protocol",
            Category::Io => "io",
            Category::Internal => "internal",
        }
    }
}

impl fmt::Display for Category {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl From<std::io::Error> for Error {
    fn from(err: std::io::Error) -> Self {
        Error::not_run(Category::Io, err.to_string())
    }
}
