//! Handles a request: waits for a slot, starts on an engine and finishes.

use ebonyspur::{
    admission::CrashRisk,
    steward::{GrantHolder, GrantId, GrantReply, HandOver},
    Incarnation, Instant,
};

use super::{
    super::{
        policy::{Choice, HintMemory},
        trace::{Turn, SECOND},
    },
    chat_id, Event, Simulation, LOAD_FACTOR,
};

/// Duration added to a request whose prefix is not cached.
const COLD_PREFIX_TIME: u64 = SECOND;

/// Time between two attempts of a waiting request to get a slot.
const RETRY_INTERVAL: u64 = SECOND / 10;

/// Longest wait for a slot on any engine.
const MAX_QUEUE_TIME: u64 = 2 * SECOND;

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, turn: usize, since: u64) {
        let Turn { chat, work, .. } = self.turns[turn];
        let (router, ordered) = match self.waiting.router_of(turn) {
            Some(router) => (
                router,
                self.ordered_by(router, chat, self.policy.fallback_order),
            ),
            None => self.order(chat),
        };
        let hint = self.hint(chat);
        let named = |index: &&usize| hint.position(&self.engines[**index].engine).is_some();
        let warm = ordered.iter().filter(named).count();
        let may_wait = warm > 0 && self.now < since + self.policy.warm_wait;
        self.waiting
            .insert(turn, router, !may_wait || self.policy.warm_wait_counts);
        let tried = if may_wait {
            &ordered[..warm]
        } else {
            &ordered[..]
        };
        let mut ordered_tried = tried.to_vec();
        if self.policy.warm_by_load {
            let loads = &self.reported_loads[router];
            let load = |index: &usize| {
                loads
                    .get(&self.engines[*index].engine, self.now)
                    .unwrap_or(0)
            };
            ordered_tried[..warm].sort_by_key(load);
        }
        let tried = &ordered_tried;
        let grant = self.last_event;
        let granted = self.try_each(router, tried, warm, grant);
        match granted {
            Some(index) => {
                self.place(index, chat, work, grant);
                self.store_hint(router, index, chat);
            }
            None if may_wait || self.now < since + MAX_QUEUE_TIME => {
                self.schedule(self.now + RETRY_INTERVAL, Event::Arrive { turn, since });
                return;
            }
            None => self.report.refused += 1,
        }
        self.waiting.remove(turn);
        self.report.record_wait(self.now - since);
    }

    /// Tries the engines in order and returns the first one that grants a slot.
    ///
    /// The first `warm` engines are tried up to the bound, the others up to the lower limit for
    /// chats that they do not cache, and then up to the bound as well.
    fn try_each(
        &mut self,
        router: usize,
        tried: &[usize],
        warm: usize,
        grant: u64,
    ) -> Option<usize> {
        for (number, index) in tried.iter().enumerate() {
            let factor = if number < warm {
                LOAD_FACTOR
            } else {
                self.policy.uncached_factor
            };
            if self.acquire(router, *index, grant, factor) {
                return Some(*index);
            }
        }
        if self.policy.uncached_factor >= LOAD_FACTOR {
            return None;
        }
        let cold = tried.iter().skip(warm).copied();
        let cold: Vec<_> = cold.collect();
        cold.into_iter()
            .find(|index| self.acquire(router, *index, grant, LOAD_FACTOR))
    }

    fn acquire(&mut self, router: usize, index: usize, grant: u64, factor: f64) -> bool {
        let steward = self.steward_of(index);
        if !self.engines[index].is_live(self.now) {
            return false;
        }
        if self.policy.choice != Choice::Bounded {
            return true;
        }
        if steward != router {
            self.report.calls += 1;
            if self.policy.gossip.on_calls {
                self.load_times.exchange(router, steward, self.now);
            }
        }
        let bound = self.bound(steward, router, factor);
        let now = Instant::from_micros(self.now);
        let engine = self.engines[index].engine.clone();
        if self.steward.take_over(&engine, now) {
            let hand_over = HandOver {
                incarnation: engine.incarnation,
                holders: Vec::new(),
                unattributed: 0,
                complete: true,
            };
            self.steward.accept_hand_over(&engine.name, hand_over, now);
        }
        let crash_risk = CrashRisk::Low;
        let reply = self
            .steward
            .grant(&engine, self.holder(grant), crash_risk, bound, now);
        let in_flight = self.engines[index].in_flight;
        self.reported_loads[router].insert(&engine.name, in_flight, self.now);
        reply == GrantReply::Granted
    }

    fn holder(&self, grant: u64) -> GrantHolder {
        GrantHolder {
            router: self.router_names[0].clone(),
            incarnation: Incarnation(1),
            grant: GrantId(grant),
        }
    }

    fn place(&mut self, index: usize, chat: u32, work: u64, grant: u64) {
        let in_flight = self.engines[index].in_flight;
        let over = in_flight >= self.actual_bound();
        self.engines[index].overfilled |= over;
        let warm = self.engines[index].start(chat);
        let before = self.last_engine.insert(chat, index);
        self.report.over_split += u64::from(over && self.lists_may_differ());
        self.report.over_fallen += u64::from(over && in_flight < self.bound_one_second_ago());
        self.report
            .record_placement(before.map(|before| before == index), warm, over);
        let duration = work + if warm { 0 } else { COLD_PREFIX_TIME };
        self.schedule(
            self.now + duration,
            Event::Finish {
                engine: index,
                grant,
            },
        );
    }

    fn store_hint(&mut self, router: usize, index: usize, chat: u32) {
        let engine = self.engines[index].engine.clone();
        match self.policy.memory {
            HintMemory::None => {}
            HintMemory::Hint(entries) => {
                let hint = self.hints.entry(chat).or_default();
                *hint = hint.with_served_by(&engine).with_entries(entries);
            }
            HintMemory::Directory => {
                let home = self.home(chat);
                // One call to read the entry and one to write it.
                self.report.calls += if home == router { 0 } else { 2 };
                self.directories[home].record(&chat_id(chat), &engine);
            }
        }
    }

    pub(super) fn finish(&mut self, index: usize, grant: u64) {
        let holder = self.holder(grant);
        self.engines[index].in_flight -= 1;
        let name = &self.engines[index].engine.name;
        self.steward.release(
            name,
            &holder.router,
            holder.incarnation,
            holder.grant,
            Instant::from_micros(self.now),
        );
        self.report.finished += 1;
    }
}
