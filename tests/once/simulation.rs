//! Simulated routers with the real ledger and claims, a log with faults, and an oracle.

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

/// Number of simulated routers.
pub const ROUTERS: usize = 3;

/// Number of simulated keys.
pub const KEYS: usize = 5;

/// Difference between the clock of each router and the true time.
const SKEWS_MS: [i64; ROUTERS] = [-20_000, 0, 20_000];

/// What happens to one message, append or call of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// The message takes effect and is answered.
    Done,
    /// The message takes effect, and the answer is lost.
    AnswerLost,
    /// The message takes effect later, without an answer.
    Late,
    /// The message takes no effect, and the sender knows that.
    Refused,
}

/// Stage of one attempt at a router.
pub(super) enum Stage {
    /// The claim is not settled. Holds the number and receiver of the pending request, if any.
    Requesting(ClaimAttempt, Option<(u64, usize)>),
    /// The call may be dispatched.
    Acquired(Claim<Acquired>),
    /// The result is not recorded yet.
    Result(ResultRecord),
}

#[derive(Default)]
pub(super) struct RouterState {
    pub(super) incarnation: u64,
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

/// Records what the services ran and the verdicts and answers that callers got, independently
/// of claims.
#[derive(Default)]
struct Oracle {
    runs: BTreeMap<usize, u32>,
    answers: BTreeMap<usize, String>,
    reported_not_run: BTreeSet<usize>,
}

/// State that the transitions of the fuzzer change.
pub struct Simulation {
    now: UnixMillis,
    outage: bool,
    authenticator: Authenticator,
    pub(super) keys: Vec<Option<IdempotencyKey>>,
    pub(super) routers: Vec<RouterState>,
    logs: Vec<Log>,
    late_appends: Vec<(usize, StreamRecord)>,
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
            authenticator: Authenticator::new(
                &[ebonyspur::config::Secret::new(*b"key")],
                Purpose::Ticket,
            ),
            keys: vec![None; KEYS],
            routers: (0..ROUTERS).map(|_| RouterState::default()).collect(),
            logs: (0..PARTITIONS).map(|_| Log::default()).collect(),
            late_appends: Vec::new(),
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
        self.keys[index].as_ref().expect("the key has been issued")
    }

    pub(super) fn clock(&self, router: usize) -> UnixMillis {
        UnixMillis(self.now.0.saturating_add_signed(SKEWS_MS[router]))
    }

    /// Sends one more attempt of a call to a router.
    pub fn start_attempt(&mut self, router: usize, index: usize) {
        let now = self.clock(router);
        let key = self.keys[index].get_or_insert_with(|| key(index, self.now));
        let Ok(issued) = key.check_age(&self.authenticator, now) else {
            return self.count("refused by age");
        };
        self.next_number += 1;
        let id = ClaimId {
            key: key.clone(),
            issued,
            router: name(router),
            incarnation: Incarnation(self.routers[router].incarnation),
            nonce: self.next_number,
        };
        let stage = Stage::Requesting(ClaimAttempt::new(Claim::new(id)), None);
        self.routers[router].attempts.push((index, stage));
        self.count("attempt");
    }

    /// Advances one attempt of a router by one message; a claim request goes to `owner`.
    pub fn advance_attempt(&mut self, router: usize, pick: usize, effect: Effect, owner: usize) {
        let attempts = &mut self.routers[router].attempts;
        if attempts.is_empty() {
            return;
        }
        let at = pick % attempts.len();
        let (index, stage) = attempts.swap_remove(at);
        let next = match stage {
            Stage::Requesting(attempt, pending) => {
                self.request_claim(router, index, attempt, pending, effect, owner)
            }
            Stage::Acquired(claim) => self.dispatch(index, claim, effect),
            Stage::Result(result) => self.send_result(index, result, effect),
        };
        if let Some(stage) = next {
            self.routers[router].attempts.push((index, stage));
        }
    }

    /// Appends a record; returns the offset only if the answer arrives.
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
            Effect::Late => self.late_appends.push((partition, record)),
            Effect::Done | Effect::AnswerLost => log.records.push(record),
        }
        Ok((effect == Effect::Done).then_some(offset))
    }

    pub(super) fn settle(&mut self, index: usize, settled: SettledClaim) -> Option<Stage> {
        match settled {
            SettledClaim::Acquired(claim) => {
                self.count("claim acquired");
                Some(Stage::Acquired(claim))
            }
            SettledClaim::Duplicate(claim) => {
                self.count("claim duplicate");
                self.check_replay(index, claim);
                None
            }
            SettledClaim::Indeterminate(claim) => {
                self.count("claim indeterminate");
                Some(Stage::Result(claim.abandon()))
            }
        }
    }

    fn check_replay(&mut self, index: usize, claim: Claim<Duplicate>) {
        match claim.into_outcome() {
            None => {}
            Some(Outcome::NotRun) => {
                self.count("replayed as not run");
                self.oracle.reported_not_run.insert(index);
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
            self.oracle.reported_not_run.insert(index);
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

    /// Makes a router read up to `count` records of each stream.
    pub fn read_log(&mut self, router: usize, count: u64) {
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

    /// Restarts a router, which loses all its state.
    pub fn crash(&mut self, router: usize) {
        let incarnation = self.routers[router].incarnation + 1;
        self.routers[router] = RouterState {
            incarnation,
            ..RouterState::default()
        };
        self.count("crash");
    }

    /// Lets a late append take effect.
    pub fn deliver_late_append(&mut self, pick: usize) {
        if self.late_appends.is_empty() || self.outage {
            return;
        }
        let at = pick % self.late_appends.len();
        let (partition, record) = self.late_appends.swap_remove(at);
        self.logs[partition].records.push(record);
        self.count("late append arrived");
    }

    /// Drops the oldest records of each stream.
    pub fn truncate(&mut self, count: usize) {
        for log in &mut self.logs {
            let count = count.min(log.records.len());
            log.records.drain(..count);
            log.first += count as u64;
        }
        self.count("retention");
    }

    /// Advances the time, as if all routers were paused meanwhile.
    pub fn advance_time(&mut self, minutes: u64) {
        self.now.0 += minutes * 60_000;
        if minutes > 60 {
            self.count("pause of hours");
        }
    }

    /// Starts or ends an outage of the log.
    pub fn toggle_outage(&mut self) {
        self.outage = !self.outage;
        self.count("outage toggled");
    }

    /// Checks what the services ran against the verdicts that callers got.
    pub fn check(&self) {
        for (index, runs) in &self.oracle.runs {
            assert!(*runs <= 1, "key {index} ran {runs} times");
            assert!(
                !self.oracle.reported_not_run.contains(index),
                "key {index} ran and was reported as not run"
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
