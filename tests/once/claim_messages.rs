//! Simulated claim requests between routers, with messages that are lost, late or repeated.

use ebonyspur::{
    once::{
        AttemptStep, ClaimAttempt, ClaimCheck, ClaimId, ClaimRecord, ClaimReply, ClaimRequest,
        StreamRecord,
    },
    Category, Incarnation,
};

use crate::simulation::{name, Effect, Simulation, Stage};

/// A message between routers.
#[derive(Clone)]
pub(super) enum Message {
    Request(SentRequest),
    Reply(usize, u64, ClaimReply),
}

/// A claim request with its sender and receiver.
#[derive(Clone)]
pub(super) struct SentRequest {
    number: u64,
    from: usize,
    incarnation: u64,
    to: usize,
    req: ClaimRequest,
}

/// A claim request whose reply a router holds back.
pub(super) struct HeldRequest {
    number: u64,
    from: usize,
    claim: ClaimId,
}

impl Simulation {
    /// Sends a request to `owner`, keeps waiting for a pending reply, or gives the reply up.
    pub(super) fn request_claim(
        &mut self,
        router: usize,
        index: usize,
        attempt: ClaimAttempt,
        pending: Option<(u64, usize)>,
        effect: Effect,
        owner: usize,
    ) -> Option<Stage> {
        let attempt = match pending {
            Some(_) if effect == Effect::Done => return Some(Stage::Requesting(attempt, pending)),
            Some((_, unresponsive)) => {
                self.count("owner unresponsive");
                attempt.on_no_reply(name(unresponsive))
            }
            None => attempt,
        };
        if effect == Effect::Refused {
            self.count("claim timed out");
            return self.apply_step(index, attempt.time_out());
        }
        self.next_number += 1;
        let number = self.next_number;
        self.messages.push(Message::Request(SentRequest {
            number,
            from: router,
            incarnation: self.routers[router].incarnation,
            to: owner,
            req: attempt.request(),
        }));
        Some(Stage::Requesting(attempt, Some((number, owner))))
    }

    fn apply_step(&mut self, index: usize, step: AttemptStep) -> Option<Stage> {
        match step {
            AttemptStep::Retry(attempt) => Some(Stage::Requesting(attempt, None)),
            AttemptStep::Settled(settled) => self.settle(index, settled),
            AttemptStep::Refused(_) => {
                self.count("claim refused");
                None
            }
        }
    }

    /// Delivers a message between routers, loses it (`Refused`, `AnswerLost`), or delivers it
    /// and repeats it later (`Late`); `effect` applies to an append that the message causes.
    pub fn deliver_message(&mut self, pick: usize, delivery: Effect, effect: Effect) {
        if self.messages.is_empty() {
            return;
        }
        let at = pick % self.messages.len();
        let message = self.messages.swap_remove(at);
        self.count(format!("message {delivery:?}"));
        match delivery {
            Effect::Done => {}
            Effect::Late => self.messages.push(message.clone()),
            Effect::AnswerLost | Effect::Refused => return,
        }
        match message {
            Message::Request(sent) => self.handle_request(sent, effect),
            Message::Reply(router, number, reply) => self.receive_reply(router, number, reply),
        }
    }

    fn receive_reply(&mut self, router: usize, number: u64, reply: ClaimReply) {
        let attempts = &mut self.routers[router].attempts;
        let is_awaited = |(_, stage): &(usize, Stage)| matches!(stage, Stage::Requesting(_, Some((pending, _))) if *pending == number);
        let Some(at) = attempts.iter().position(is_awaited) else {
            return self.count("reply too late or repeated");
        };
        let (index, stage) = attempts.swap_remove(at);
        let Stage::Requesting(attempt, _) = stage else {
            return;
        };
        if let Some(stage) = self.apply_step(index, attempt.on_reply(reply)) {
            self.routers[router].attempts.push((index, stage));
        }
    }

    /// Handles a claim request at its receiver, whether or not this owns the partition.
    fn handle_request(&mut self, sent: SentRequest, effect: Effect) {
        let claim = ClaimId {
            key: sent.req.key,
            issued: sent.req.issued,
            router: name(sent.from),
            incarnation: Incarnation(sent.incarnation),
            nonce: sent.req.nonce,
        };
        let ledger = &self.routers[sent.to].ledger;
        let reply = match ledger.check_claim(&claim) {
            ClaimCheck::NotCaughtUp => Some(ClaimReply::NotCaughtUp),
            ClaimCheck::Forgotten => Some(ClaimReply::Forgotten),
            ClaimCheck::Logged(position) => Some(ClaimReply::Logged(position)),
            ClaimCheck::Unclaimed if !sent.req.append => None,
            ClaimCheck::Unclaimed => {
                let record = ClaimRecord {
                    id: claim.clone(),
                    made: self.clock(sent.to),
                    read: ledger.applied(claim.key.partition()),
                };
                let partition = claim.key.partition();
                let appended = self.append(partition, StreamRecord::Claim(record), effect);
                let refused = || ClaimReply::Refused(Category::LogUnavailable, String::new());
                appended.is_err().then(refused)
            }
        };
        match reply {
            Some(reply) => self.send_reply(sent.from, sent.number, reply),
            None => self.routers[sent.to].held.push(HeldRequest {
                number: sent.number,
                from: sent.from,
                claim,
            }),
        }
    }

    fn send_reply(&mut self, to: usize, number: u64, reply: ClaimReply) {
        let kind = format!("{reply:?}");
        let kind = kind.split(['(', ' ']).next().unwrap_or_default();
        self.count(format!("reply {kind}"));
        self.messages.push(Message::Reply(to, number, reply));
    }

    /// Answers a held request of a router once the position is known or the hold time is over.
    pub fn release_held(&mut self, router: usize, pick: usize, hold_is_over: bool) {
        let state = &mut self.routers[router];
        if state.held.is_empty() {
            return;
        }
        let at = pick % state.held.len();
        let position = state.ledger.claim_position(&state.held[at].claim);
        if position.is_none() && !hold_is_over {
            return;
        }
        let held = state.held.swap_remove(at);
        let reply = position.map_or(ClaimReply::Pending, ClaimReply::Logged);
        self.send_reply(held.from, held.number, reply);
    }

    /// Makes a router stop following the partition of a key.
    pub fn reset_partition(&mut self, router: usize, index: usize) {
        if let Some(key) = &self.keys[index] {
            self.routers[router].ledger.reset_partition(key.partition());
            self.count("partition reset");
        }
    }
}
