//! A claim on its way through the routers that are asked for it.

use super::{Claim, ClaimReply, ClaimRequest, Pending, SettledClaim};
use crate::{Category, Error, RouterName};

/// A pending claim and what is known of its way into the log.
#[derive(Debug)]
pub struct ClaimAttempt {
    claim: Claim<Pending>,
    unresponsive: Vec<RouterName>,
    append: bool,
    /// Whether the claim may be in the log, or may yet get there.
    sent: bool,
}

/// What follows from an answer.
#[derive(Debug)]
pub enum AttemptStep {
    /// Ask again.
    Retry(ClaimAttempt),
    /// The claim is settled.
    Settled(SettledClaim),
    /// The claim is not in the log and the call must not be dispatched.
    Refused(Error),
}

impl ClaimAttempt {
    /// Creates the asking for a claim that nobody has been asked for.
    pub fn new(claim: Claim<Pending>) -> Self {
        ClaimAttempt {
            claim,
            unresponsive: Vec::new(),
            append: true,
            sent: false,
        }
    }

    /// Returns the claim.
    pub fn claim(&self) -> &Claim<Pending> {
        &self.claim
    }

    /// Returns the routers that were asked and did not answer.
    pub fn unresponsive(&self) -> &[RouterName] {
        &self.unresponsive
    }

    /// Returns what to ask for next.
    pub fn request(&self) -> ClaimRequest {
        let id = self.claim.id();
        ClaimRequest {
            key: id.key.clone(),
            issued: id.issued,
            nonce: id.nonce,
            append: self.append,
        }
    }

    /// Decides on the answer to the last request.
    pub fn on_reply(mut self, reply: ClaimReply) -> AttemptStep {
        match reply {
            ClaimReply::Logged(shown) => AttemptStep::Settled(self.claim.settle(Some(shown))),
            ClaimReply::Pending => {
                self.append = false;
                self.sent = true;
                AttemptStep::Retry(self)
            }
            ClaimReply::NotCaughtUp => AttemptStep::Retry(self),
            ClaimReply::Forgotten => self.end(forgotten()),
            ClaimReply::Refused(category, message) => self.end(Error::not_run(category, message)),
        }
    }

    /// Goes on after `router` has not answered: the request may have been carried out.
    #[must_use]
    pub fn on_no_reply(mut self, router: RouterName) -> Self {
        self.unresponsive.push(router);
        self.append = true;
        self.sent = true;
        self
    }

    /// Decides when there is no more time, with no request under way.
    pub fn time_out(self) -> AttemptStep {
        let message = "the claims of this key are not read yet";
        self.end(Error::not_run(Category::LogUnavailable, message))
    }

    /// Ends without a first claim: only a claim that was never sent is just refused.
    fn end(self, err: Error) -> AttemptStep {
        if self.sent {
            AttemptStep::Settled(self.claim.settle(None))
        } else {
            AttemptStep::Refused(err)
        }
    }
}

fn forgotten() -> Error {
    let message = "an earlier attempt may be older than the records held";
    Error::may_have_run(Category::KeyExpired, message)
}
