//! Life cycle of this router.

use std::marker::PhantomData;

/// Reads the configuration and the instance list; answers no caller.
#[derive(Debug)]
pub struct Starting;
/// Knows the configuration, but not yet the instances.
#[derive(Debug)]
pub struct CaughtUp;
/// Answers callers.
#[derive(Debug)]
pub struct Serving;
/// Finishes what it has and takes nothing new.
#[derive(Debug)]
pub struct Leaving;

/// The life of this router at stage `S`; only the listed transitions exist.
#[derive(Debug)]
pub struct Life<S> {
    stage: PhantomData<S>,
}

impl Life<Starting> {
    /// Creates the life of a router that has just started.
    pub fn new() -> Self {
        Life::at()
    }

    /// The configuration is known.
    pub fn caught_up(self) -> Life<CaughtUp> {
        Life::at()
    }
}

impl Default for Life<Starting> {
    fn default() -> Self {
        Life::new()
    }
}

impl Life<CaughtUp> {
    /// The instances are known.
    pub fn serve(self) -> Life<Serving> {
        Life::at()
    }
}

impl Life<Serving> {
    /// The router was asked to stop.
    pub fn leave(self) -> Life<Leaving> {
        Life::at()
    }
}

impl<S> Life<S> {
    fn at() -> Self {
        Life { stage: PhantomData }
    }

    /// Gives up before serving, or a second time.
    pub fn abandon(self) -> Life<Leaving> {
        Life::at()
    }
}

/// The life at whichever stage it has reached, for storage.
#[derive(Debug)]
pub enum Phase {
    /// See [`Starting`].
    Starting(Life<Starting>),
    /// See [`CaughtUp`].
    CaughtUp(Life<CaughtUp>),
    /// See [`Serving`].
    Serving(Life<Serving>),
    /// See [`Leaving`].
    Leaving(Life<Leaving>),
}

impl Phase {
    /// Returns the phase after the configuration has become known.
    #[must_use]
    pub fn config_known(self) -> Phase {
        match self {
            Phase::Starting(life) => Phase::CaughtUp(life.caught_up()),
            other => other,
        }
    }

    /// Returns the phase after the instances have become known.
    #[must_use]
    pub fn instances_known(self) -> Phase {
        match self {
            Phase::CaughtUp(life) => Phase::Serving(life.serve()),
            other => other,
        }
    }

    /// Returns the phase after a request to stop.
    #[must_use]
    pub fn stop(self) -> Phase {
        match self {
            Phase::Serving(life) => Phase::Leaving(life.leave()),
            Phase::Starting(life) => Phase::Leaving(life.abandon()),
            Phase::CaughtUp(life) => Phase::Leaving(life.abandon()),
            Phase::Leaving(life) => Phase::Leaving(life),
        }
    }

    /// Returns the name used in the state dump.
    pub fn as_str(&self) -> &'static str {
        match self {
            Phase::Starting(_) => "starting",
            Phase::CaughtUp(_) => "caught_up",
            Phase::Serving(_) => "serving",
            Phase::Leaving(_) => "leaving",
        }
    }
}
