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
pub struct Lifecycle<S> {
    stage: PhantomData<S>,
}

impl Lifecycle<Starting> {
    /// Creates the life of a router that has just started.
    pub fn new() -> Self {
        Lifecycle::at()
    }

    /// The configuration is known.
    pub fn caught_up(self) -> Lifecycle<CaughtUp> {
        Lifecycle::at()
    }
}

impl Default for Lifecycle<Starting> {
    fn default() -> Self {
        Lifecycle::new()
    }
}

impl Lifecycle<CaughtUp> {
    /// The instances are known.
    pub fn serve(self) -> Lifecycle<Serving> {
        Lifecycle::at()
    }
}

impl Lifecycle<Serving> {
    /// The router was asked to stop.
    pub fn leave(self) -> Lifecycle<Leaving> {
        Lifecycle::at()
    }
}

impl<S> Lifecycle<S> {
    fn at() -> Self {
        Lifecycle { stage: PhantomData }
    }

    /// Gives up before serving, or a second time.
    pub fn abort(self) -> Lifecycle<Leaving> {
        Lifecycle::at()
    }
}

/// The life at whichever stage it has reached, for storage.
#[derive(Debug)]
pub enum LifecyclePhase {
    /// See [`Starting`].
    Starting(Lifecycle<Starting>),
    /// See [`CaughtUp`].
    CaughtUp(Lifecycle<CaughtUp>),
    /// See [`Serving`].
    Serving(Lifecycle<Serving>),
    /// See [`Leaving`].
    Leaving(Lifecycle<Leaving>),
}

impl LifecyclePhase {
    /// Returns the phase after the configuration has become known.
    #[must_use]
    pub fn config_known(self) -> LifecyclePhase {
        match self {
            LifecyclePhase::Starting(life) => LifecyclePhase::CaughtUp(life.caught_up()),
            other => other,
        }
    }

    /// Returns the phase after the instances have become known.
    #[must_use]
    pub fn instances_known(self) -> LifecyclePhase {
        match self {
            LifecyclePhase::CaughtUp(life) => LifecyclePhase::Serving(life.serve()),
            other => other,
        }
    }

    /// Returns the phase after a request to stop.
    #[must_use]
    pub fn stop(self) -> LifecyclePhase {
        match self {
            LifecyclePhase::Serving(life) => LifecyclePhase::Leaving(life.leave()),
            LifecyclePhase::Starting(life) => LifecyclePhase::Leaving(life.abort()),
            LifecyclePhase::CaughtUp(life) => LifecyclePhase::Leaving(life.abort()),
            LifecyclePhase::Leaving(life) => LifecyclePhase::Leaving(life),
        }
    }

    /// Returns the name used in the state dump.
    pub fn as_str(&self) -> &'static str {
        match self {
            LifecyclePhase::Starting(_) => "starting",
            LifecyclePhase::CaughtUp(_) => "caught_up",
            LifecyclePhase::Serving(_) => "serving",
            LifecyclePhase::Leaving(_) => "leaving",
        }
    }
}
