//! Life cycle of a stewardship.

use std::time::Duration;

use super::{
    book::{DISPATCH_TIME, REPORT_LAG},
    Book, GrantReply, HandOver, Holder,
};
use crate::{admission::Trust, Instant, RouterName};

/// How long a router that has handed a stewardship over does not take it back.
pub const HAND_OVER_HOLD: Duration = Duration::from_secs(5);

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
    book: Book,
    stage: S,
}

impl Stewardship<TakingOver> {
    /// Starts to take over.
    pub fn new(book: Book, now: Instant) -> Self {
        let stage = TakingOver {
            since: now,
            reported: false,
        };
        Stewardship { book, stage }
    }

    /// Grants below the bound less what the engine has reported; nothing before a report.
    pub fn grant(&mut self, holder: Holder, trust: Trust, bound: u32, now: Instant) -> GrantReply {
        if !self.stage.reported {
            return GrantReply::Full;
        }
        self.book.grant(holder, trust, bound, now)
    }

    /// Takes a report; one that was made after the take-over ends it.
    pub fn report(mut self, in_flight: u32, now: Instant) -> Stage {
        self.stage.reported = true;
        self.book.found(in_flight, now);
        let covers = now >= self.stage.since + REPORT_LAG + DISPATCH_TIME;
        if covers {
            return Stage::Settled(self.settle());
        }
        Stage::TakingOver(self)
    }

    /// Takes the hand-over of the last steward, which grants no more.
    ///
    /// A book that is not complete itself does not end the take-over.
    pub fn accept(mut self, hand_over: HandOver, now: Instant) -> Stage {
        let HandOver {
            holders,
            unattributed,
            complete,
            ..
        } = hand_over;
        self.book.adopt(holders, unattributed, now);
        if complete {
            Stage::Settled(self.settle())
        } else {
            Stage::TakingOver(self)
        }
    }

    /// Stops granting; the book is not complete.
    pub fn leave(self, now: Instant) -> Stewardship<Leaving> {
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
    pub fn grant(&mut self, holder: Holder, trust: Trust, bound: u32, now: Instant) -> GrantReply {
        self.book.grant(holder, trust, bound, now)
    }

    /// Stops granting; the book is complete.
    pub fn leave(self, now: Instant) -> Stewardship<Leaving> {
        self.leave_with(true, now)
    }
}

impl Stewardship<Leaving> {
    /// Returns whether the stewardship may be taken back.
    pub fn may_return(&self, now: Instant) -> bool {
        now.since(self.stage.since) >= HAND_OVER_HOLD
    }

    /// Takes the stewardship back.
    pub fn retake(self, now: Instant) -> Stewardship<TakingOver> {
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
pub enum Stage {
    /// See [`TakingOver`].
    TakingOver(Stewardship<TakingOver>),
    /// See [`Settled`].
    Settled(Stewardship<Settled>),
    /// See [`Leaving`].
    Leaving(Stewardship<Leaving>),
}

impl Stage {
    /// Returns the book.
    pub fn book(&self) -> &Book {
        match self {
            Stage::TakingOver(stewardship) => &stewardship.book,
            Stage::Settled(stewardship) => &stewardship.book,
            Stage::Leaving(stewardship) => &stewardship.book,
        }
    }

    /// Returns the book to change it.
    pub fn book_mut(&mut self) -> &mut Book {
        match self {
            Stage::TakingOver(stewardship) => &mut stewardship.book,
            Stage::Settled(stewardship) => &mut stewardship.book,
            Stage::Leaving(stewardship) => &mut stewardship.book,
        }
    }

    /// Grants a slot as the stage allows.
    pub fn grant(&mut self, holder: Holder, trust: Trust, bound: u32, now: Instant) -> GrantReply {
        match self {
            Stage::TakingOver(stewardship) => stewardship.grant(holder, trust, bound, now),
            Stage::Settled(stewardship) => stewardship.grant(holder, trust, bound, now),
            Stage::Leaving(_) => GrantReply::NotSteward,
        }
    }

    /// Takes a load report of the engine.
    #[must_use]
    pub fn report(mut self, in_flight: u32, now: Instant) -> Stage {
        if let Stage::TakingOver(stewardship) = self {
            return stewardship.report(in_flight, now);
        }
        self.book_mut().report(in_flight, now);
        self
    }

    /// Lets time pass: drops holders that are gone or silent.
    pub fn tick(&mut self, is_live: impl Fn(&RouterName) -> bool, now: Instant) {
        let is_gone = |holder: &Holder| !is_live(&holder.router);
        self.book_mut().disown(is_gone, now);
    }

    /// Takes the hand-over of the last steward.
    #[must_use]
    pub fn accept(self, hand_over: HandOver, now: Instant) -> Stage {
        match self {
            Stage::TakingOver(stewardship) => stewardship.accept(hand_over, now),
            other => other,
        }
    }

    /// Stops granting.
    #[must_use]
    pub fn leave(self, now: Instant) -> Stage {
        match self {
            Stage::TakingOver(stewardship) => Stage::Leaving(stewardship.leave(now)),
            Stage::Settled(stewardship) => Stage::Leaving(stewardship.leave(now)),
            Stage::Leaving(stewardship) => Stage::Leaving(stewardship),
        }
    }

    /// Takes over again when the stewardship was handed over long enough ago.
    #[must_use]
    pub fn retake(self, now: Instant) -> Stage {
        match self {
            Stage::Leaving(stewardship) if stewardship.may_return(now) => {
                Stage::TakingOver(stewardship.retake(now))
            }
            other => other,
        }
    }

    /// Returns whether all work on the engine is on the book.
    pub fn is_complete(&self) -> bool {
        match self {
            Stage::TakingOver(_) => false,
            Stage::Settled(_) => true,
            Stage::Leaving(stewardship) => stewardship.stage.complete,
        }
    }

    /// Returns whether slots are granted.
    pub fn is_granting(&self) -> bool {
        !matches!(self, Stage::Leaving(_))
    }

    /// Returns the name used in the state dump.
    pub fn as_str(&self) -> &'static str {
        match self {
            Stage::TakingOver(_) => "taking_over",
            Stage::Settled(_) => "settled",
            Stage::Leaving(_) => "leaving",
        }
    }
}
