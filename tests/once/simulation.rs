//! Routers with the real ledger and claims, a log with faults, and an oracle.

use std::collections::{BTreeMap, BTreeSet};

use ebonyspur::{
    once::{
        Acquired, Claim, ClaimAttempt, ClaimId, ClaimLedger, Duplicate, IdempotencyKey, Outcome,
        RecordedResponse, ResultRecord, SettledClaim, StreamRecord, PARTITIONS,
    },
    peer::{Authenticator, Purpose},
    CallKey, Incarnation, Offset, RouterName, ServiceName, TeamName, UnixMillis,
};

use crate::claim_messages::{HeldRequest, Message};

/// Number of routers.
pub const ROUTERS: usize = 3;

/// Number of keys.
pub const KEYS: usize = 5;

/// How the clock of each router differs from the true time, in milliseconds.
const SKEWS_MS: [i64; ROUTERS] = [-20_000, 0, 20_000];

/// What happens to one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// It takes effect and is answered.
    Done,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It takes effect later, without an answer.
    Late,
    /// It takes no effect, and the sender knows.
    Refused,
}

pub(super) enum Stage {
    /// With the number of the request that is under way, if there is one, and who was asked.
    Asking(ClaimAttempt, Option<(u64, usize)>),
    Won(Claim<Acquired>),
    Result(ResultRecord),
}

#[derive(Default)]
pub(super) struct RouterState {
    pub(super) life: u64,
    pub(super) ledger: ClaimLedger,
    pub(super) attempts: Vec<(usize, Stage)>,
    pub(super) held: Vec<HeldRequest>,
}

#[derive(Default)]
struct Log {
    first: u64,
    records: Vec<StreamRecord>,
}

impl Log {
    fn head(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// Counts what the services ran; knows nothing of claims.
#[derive(Default)]
struct Oracle {
    runs: BTreeMap<usize, u32>,
    answers: BTreeMap<usize, String>,
    given_up: BTreeSet<usize>,
}

/// Everything that a run of the fuzzer changes.
pub struct Simulation {
    now: UnixMillis,
    outage: bool,
    sealer: Authenticator,
    pub(super) keys: Vec<Option<IdempotencyKey>>,
    pub(super) routers: Vec<RouterState>,
    logs: Vec<Log>,
    late: Vec<(usize, StreamRecord)>,
    pub(super) messages: Vec<Message>,
    oracle: Oracle,
    pub(super) next_number: u64,
    pub counts: BTreeMap<String, u64>,
}

impl Simulation {
    pub fn new() -> Self {
        let now = UnixMillis(1_800_000_000_000);
        Simulation {
            now,
            outage: false,
            sealer: Authenticator::new(&[ebonyspur::config::Secret::new(*b"key")], Purpose::Ticket),
            keys: vec![None; KEYS],
            routers: (0..ROUTERS).map(|_| RouterState::default()).collect(),
            logs: (0..PARTITIONS).map(|_| Log::default()).collect(),
            late: Vec::new(),
            messages: Vec::new(),
            oracle: Oracle::default(),
            next_number: 0,
            counts: BTreeMap::new(),
        }
    }

    pub(super) fn count(&mut self, what: impl Into<String>) {
        *self.counts.entry(what.into()).or_default() += 1;
    }

    fn key(&self, index: usize) -> &IdempotencyKey {
        self.keys[index].as_ref().expect("a key that was issued")
    }

    pub(super) fn clock(&self, router: usize) -> UnixMillis {
        UnixMillis(self.now.0.saturating_add_signed(SKEWS_MS[router]))
    }

    /// A caller sends one more attempt of a call to a router.
    pub fn arrive(&mut self, router: usize, index: usize) {
        let now = self.clock(router);
        let key = self.keys[index].get_or_insert_with(|| key(index, self.now));
        let Ok(issued) = key.check_age(&self.sealer, now) else {
            return self.count("refused by age");
        };
        self.next_number += 1;
        let id = ClaimId {
            key: key.clone(),
            issued,
            router: name(router),
            incarnation: Incarnation(self.routers[router].life),
            nonce: self.next_number,
        };
        let stage = Stage::Asking(ClaimAttempt::new(Claim::new(id)), None);
        self.routers[router].attempts.push((index, stage));
        self.count("attempt");
    }

    /// Advances one attempt of a router by one message; a claim is asked of `owner`.
    pub fn step(&mut self, router: usize, pick: usize, effect: Effect, owner: usize) {
        let attempts = &mut self.routers[router].attempts;
        if attempts.is_empty() {
            return;
        }
        let at = pick % attempts.len();
        let (index, stage) = attempts.swap_remove(at);
        let next = match stage {
            Stage::Asking(asking, asked) => self.ask(router, index, asking, asked, effect, owner),
            Stage::Won(claim) => self.dispatch(index, claim, effect),
            Stage::Result(result) => self.send_result(index, result, effect),
        };
        if let Some(stage) = next {
            self.routers[router].attempts.push((index, stage));
        }
    }

    /// Appends a record; the offset is known only when the answer arrives.
    pub(super) fn append(
        &mut self,
        partition: usize,
        record: StreamRecord,
        effect: Effect,
    ) -> Result<Option<Offset>, ()> {
        let effect = match effect {
            Effect::Done | Effect::AnswerLost if self.outage => Effect::Refused,
            effect => effect,
        };
        self.count(format!("append {effect:?}"));
        let log = &mut self.logs[partition];
        let offset = Offset(log.head());
        match effect {
            Effect::Refused => return Err(()),
            Effect::Late => self.late.push((partition, record)),
            Effect::Done | Effect::AnswerLost => log.records.push(record),
        }
        Ok((effect == Effect::Done).then_some(offset))
    }

    pub(super) fn settle(&mut self, index: usize, settled: SettledClaim) -> Option<Stage> {
        match settled {
            SettledClaim::Acquired(claim) => {
                self.count("claim won");
                Some(Stage::Won(claim))
            }
            SettledClaim::Duplicate(claim) => {
                self.count("claim lost");
                self.check_replay(index, claim);
                None
            }
            SettledClaim::Indeterminate(claim) => {
                self.count("claim unknown");
                Some(Stage::Result(claim.give_up()))
            }
        }
    }

    fn check_replay(&mut self, index: usize, claim: Claim<Duplicate>) {
        match claim.into_outcome() {
            None => {}
            Some(Outcome::NotRun) => {
                self.count("replayed as not run");
                self.oracle.given_up.insert(index);
            }
            Some(Outcome::Answered(answer)) => {
                self.count("answer replayed");
                assert_eq!(answer.body.as_ref(), self.oracle.answers.get(&index));
            }
        }
    }

    fn dispatch(&mut self, index: usize, claim: Claim<Acquired>, effect: Effect) -> Option<Stage> {
        if effect == Effect::Refused {
            self.count("server accepts no connection");
            self.oracle.given_up.insert(index);
            return Some(Stage::Result(claim.finish(Outcome::NotRun)));
        }
        self.count("run");
        *self.oracle.runs.entry(index).or_default() += 1;
        let body = format!("answer {} of run {}", index, self.oracle.runs[&index]);
        self.oracle.answers.insert(index, body.clone());
        if effect != Effect::Done {
            self.count("server's answer lost");
            return None;
        }
        let answer = RecordedResponse {
            status: 200,
            content_type: "text/plain".into(),
            body: Some(body),
        };
        Some(Stage::Result(claim.finish(Outcome::Answered(answer))))
    }

    fn send_result(&mut self, index: usize, result: ResultRecord, effect: Effect) -> Option<Stage> {
        let partition = self.key(index).partition();
        let record = StreamRecord::Result(result.clone());
        match self.append(partition, record, effect) {
            Ok(Some(_)) => None,
            Ok(None) | Err(()) => Some(Stage::Result(result)),
        }
    }

    /// A router reads up to `count` records of each stream.
    pub fn read(&mut self, router: usize, count: u64) {
        if self.outage {
            return self.count("read in outage");
        }
        let now = self.clock(router);
        let ledger = &mut self.routers[router].ledger;
        let mut skips = 0;
        for (partition, log) in self.logs.iter().enumerate() {
            if ledger.applied(partition).0 < log.first {
                ledger.skip_truncated(partition, Offset(log.first), now);
                skips += 1;
            }
            let from = ledger.applied(partition).0;
            for offset in from..log.head().min(from + count) {
                let record = log.records[(offset - log.first) as usize].clone();
                ledger.apply(partition, Offset(offset), Some(record));
            }
            ledger.record_head(partition, Offset(log.head()));
        }
        ledger.evict(now);
        for _ in 0..skips {
            self.count("records lost to retention");
        }
    }

    /// A router dies and starts again with nothing.
    pub fn crash(&mut self, router: usize) {
        let life = self.routers[router].life + 1;
        self.routers[router] = RouterState {
            life,
            ..RouterState::default()
        };
        self.count("crash");
    }

    /// A late append takes effect.
    pub fn deliver(&mut self, pick: usize) {
        if self.late.is_empty() || self.outage {
            return;
        }
        let at = pick % self.late.len();
        let (partition, record) = self.late.swap_remove(at);
        self.logs[partition].records.push(record);
        self.count("late append arrived");
    }

    /// The log drops its oldest records.
    pub fn truncate(&mut self, count: usize) {
        for log in &mut self.logs {
            let count = count.min(log.records.len());
            log.records.drain(..count);
            log.first += count as u64;
        }
        self.count("retention");
    }

    /// Time passes while every router that does nothing is paused.
    pub fn tick(&mut self, minutes: u64) {
        self.now.0 += minutes * 60_000;
        if minutes > 60 {
            self.count("pause of hours");
        }
    }

    /// The log goes out of reach, or comes back.
    pub fn toggle_outage(&mut self) {
        self.outage = !self.outage;
        self.count("outage or its end");
    }

    /// Checks what the services saw against what callers were told.
    pub fn check(&self) {
        for (index, runs) in &self.oracle.runs {
            assert!(*runs <= 1, "key {index} ran {runs} times");
            assert!(
                !self.oracle.given_up.contains(index),
                "key {index} ran and was called not run"
            );
        }
    }
}

pub(super) fn name(router: usize) -> RouterName {
    RouterName::new(&format!("router-{router}")).unwrap()
}

fn key(index: usize, issued: UnixMillis) -> IdempotencyKey {
    let uuid = uuid::Builder::from_unix_timestamp_millis(issued.0, &[index as u8; 10]);
    IdempotencyKey {
        team: TeamName::new("kerb").unwrap(),
        service: ServiceName::new("trade").unwrap(),
        call: CallKey::new(&uuid.into_uuid().to_string()).unwrap(),
    }
}
