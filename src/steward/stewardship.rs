//! Life cycle of a stewardship.

use std::time::Duration;

use super::{
    grant_ledger::{MAX_DISPATCH_DELAY, MAX_REPORT_AGE},
    GrantHolder, GrantLedger, GrantReply, HandOver,
};
use crate::{admission::CrashRisk, Instant, RouterName};

/// How long a router that has handed a stewardship over does not take it back.
pub const MIN_RECLAIM_DELAY: Duration = Duration::from_secs(5);

/// The load of the engine is not fully known yet.
#[derive(Debug)]
pub struct TakingOver {
    since: Instant,
    reported: bool,
}

/// All work on the engine is accounted for.
#[derive(Debug)]
pub struct Settled;

/// Another router has taken over, or will; nothing is granted.
#[derive(Debug)]
pub struct Leaving {
    since: Instant,
    complete: bool,
}

/// The stewardship of one engine at stage `S`.
#[derive(Debug)]
pub struct Stewardship<S> {
    book: GrantLedger,
    stage: S,
}

impl Stewardship<TakingOver> {
    /// Starts to take over.
    pub fn new(book: GrantLedger, now: Instant) -> Self {
        let stage = TakingOver {
            since: now,
            reported: false,
        };
        Stewardship { book, stage }
    }

    /// Grants below the bound less what the engine has reported; nothing before a report.
    pub fn grant(
        &mut self,
        holder: GrantHolder,
        trust: CrashRisk,
        bound: u32,
        now: Instant,
    ) -> GrantReply {
        if !self.stage.reported {
            return GrantReply::Full;
        }
        self.book.grant(holder, trust, bound, now)
    }

    /// Takes a report; one that was made after the take-over ends it.
    pub fn record_load_report(mut self, in_flight: u32, now: Instant) -> StewardshipStage {
        self.stage.reported = true;
        self.book.record_initial_load(in_flight, now);
        let covers = now >= self.stage.since + MAX_REPORT_AGE + MAX_DISPATCH_DELAY;
        if covers {
            return StewardshipStage::Settled(self.settle());
        }
        StewardshipStage::TakingOver(self)
    }

    /// Takes the hand-over of the last steward, which grants no more.
    ///
    /// A book that is not complete itself does not end the take-over.
    pub fn accept_hand_over(mut self, hand_over: HandOver, now: Instant) -> StewardshipStage {
        let HandOver {
            holders,
            unattributed,
            complete,
            ..
        } = hand_over;
        self.book.merge(holders, unattributed, now);
        if complete {
            StewardshipStage::Settled(self.settle())
        } else {
            StewardshipStage::TakingOver(self)
        }
    }

    /// Stops granting; the book is not complete.
    pub fn stop_granting(self, now: Instant) -> Stewardship<Leaving> {
        self.leave_with(false, now)
    }

    fn settle(self) -> Stewardship<Settled> {
        let stage = Settled;
        Stewardship {
            book: self.book,
            stage,
        }
    }
}

impl Stewardship<Settled> {
    /// Grants below the bound.
    pub fn grant(
        &mut self,
        holder: GrantHolder,
        trust: CrashRisk,
        bound: u32,
        now: Instant,
    ) -> GrantReply {
        self.book.grant(holder, trust, bound, now)
    }

    /// Stops granting; the book is complete.
    pub fn stop_granting(self, now: Instant) -> Stewardship<Leaving> {
        self.leave_with(true, now)
    }
}

impl Stewardship<Leaving> {
    /// Returns whether the stewardship may be taken back.
    pub fn may_reclaim(&self, now: Instant) -> bool {
        now.since(self.stage.since) >= MIN_RECLAIM_DELAY
    }

    /// Takes the stewardship back.
    pub fn reclaim(self, now: Instant) -> Stewardship<TakingOver> {
        Stewardship::new(self.book, now)
    }
}

impl<S> Stewardship<S> {
    fn leave_with(self, complete: bool, now: Instant) -> Stewardship<Leaving> {
        let stage = Leaving {
            since: now,
            complete,
        };
        Stewardship {
            book: self.book,
            stage,
        }
    }
}

/// A stewardship at whichever stage it has reached, for storage.
#[derive(Debug)]
pub enum StewardshipStage {
    /// See [`TakingOver`].
    TakingOver(Stewardship<TakingOver>),
    /// See [`Settled`].
    Settled(Stewardship<Settled>),
    /// See [`Leaving`].
    Leaving(Stewardship<Leaving>),
}

impl StewardshipStage {
    /// Returns the book.
    pub fn ledger(&self) -> &GrantLedger {
        match self {
            StewardshipStage::TakingOver(stewardship) => &stewardship.book,
            StewardshipStage::Settled(stewardship) => &stewardship.book,
            StewardshipStage::Leaving(stewardship) => &stewardship.book,
        }
    }

    /// Returns the book to change it.
    pub fn ledger_mut(&mut self) -> &mut GrantLedger {
        match self {
            StewardshipStage::TakingOver(stewardship) => &mut stewardship.book,
            StewardshipStage::Settled(stewardship) => &mut stewardship.book,
            StewardshipStage::Leaving(stewardship) => &mut stewardship.book,
        }
    }

    /// Grants a slot as the stage allows.
    pub fn grant(
        &mut self,
        holder: GrantHolder,
        trust: CrashRisk,
        bound: u32,
        now: Instant,
    ) -> GrantReply {
        match self {
            StewardshipStage::TakingOver(stewardship) => {
                stewardship.grant(holder, trust, bound, now)
            }
            StewardshipStage::Settled(stewardship) => stewardship.grant(holder, trust, bound, now),
            StewardshipStage::Leaving(_) => GrantReply::NotSteward,
        }
    }

    /// Takes a load report of the engine.
    #[must_use]
    pub fn record_load_report(mut self, in_flight: u32, now: Instant) -> StewardshipStage {
        if let StewardshipStage::TakingOver(stewardship) = self {
            return stewardship.record_load_report(in_flight, now);
        }
        self.ledger_mut().record_load_report(in_flight, now);
        self
    }

    /// Lets time pass: drops holders that are gone or silent.
    pub fn tick(&mut self, is_live: impl Fn(&RouterName) -> bool, now: Instant) {
        let is_gone = |holder: &GrantHolder| !is_live(&holder.router);
        self.ledger_mut().expire_holders(is_gone, now);
    }

    /// Takes the hand-over of the last steward.
    #[must_use]
    pub fn accept_hand_over(self, hand_over: HandOver, now: Instant) -> StewardshipStage {
        match self {
            StewardshipStage::TakingOver(stewardship) => {
                stewardship.accept_hand_over(hand_over, now)
            }
            other => other,
        }
    }

    /// Stops granting.
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

    /// Takes over again when the stewardship was handed over long enough ago.
    #[must_use]
    pub fn reclaim(self, now: Instant) -> StewardshipStage {
        match self {
            StewardshipStage::Leaving(stewardship) if stewardship.may_reclaim(now) => {
                StewardshipStage::TakingOver(stewardship.reclaim(now))
            }
            other => other,
        }
    }

    /// Returns whether all work on the engine is on the book.
    pub fn is_complete(&self) -> bool {
        match self {
            StewardshipStage::TakingOver(_) => false,
            StewardshipStage::Settled(_) => true,
            StewardshipStage::Leaving(stewardship) => stewardship.stage.complete,
        }
    }

    /// Returns whether slots are granted.
    pub fn is_granting(&self) -> bool {
        !matches!(self, StewardshipStage::Leaving(_))
    }

    /// Returns the name used in the state dump.
    pub fn as_str(&self) -> &'static str {
        match self {
            StewardshipStage::TakingOver(_) => "taking_over",
            StewardshipStage::Settled(_) => "settled",
            StewardshipStage::Leaving(_) => "leaving",
        }
    }
}
