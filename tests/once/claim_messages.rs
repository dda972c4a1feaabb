//! Claims as routers ask each other for them, with messages that get lost, late or repeated.

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
    Ask(Ask),
    Reply(usize, u64, ClaimReply),
}

#[derive(Clone)]
pub(super) struct Ask {
    number: u64,
    from: usize,
    life: u64,
    to: usize,
    req: ClaimRequest,
}

/// A request whose answer a router holds back.
pub(super) struct HeldRequest {
    number: u64,
    from: usize,
    claim: ClaimId,
}

impl Simulation {
    /// Asks `owner`, waits for the answer, or no longer waits for it.
    pub(super) fn ask(
        &mut self,
        router: usize,
        index: usize,
        asking: ClaimAttempt,
        asked: Option<(u64, usize)>,
        effect: Effect,
        owner: usize,
    ) -> Option<Stage> {
        let asking = match asked {
            Some(_) if effect == Effect::Done => return Some(Stage::Asking(asking, asked)),
            Some((_, silent)) => {
                self.count("owner unanswered");
                asking.on_no_reply(name(silent))
            }
            None => asking,
        };
        if effect == Effect::Refused {
            self.count("claim timed out");
            return self.follow(index, asking.time_out());
        }
        self.next_number += 1;
        let number = self.next_number;
        self.messages.push(Message::Ask(Ask {
            number,
            from: router,
            life: self.routers[router].life,
            to: owner,
            req: asking.request(),
        }));
        Some(Stage::Asking(asking, Some((number, owner))))
    }

    fn follow(&mut self, index: usize, step: AttemptStep) -> Option<Stage> {
        match step {
            AttemptStep::Retry(asking) => Some(Stage::Asking(asking, None)),
            AttemptStep::Settled(settled) => self.settle(index, settled),
            AttemptStep::Refused(_) => {
                self.count("claim refused");
                None
            }
        }
    }

    /// A message between routers arrives, gets lost (`Refused`, `AnswerLost`), or arrives
    /// and is repeated later (`Late`); an append that it causes has its own effect.
    pub fn message(&mut self, pick: usize, fate: Effect, effect: Effect) {
        if self.messages.is_empty() {
            return;
        }
        let at = pick % self.messages.len();
        let message = self.messages.swap_remove(at);
        self.count(format!("message {fate:?}"));
        match fate {
            Effect::Done => {}
            Effect::Late => self.messages.push(message.clone()),
            Effect::AnswerLost | Effect::Refused => return,
        }
        match message {
            Message::Ask(ask) => self.serve(ask, effect),
            Message::Reply(router, number, reply) => self.hear(router, number, reply),
        }
    }

    fn hear(&mut self, router: usize, number: u64, reply: ClaimReply) {
        let attempts = &mut self.routers[router].attempts;
        let waits = |(_, stage): &(usize, Stage)| matches!(stage, Stage::Asking(_, Some((asked, _))) if *asked == number);
        let Some(at) = attempts.iter().position(waits) else {
            return self.count("reply too late or repeated");
        };
        let (index, stage) = attempts.swap_remove(at);
        let Stage::Asking(asking, _) = stage else {
            return;
        };
        if let Some(stage) = self.follow(index, asking.on_reply(reply)) {
            self.routers[router].attempts.push((index, stage));
        }
    }

    /// A router is asked for a claim, whether it owns the partition or not.
    fn serve(&mut self, ask: Ask, effect: Effect) {
        let claim = ClaimId {
            key: ask.req.key,
            issued: ask.req.issued,
            router: name(ask.from),
            incarnation: Incarnation(ask.life),
            nonce: ask.req.nonce,
        };
        let ledger = &self.routers[ask.to].ledger;
        let reply = match ledger.check_claim(&claim) {
            ClaimCheck::NotCaughtUp => Some(ClaimReply::NotCaughtUp),
            ClaimCheck::Forgotten => Some(ClaimReply::Forgotten),
            ClaimCheck::Logged(shown) => Some(ClaimReply::Logged(shown)),
            ClaimCheck::Unclaimed if !ask.req.append => None,
            ClaimCheck::Unclaimed => {
                let record = ClaimRecord {
                    id: claim.clone(),
                    made: self.clock(ask.to),
                    read: ledger.applied(claim.key.partition()),
                };
                let partition = claim.key.partition();
                let appended = self.append(partition, StreamRecord::Claim(record), effect);
                let refused = || ClaimReply::Refused(Category::LogUnavailable, String::new());
                appended.is_err().then(refused)
            }
        };
        match reply {
            Some(reply) => self.reply(ask.from, ask.number, reply),
            None => self.routers[ask.to].held.push(HeldRequest {
                number: ask.number,
                from: ask.from,
                claim,
            }),
        }
    }

    fn reply(&mut self, to: usize, number: u64, reply: ClaimReply) {
        let kind = format!("{reply:?}");
        let kind = kind.split(['(', ' ']).next().unwrap_or_default();
        self.count(format!("reply {kind}"));
        self.messages.push(Message::Reply(to, number, reply));
    }

    /// A router answers a request that it holds back, once it can or when time is over.
    pub fn release_held(&mut self, router: usize, pick: usize, time_over: bool) {
        let state = &mut self.routers[router];
        if state.held.is_empty() {
            return;
        }
        let at = pick % state.held.len();
        let shown = state.ledger.claim_position(&state.held[at].claim);
        if shown.is_none() && !time_over {
            return;
        }
        let held = state.held.swap_remove(at);
        let reply = shown.map_or(ClaimReply::Pending, ClaimReply::Logged);
        self.reply(held.from, held.number, reply);
    }

    /// A router no longer follows the partition of a key.
    pub fn release(&mut self, router: usize, index: usize) {
        if let Some(key) = &self.keys[index] {
            self.routers[router].ledger.reset_partition(key.partition());
            self.count("partition released");
        }
    }
}
