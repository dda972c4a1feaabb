//! Life cycle of a stewardship as a typestate.

use std::time::Duration;

use super::{
    grant_ledger::{MAX_DISPATCH_DELAY, MAX_REPORT_AGE},
    GrantHolder, GrantLedger, GrantReply, HandOver,
};
use crate::{admission::CrashRisk, Instant, RouterName};

/// Minimum time between handing a stewardship over and reclaiming it.
pub const MIN_RECLAIM_DELAY: Duration = Duration::from_secs(5);

/// Stage in which the work on the engine is not fully known yet.
#[derive(Debug)]
pub struct TakingOver {
    since: Instant,
    has_report: bool,
}

/// Stage in which the ledger covers all work on the engine.
#[derive(Debug)]
pub struct Settled;

/// Stage in which another router takes over, and this one grants no slots.
#[derive(Debug)]
pub struct Leaving {
    since: Instant,
    complete: bool,
}

/// The stewardship of one engine at stage `S`.
#[derive(Debug)]
pub struct Stewardship<S> {
    ledger: GrantLedger,
    stage: S,
}

impl Stewardship<TakingOver> {
    /// Starts a takeover.
    pub fn new(ledger: GrantLedger, now: Instant) -> Self {
        let stage = TakingOver {
            since: now,
            has_report: false,
        };
        Stewardship { ledger, stage }
    }

    /// Grants a slot while the work granted or reported is below the bound.
    ///
    /// Nothing is granted before the first load report.
    pub fn grant(
        &mut self,
        holder: GrantHolder,
        crash_risk: CrashRisk,
        bound: u32,
        now: Instant,
    ) -> GrantReply {
        if !self.stage.has_report {
            return GrantReply::Full;
        }
        self.ledger.grant(holder, crash_risk, bound, now)
    }

    /// Records a load report; one that covers all work before the takeover ends the stage.
    pub fn record_load_report(mut self, in_flight: u32, now: Instant) -> StewardshipStage {
        self.stage.has_report = true;
        self.ledger.record_initial_load(in_flight, now);
        let covers_takeover = now >= self.stage.since + MAX_REPORT_AGE + MAX_DISPATCH_DELAY;
        if covers_takeover {
            return StewardshipStage::Settled(self.settle());
        }
        StewardshipStage::TakingOver(self)
    }

    /// Merges the ledger of the previous steward, which no longer grants slots.
    ///
    /// Only a complete ledger ends the takeover.
    pub fn accept_hand_over(mut self, hand_over: HandOver, now: Instant) -> StewardshipStage {
        let HandOver {
            holders,
            unattributed,
            complete,
            ..
        } = hand_over;
        self.ledger.merge(holders, unattributed, now);
        if complete {
            StewardshipStage::Settled(self.settle())
        } else {
            StewardshipStage::TakingOver(self)
        }
    }

    /// Stops granting; the ledger is not complete.
    pub fn stop_granting(self, now: Instant) -> Stewardship<Leaving> {
        self.into_leaving(false, now)
    }

    fn settle(self) -> Stewardship<Settled> {
        let stage = Settled;
        Stewardship {
            ledger: self.ledger,
            stage,
        }
    }
}

impl Stewardship<Settled> {
    /// Grants a slot below the bound.
    pub fn grant(
        &mut self,
        holder: GrantHolder,
        crash_risk: CrashRisk,
        bound: u32,
        now: Instant,
    ) -> GrantReply {
        self.ledger.grant(holder, crash_risk, bound, now)
    }

    /// Stops granting; the ledger is complete.
    pub fn stop_granting(self, now: Instant) -> Stewardship<Leaving> {
        self.into_leaving(true, now)
    }
}

impl Stewardship<Leaving> {
    /// Returns whether [`MIN_RECLAIM_DELAY`] has passed since the hand-over.
    pub fn may_reclaim(&self, now: Instant) -> bool {
        now.since(self.stage.since) >= MIN_RECLAIM_DELAY
    }

    /// Reclaims the stewardship with a new takeover.
    pub fn reclaim(self, now: Instant) -> Stewardship<TakingOver> {
        Stewardship::new(self.ledger, now)
    }
}

impl<S> Stewardship<S> {
    fn into_leaving(self, complete: bool, now: Instant) -> Stewardship<Leaving> {
        let stage = Leaving {
            since: now,
            complete,
        };
        Stewardship {
            ledger: self.ledger,
            stage,
        }
    }
}

/// A stewardship at any stage, for storage.
#[derive(Debug)]
pub enum StewardshipStage {
    /// The work on the engine is not fully known yet.
    TakingOver(Stewardship<TakingOver>),
    /// The ledger covers all work on the engine.
    Settled(Stewardship<Settled>),
    /// Another router takes over, and this one grants no slots.
    Leaving(Stewardship<Leaving>),
}

impl StewardshipStage {
    /// Returns the grant ledger.
    pub fn ledger(&self) -> &GrantLedger {
        match self {
            StewardshipStage::TakingOver(stewardship) => &stewardship.ledger,
            StewardshipStage::Settled(stewardship) => &stewardship.ledger,
            StewardshipStage::Leaving(stewardship) => &stewardship.ledger,
        }
    }

    /// Returns the grant ledger for changes.
    pub fn ledger_mut(&mut self) -> &mut GrantLedger {
        match self {
            StewardshipStage::TakingOver(stewardship) => &mut stewardship.ledger,
            StewardshipStage::Settled(stewardship) => &mut stewardship.ledger,
            StewardshipStage::Leaving(stewardship) => &mut stewardship.ledger,
        }
    }

    /// Decides on a grant according to the stage.
    pub fn grant(
        &mut self,
        holder: GrantHolder,
        crash_risk: CrashRisk,
        bound: u32,
        now: Instant,
    ) -> GrantReply {
        match self {
            StewardshipStage::TakingOver(stewardship) => {
                stewardship.grant(holder, crash_risk, bound, now)
            }
            StewardshipStage::Settled(stewardship) => {
                stewardship.grant(holder, crash_risk, bound, now)
            }
            StewardshipStage::Leaving(_) => GrantReply::NotSteward,
        }
    }

    /// Records a load report of the engine.
    #[must_use]
    pub fn record_load_report(mut self, in_flight: u32, now: Instant) -> StewardshipStage {
        if let StewardshipStage::TakingOver(stewardship) = self {
            return stewardship.record_load_report(in_flight, now);
        }
        self.ledger_mut().record_load_report(in_flight, now);
        self
    }

    /// Expires the grants of holders that are not live or not renewing.
    pub fn tick(&mut self, is_live: impl Fn(&RouterName) -> bool, now: Instant) {
        let is_gone = |holder: &GrantHolder| !is_live(&holder.router);
        self.ledger_mut().expire_holders(is_gone, now);
    }

    /// Merges the ledger of the previous steward during a takeover; later it is ignored.
    #[must_use]
    pub fn accept_hand_over(self, hand_over: HandOver, now: Instant) -> StewardshipStage {
        match self {
            StewardshipStage::TakingOver(stewardship) => {
                stewardship.accept_hand_over(hand_over, now)
            }
            other => other,
        }
    }

    /// Moves to the stage [`Leaving`].
    #[must_use]
    pub fn stop_granting(self, now: Instant) -> StewardshipStage {
        match self {
            StewardshipStage::TakingOver(stewardship) => {
                StewardshipStage::Leaving(stewardship.stop_granting(now))
            }
            StewardshipStage::Settled(stewardship) => {
                StewardshipStage::Leaving(stewardship.stop_granting(now))
            }
            StewardshipStage::Leaving(stewardship) => StewardshipStage::Leaving(stewardship),
        }
    }

    /// Starts a new takeover when [`MIN_RECLAIM_DELAY`] has passed since the hand-over.
    #[must_use]
    pub fn reclaim(self, now: Instant) -> StewardshipStage {
        match self {
            StewardshipStage::Leaving(stewardship) if stewardship.may_reclaim(now) => {
                StewardshipStage::TakingOver(stewardship.reclaim(now))
            }
            other => other,
        }
    }

    /// Returns whether the ledger covers all work on the engine.
    pub fn is_complete(&self) -> bool {
        match self {
            StewardshipStage::TakingOver(_) => false,
            StewardshipStage::Settled(_) => true,
            StewardshipStage::Leaving(stewardship) => stewardship.stage.complete,
        }
    }

    /// Returns whether the stage may grant slots.
    pub fn is_granting(&self) -> bool {
        !matches!(self, StewardshipStage::Leaving(_))
    }

    /// Returns the name of the stage in the state dump.
    pub fn as_str(&self) -> &'static str {
        match self {
            StewardshipStage::TakingOver(_) => "taking_over",
            StewardshipStage::Settled(_) => "settled",
            StewardshipStage::Leaving(_) => "leaving",
        }
    }
}
