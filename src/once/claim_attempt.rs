//! Attempt of a router to get a claim into the log and settled.

use super::{Claim, ClaimReply, ClaimRequest, Pending, SettledClaim};
use crate::{Category, Error, RouterName};

/// State of an attempt: the pending claim, the routers that did not answer, and the next request.
#[derive(Debug)]
pub struct ClaimAttempt {
    claim: Claim<Pending>,
    unresponsive: Vec<RouterName>,
    /// Whether the next request asks to append the claim.
    append: bool,
    /// Whether the claim may be in the log or may still arrive there.
    sent: bool,
}

/// Next step of a claim attempt.
#[derive(Debug)]
pub enum AttemptStep {
    /// Send the next request.
    Retry(ClaimAttempt),
    /// Stop: the claim is settled.
    Settled(SettledClaim),
    /// Stop: the claim is not in the log, and the call must not be dispatched.
    Refused(Error),
}

impl ClaimAttempt {
    /// Creates an attempt for a claim that has not been sent to any router.
    pub fn new(claim: Claim<Pending>) -> Self {
        ClaimAttempt {
            claim,
            unresponsive: Vec::new(),
            append: true,
            sent: false,
        }
    }

    /// Returns the pending claim.
    pub fn claim(&self) -> &Claim<Pending> {
        &self.claim
    }

    /// Returns the routers that did not answer a request.
    pub fn unresponsive(&self) -> &[RouterName] {
        &self.unresponsive
    }

    /// Returns the next request to send.
    pub fn request(&self) -> ClaimRequest {
        let id = self.claim.id();
        ClaimRequest {
            key: id.key.clone(),
            issued: id.issued,
            nonce: id.nonce,
            append: self.append,
        }
    }

    /// Handles the reply to the last request.
    pub fn on_reply(mut self, reply: ClaimReply) -> AttemptStep {
        match reply {
            ClaimReply::Logged(position) => AttemptStep::Settled(self.claim.settle(Some(position))),
            ClaimReply::Pending => {
                self.append = false;
                self.sent = true;
                AttemptStep::Retry(self)
            }
            ClaimReply::NotCaughtUp => AttemptStep::Retry(self),
            ClaimReply::Forgotten => self.end(forgotten_error()),
            ClaimReply::Refused(category, message) => self.end(Error::not_run(category, message)),
        }
    }

    /// Continues without a reply of `router`, which may have carried out the request.
    #[must_use]
    pub fn on_no_reply(mut self, router: RouterName) -> Self {
        self.unresponsive.push(router);
        self.append = true;
        self.sent = true;
        self
    }

    /// Ends the attempt at its deadline; no request may be under way.
    pub fn time_out(self) -> AttemptStep {
        let message = "the claims of this key could not be read from the log in time";
        self.end(Error::not_run(Category::LogUnavailable, message))
    }

    /// Ends the attempt without a known first claim.
    ///
    /// A claim that was never sent is refused with `err`; any other one is indeterminate.
    fn end(self, err: Error) -> AttemptStep {
        if self.sent {
            AttemptStep::Settled(self.claim.settle(None))
        } else {
            AttemptStep::Refused(err)
        }
    }
}

fn forgotten_error() -> Error {
    let message = "an earlier claim of this key may be lost from the log or the ledger";
    Error::may_have_run(Category::KeyExpired, message)
}
