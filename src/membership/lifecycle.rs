//! Life cycle of this router.

use std::marker::PhantomData;

/// Stage that reads the configuration and the instance list, and answers no caller.
#[derive(Debug)]
pub struct Starting;
/// Stage that has read the configuration, but not yet the instance list.
#[derive(Debug)]
pub struct CaughtUp;
/// Stage that answers callers.
#[derive(Debug)]
pub struct Serving;
/// Stage that finishes the requests in flight and takes no new ones.
#[derive(Debug)]
pub struct Leaving;

/// Life cycle of this router at stage `S`; each stage has only the transitions it allows.
#[derive(Debug)]
pub struct Lifecycle<S> {
    stage: PhantomData<S>,
}

impl Lifecycle<Starting> {
    /// Creates the life cycle of a router that has just started.
    pub fn new() -> Self {
        Lifecycle::in_stage()
    }

    /// Moves on after the configuration has been read.
    pub fn caught_up(self) -> Lifecycle<CaughtUp> {
        Lifecycle::in_stage()
    }
}

impl Default for Lifecycle<Starting> {
    fn default() -> Self {
        Lifecycle::new()
    }
}

impl Lifecycle<CaughtUp> {
    /// Moves on after the instance list has been read.
    pub fn serve(self) -> Lifecycle<Serving> {
        Lifecycle::in_stage()
    }
}

impl Lifecycle<Serving> {
    /// Moves on after a request to stop.
    pub fn leave(self) -> Lifecycle<Leaving> {
        Lifecycle::in_stage()
    }
}

impl<S> Lifecycle<S> {
    fn in_stage() -> Self {
        Lifecycle { stage: PhantomData }
    }

    /// Leaves from any stage, also without having served.
    pub fn abort(self) -> Lifecycle<Leaving> {
        Lifecycle::in_stage()
    }
}

/// The life cycle at any of its stages, for storage in one field.
#[derive(Debug)]
pub enum LifecyclePhase {
    /// The router reads the configuration and the instance list, and answers no caller.
    Starting(Lifecycle<Starting>),
    /// The router has read the configuration, but not yet the instance list.
    CaughtUp(Lifecycle<CaughtUp>),
    /// The router answers callers.
    Serving(Lifecycle<Serving>),
    /// The router finishes the requests in flight and takes no new ones.
    Leaving(Lifecycle<Leaving>),
}

impl LifecyclePhase {
    /// Returns the phase after the configuration has been read.
    #[must_use]
    pub fn config_known(self) -> LifecyclePhase {
        match self {
            LifecyclePhase::Starting(lifecycle) => LifecyclePhase::CaughtUp(lifecycle.caught_up()),
            other => other,
        }
    }

    /// Returns the phase after the instance list has been read.
    #[must_use]
    pub fn instances_known(self) -> LifecyclePhase {
        match self {
            LifecyclePhase::CaughtUp(lifecycle) => LifecyclePhase::Serving(lifecycle.serve()),
            other => other,
        }
    }

    /// Returns the phase after a request to stop.
    #[must_use]
    pub fn stop(self) -> LifecyclePhase {
        match self {
            LifecyclePhase::Serving(lifecycle) => LifecyclePhase::Leaving(lifecycle.leave()),
            LifecyclePhase::Starting(lifecycle) => LifecyclePhase::Leaving(lifecycle.abort()),
            LifecyclePhase::CaughtUp(lifecycle) => LifecyclePhase::Leaving(lifecycle.abort()),
            LifecyclePhase::Leaving(lifecycle) => LifecyclePhase::Leaving(lifecycle),
        }
    }

    /// Returns the name of the phase in state dumps.
    pub fn as_str(&self) -> &'static str {
        match self {
            LifecyclePhase::Starting(_) => "starting",
            LifecyclePhase::CaughtUp(_) => "caught_up",
            LifecyclePhase::Serving(_) => "serving",
            LifecyclePhase::Leaving(_) => "leaving",
        }
    }
}
