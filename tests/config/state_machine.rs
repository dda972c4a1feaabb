//! Property-based state machine test of the fold against a reference model.
//!
//! Two operators confirm changes; three routers read the log late or repeatedly, or pull from
//! each other, under log outages, restarts, forged checkpoints and retention.

use std::collections::BTreeMap;

use ebonyspur::{
    config::{
        newest_valid_checkpoint, Change, Checkpoint, Config, ConfigSinceReply, ConfigSinceRequest,
        ConfigState, EncodedRecord, Record, Secret,
    },
    peer::{Authenticator, Purpose},
    Offset, UnixMillis,
};
use proptest::{prelude::*, test_runner::Config as ProptestConfig};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

use super::records::team;

const ROUTERS: usize = 3;
const TEAMS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// An operator confirms a plan based on all but the last `lag` records.
    Confirm { operator: u8, team: usize, lag: u64 },
    /// An operator appends the last confirmed change again.
    Retry,
    /// A router reads up to `count` records, starting `again` records before its offset.
    Read {
        router: usize,
        count: usize,
        again: u64,
    },
    /// A router pulls the configuration from another one.
    Pull { router: usize, from: usize },
    /// A router requests the configuration from another one; the reply is delayed.
    Ask { router: usize, from: usize },
    /// The delayed reply arrives, possibly for the second time.
    Deliver { router: usize },
    /// A router restarts with an empty state.
    Restart { router: usize },
    /// A router writes a checkpoint of its state, which may be outdated.
    Checkpoint { router: usize },
    /// A checkpoint with a wrong state and an authentication tag of another key is appended.
    Forge,
    /// The log drops its oldest records.
    Drop { count: usize },
    /// The log becomes unreachable (true) or reachable (false).
    Outage(bool),
}

/// Reference model: for each team, the offset and share of the last accepted change.
#[derive(Debug, Clone, Default)]
struct ReferenceModel {
    head: u64,
    confirmed: u32,
    last: Option<(u32, usize, u64)>,
    decided: BTreeMap<u32, bool>,
    shares: BTreeMap<usize, (u64, u32)>,
    /// Shares of the teams after each prefix of the stream.
    history: Vec<BTreeMap<usize, u32>>,
}

impl ReferenceModel {
    fn append(&mut self, change: Option<(u32, usize, u64)>) {
        if let Some((id, team, base)) = change {
            let is_fresh = !self.decided.contains_key(&id);
            let is_accepted = self.shares.get(&team).is_none_or(|(at, _)| *at < base);
            if is_fresh {
                self.decided.insert(id, is_accepted);
            }
            if is_fresh && is_accepted {
                self.shares.insert(team, (self.head, id));
            }
        }
        self.head += 1;
        let teams = self.shares.iter().map(|(team, (_, id))| (*team, *id));
        self.history.push(teams.collect());
    }
}

impl ReferenceStateMachine for ReferenceModel {
    type State = ReferenceModel;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<ReferenceModel> {
        let history = vec![BTreeMap::new()];
        Just(ReferenceModel {
            history,
            ..ReferenceModel::default()
        })
        .boxed()
    }

    fn transitions(_: &ReferenceModel) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..2u8, 0..TEAMS, 0..4u64)
                .prop_map(|(operator, team, lag)| Step::Confirm { operator, team, lag }),
            2 => Just(Step::Retry),
            8 => (0..ROUTERS, 0..6usize, 0..4u64)
                .prop_map(|(router, count, again)| Step::Read { router, count, again }),
            4 => (0..ROUTERS, 0..ROUTERS).prop_map(|(router, from)| Step::Pull { router, from }),
            2 => (0..ROUTERS, 0..ROUTERS).prop_map(|(router, from)| Step::Ask { router, from }),
            2 => (0..ROUTERS).prop_map(|router| Step::Deliver { router }),
            1 => (0..ROUTERS).prop_map(|router| Step::Restart { router }),
            2 => (0..ROUTERS).prop_map(|router| Step::Checkpoint { router }),
            1 => Just(Step::Forge),
            2 => (0..6usize).prop_map(|count| Step::Drop { count }),
            1 => any::<bool>().prop_map(Step::Outage),
        ]
        .boxed()
    }

    fn apply(mut model: ReferenceModel, step: &Step) -> ReferenceModel {
        match step {
            Step::Confirm { team, lag, .. } => {
                model.confirmed += 1;
                let change = (model.confirmed, *team, model.head.saturating_sub(*lag));
                model.last = Some(change);
                model.append(Some(change));
            }
            Step::Retry => model.append(model.last),
            Step::Checkpoint { .. } | Step::Forge => model.append(None),
            _ => {}
        }
        model
    }
}

/// System under test: the configurations of three routers over an in-memory log.
struct Fleet {
    log: Vec<EncodedRecord>,
    first: usize,
    is_out: bool,
    confirmed: u32,
    last: Option<Record>,
    routers: Vec<Config>,
    highest: Vec<Offset>,
    delayed: Vec<Option<ConfigSinceReply>>,
    authenticator: Authenticator,
}

impl Fleet {
    fn append(&mut self, record: &Record) {
        let data = serde_json::to_string(record).expect("JSON");
        let offset = Offset(self.log.len() as u64);
        self.log.push(EncodedRecord { offset, data });
    }

    fn confirm(&mut self, operator: u8, team_number: usize, lag: u64) {
        self.confirmed += 1;
        let base = (self.log.len() as u64).saturating_sub(lag);
        let record = Record::Change(Change {
            id: format!("change-{}", self.confirmed),
            operator: format!("operator-{operator}"),
            at: UnixMillis(0),
            base: Offset(base),
            ops: vec![team(&format!("team-{team_number}"), self.confirmed)],
            relies_on: Vec::new(),
        });
        self.append(&record);
        self.last = Some(record);
    }

    fn read(&mut self, router: usize, count: usize, again: u64) {
        if self.is_out {
            return;
        }
        let config = &self.routers[router];
        let from = config.current().applied.0.saturating_sub(again) as usize;
        if (config.current().applied.0 as usize) < self.first {
            let kept = &self.log[self.first..];
            let decoded: Vec<_> = kept
                .iter()
                .map(|record| (record.offset, ebonyspur::config::decode(record)))
                .collect();
            if let Some(state) = newest_valid_checkpoint(&decoded, &self.authenticator) {
                config.adopt(state.clone());
            }
            return;
        }
        let from = from.max(self.first);
        let to = (from + count).min(self.log.len());
        config.apply(&self.log[from.min(to)..to]);
        if config.current().applied.0 as usize == self.log.len() {
            config.set_synced();
        }
    }

    fn ask(&self, router: usize, from: usize) -> ConfigSinceReply {
        let applied = self.routers[router].current().applied;
        self.routers[from].changes_since(&ConfigSinceRequest { applied, chunk: 0 })
    }

    fn deliver(&mut self, router: usize, answer: ConfigSinceReply) {
        match answer {
            ConfigSinceReply::Records(records) => drop(self.routers[router].apply(&records)),
            ConfigSinceReply::State { parts, bytes, .. } => {
                assert_eq!(parts, 1);
                let state: ConfigState = serde_json::from_slice(&bytes).expect("a state");
                self.routers[router].adopt(state);
            }
            ConfigSinceReply::UpToDate(_) => self.routers[router].set_synced(),
            ConfigSinceReply::Unknown => {}
        }
    }

    fn checkpoint(&mut self, router: usize) {
        let state = self.routers[router].current();
        let checkpoint = Checkpoint::new(&state, UnixMillis(0), &self.authenticator);
        self.append(&Record::Checkpoint(checkpoint));
    }

    fn forge(&mut self) {
        let state = ConfigState {
            applied: Offset(self.log.len() as u64),
            ..ConfigState::default()
        };
        let other_authenticator =
            Authenticator::new(&[Secret::new("another-key")], Purpose::Checkpoint);
        let checkpoint = Checkpoint::new(&state, UnixMillis(0), &other_authenticator);
        self.append(&Record::Checkpoint(checkpoint));
    }
}

fn shares(state: &ConfigState) -> BTreeMap<usize, u32> {
    let number = |name: &str| name.trim_start_matches("team-").parse().expect("a number");
    let teams = state.teams.values();
    teams
        .map(|team| (number(team.name.as_str()), team.share))
        .collect()
}

struct FoldTest;

impl StateMachineTest for FoldTest {
    type SystemUnderTest = Fleet;
    type Reference = ReferenceModel;

    fn init_test(_: &ReferenceModel) -> Fleet {
        Fleet {
            log: Vec::new(),
            first: 0,
            is_out: false,
            confirmed: 0,
            last: None,
            routers: (0..ROUTERS).map(|_| Config::default()).collect(),
            highest: vec![Offset(0); ROUTERS],
            delayed: vec![None; ROUTERS],
            authenticator: Authenticator::new(
                &[Secret::new("key-of-the-fleet")],
                Purpose::Checkpoint,
            ),
        }
    }

    fn apply(mut fleet: Fleet, _: &ReferenceModel, step: Step) -> Fleet {
        for (highest, config) in fleet.highest.iter_mut().zip(&fleet.routers) {
            *highest = config.current().applied;
        }
        match step {
            Step::Confirm {
                operator,
                team,
                lag,
            } => fleet.confirm(operator, team, lag),
            Step::Retry => match fleet.last.clone() {
                Some(record) => fleet.append(&record),
                None => fleet.append(&Record::Checkpoint(Checkpoint::new(
                    &ConfigState::default(),
                    UnixMillis(0),
                    &fleet.authenticator,
                ))),
            },
            Step::Read {
                router,
                count,
                again,
            } => fleet.read(router, count, again),
            Step::Pull { router, from } => {
                let answer = fleet.ask(router, from);
                fleet.deliver(router, answer);
            }
            Step::Ask { router, from } => fleet.delayed[router] = Some(fleet.ask(router, from)),
            Step::Deliver { router } => {
                if let Some(answer) = fleet.delayed[router].clone() {
                    fleet.deliver(router, answer);
                }
            }
            Step::Restart { router } => {
                fleet.routers[router] = Config::default();
                fleet.highest[router] = Offset(0);
                fleet.delayed[router] = None;
            }
            Step::Checkpoint { router } => fleet.checkpoint(router),
            Step::Forge => fleet.forge(),
            Step::Drop { count } => fleet.first = (fleet.first + count).min(fleet.log.len()),
            Step::Outage(is_out) => fleet.is_out = is_out,
        }
        fleet
    }

    fn check_invariants(fleet: &Fleet, model: &ReferenceModel) {
        assert_eq!(fleet.log.len() as u64, model.head);
        let mut at: BTreeMap<Offset, std::sync::Arc<ConfigState>> = BTreeMap::new();
        for (router, config) in fleet.routers.iter().enumerate() {
            let state = config.current();
            assert!(
                state.applied >= fleet.highest[router],
                "the applied offset decreased"
            );
            let expected = &model.history[state.applied.0 as usize];
            assert_eq!(
                &shares(&state),
                expected,
                "the teams differ from the reference model"
            );
            let same = at.entry(state.applied).or_insert_with(|| state.clone());
            assert_eq!(*same, state, "two routers differ at the same offset");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn offsets_never_decrease_and_routers_agree_at_each_offset(sequential 1..60 => FoldTest);
}
