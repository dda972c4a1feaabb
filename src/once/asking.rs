//! A claim on its way through the routers that are asked for it.

use super::{Claim, ClaimReply, ClaimRequest, Pending, Settled};
use crate::{Category, Error, RouterName};

/// A pending claim and what is known of its way into the log.
#[derive(Debug)]
pub struct Asking {
    claim: Claim<Pending>,
    silent: Vec<RouterName>,
    append: bool,
    /// Whether the claim may be in the log, or may yet get there.
    sent: bool,
}

/// What follows from an answer.
#[derive(Debug)]
pub enum Step {
    /// Ask again.
    Again(Asking),
    /// The claim is settled.
    Settled(Settled),
    /// The claim is not in the log and the call must not be dispatched.
    Refused(Error),
}

impl Asking {
    /// Creates the asking for a claim that nobody has been asked for.
    pub fn new(claim: Claim<Pending>) -> Self {
        Asking {
            claim,
            silent: Vec::new(),
            append: true,
            sent: false,
        }
    }

    /// Returns the claim.
    pub fn claim(&self) -> &Claim<Pending> {
        &self.claim
    }

    /// Returns the routers that were asked and did not answer.
    pub fn silent(&self) -> &[RouterName] {
        &self.silent
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
    pub fn answered(mut self, reply: ClaimReply) -> Step {
        match reply {
            ClaimReply::Shown(shown) => Step::Settled(self.claim.settle(Some(shown))),
            ClaimReply::Pending => {
                self.append = false;
                self.sent = true;
                Step::Again(self)
            }
            ClaimReply::Behind => Step::Again(self),
            ClaimReply::Forgotten => self.end(forgotten()),
            ClaimReply::Refused(category, message) => self.end(Error::not_run(category, message)),
        }
    }

    /// Goes on after `router` has not answered: the request may have been carried out.
    #[must_use]
    pub fn unanswered(mut self, router: RouterName) -> Self {
        self.silent.push(router);
        self.append = true;
        self.sent = true;
        self
    }

    /// Decides when there is no more time, with no request under way.
    pub fn time_out(self) -> Step {
        let message = "the claims of this key are not read yet";
        self.end(Error::not_run(Category::LogUnavailable, message))
    }

    /// Ends without a first claim: only a claim that was never sent is just refused.
    fn end(self, err: Error) -> Step {
        if self.sent {
            Step::Settled(self.claim.settle(None))
        } else {
            Step::Refused(err)
        }
    }
}

fn forgotten() -> Error {
    let message = "an earlier attempt may be older than the records held";
    Error::may_have_run(Category::KeyExpired, message)
}
