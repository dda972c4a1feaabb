//! Decides which requests get in, and which of those that wait goes next.
//!
//! A request that finds no engine below its bound waits in the [`Queue`] of its pool at
//! the router that holds it. The queue is bounded in length and time, and fair between
//! teams. Only the request that is due asks the stewards for slots, so that a full pool
//! costs the same few calls a second however many requests wait.

mod budget;
mod line;
mod message;
mod quarantine;
mod queue;
mod seeker;
mod shared;
mod state;
mod trial;
mod watch;

pub(crate) use self::quarantine::convicted;
pub use self::{
    budget::{retry_delay, RetryBudget},
    line::{Lines, Waiter},
    message::{AccuseRequest, BeginTrial, EndTrial, SuspectRecord, SuspectsRequest, TrialAnswer},
    quarantine::{Crash, Fingerprint, Quarantine, Suspects, Trust, MAX_SUSPECTS},
    queue::{Applicant, Enqueued, Queue, QueueFull, WaitId, MAX_WAITING, MAX_WAITING_PER_TEAM},
    seeker::{Seeker, Seekers},
    shared::{RetryAllowance, SharedRetries, ASSUMED_ROUTERS},
    state::{Admission, Class, Permit, MAX_TEAMS},
    trial::{
        Copies, OneCopy, Proven, TrialHolder, TrialReply, Trials, MAX_PROVEN, MAX_TRIALS,
        TRIAL_TIME,
    },
    watch::{Watched, MAX_WATCHED, WATCH_TIME},
};
