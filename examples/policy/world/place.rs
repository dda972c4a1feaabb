//! The life of a request: it seeks a slot, runs and ends.

use ebonyspur::{
    admission::CrashRisk,
    steward::{GrantHolder, GrantId, GrantReply, HandOver},
    Incarnation, Instant,
};

use super::{
    super::{
        policy::{Choice, Memory},
        trace::{Turn, SECOND},
    },
    chat_id, Event, World, FACTOR,
};

/// Time that a cold prefix adds.
const COLD: u64 = SECOND;

/// Time between two tries while waiting.
const TRY_AGAIN: u64 = SECOND / 10;

/// Longest wait for any engine.
const QUEUE: u64 = 2 * SECOND;

impl World<'_> {
    pub(super) fn arrive(&mut self, turn: usize, since: u64) {
        let Turn { chat, work, .. } = self.turns[turn];
        let (router, ordered) = match self.seekers.router(turn) {
            Some(router) => (router, self.ordered_by(router, chat, self.policy.spill)),
            None => self.order(chat),
        };
        let hint = self.hint(chat);
        let named = |at: &&usize| hint.position(&self.sims[**at].engine).is_some();
        let warm = ordered.iter().filter(named).count();
        let may_wait = warm > 0 && self.now < since + self.policy.wait;
        self.seekers
            .enter(turn, router, !may_wait || self.policy.warm_counts);
        let tried = if may_wait {
            &ordered[..warm]
        } else {
            &ordered[..]
        };
        let mut warm_first = tried.to_vec();
        if self.policy.warm_by_load {
            let loads = &self.known[router];
            let load = |at: &usize| loads.get(&self.sims[*at].engine, self.now).unwrap_or(0);
            warm_first[..warm].sort_by_key(load);
        }
        let tried = &warm_first;
        let grant = self.next;
        let granted = self.try_each(router, tried, warm, grant);
        match granted {
            Some(at) => {
                self.place(at, chat, work, grant);
                self.remember(router, at, chat);
            }
            None if may_wait || self.now < since + QUEUE => {
                self.schedule(self.now + TRY_AGAIN, Event::Arrive { turn, since });
                return;
            }
            None => self.report.refused += 1,
        }
        self.seekers.leave(turn);
        self.report.waited(self.now - since);
    }

    /// Tries the engines in order, below the bound for what they cache, then below the bound.
    fn try_each(
        &mut self,
        router: usize,
        tried: &[usize],
        warm: usize,
        grant: u64,
    ) -> Option<usize> {
        for (number, at) in tried.iter().enumerate() {
            let factor = if number < warm {
                FACTOR
            } else {
                self.policy.fresh
            };
            if self.acquire(router, *at, grant, factor) {
                return Some(*at);
            }
        }
        if self.policy.fresh >= FACTOR {
            return None;
        }
        let cold = tried.iter().skip(warm).copied();
        let cold: Vec<_> = cold.collect();
        cold.into_iter()
            .find(|at| self.acquire(router, *at, grant, FACTOR))
    }

    fn acquire(&mut self, router: usize, at: usize, grant: u64, factor: f64) -> bool {
        let steward = self.steward_of(at);
        if !self.sims[at].is_live(self.now) {
            return false;
        }
        if self.policy.choice != Choice::Bounded {
            return true;
        }
        if steward != router {
            self.report.calls += 1;
            if self.policy.spread.calls {
                self.news.exchange(router, steward, self.now);
            }
        }
        let bound = self.bound(steward, router, factor);
        let now = Instant::from_micros(self.now);
        let engine = self.sims[at].engine.clone();
        if self.steward.take_over(&engine, now) {
            let book = HandOver {
                incarnation: engine.incarnation,
                holders: Vec::new(),
                unattributed: 0,
                complete: true,
            };
            self.steward.accept_hand_over(&engine.name, book, now);
        }
        let trust = CrashRisk::Low;
        let reply = self
            .steward
            .grant(&engine, self.holder(grant), trust, bound, now);
        let in_flight = self.sims[at].in_flight;
        self.known[router].note(&engine.name, in_flight, self.now);
        reply == GrantReply::Granted
    }

    fn holder(&self, grant: u64) -> GrantHolder {
        GrantHolder {
            router: self.names[0].clone(),
            incarnation: Incarnation(1),
            grant: GrantId(grant),
        }
    }

    fn place(&mut self, at: usize, chat: u32, work: u64, grant: u64) {
        let in_flight = self.sims[at].in_flight;
        let over = in_flight >= self.true_bound();
        self.sims[at].overfilled |= over;
        let warm = self.sims[at].start(chat);
        let before = self.served.insert(chat, at);
        self.report.over_split += u64::from(over && self.is_split());
        self.report.over_fallen += u64::from(over && in_flight < self.bound_before());
        self.report
            .place(before.map(|before| before == at), warm, over);
        let took = work + if warm { 0 } else { COLD };
        self.schedule(self.now + took, Event::Finish { engine: at, grant });
    }

    fn remember(&mut self, router: usize, at: usize, chat: u32) {
        let engine = self.sims[at].engine.clone();
        match self.policy.memory {
            Memory::None => {}
            Memory::Hint(entries) => {
                let hint = self.memory.entry(chat).or_default();
                *hint = hint.with_served_by(&engine).with_entries(entries);
            }
            Memory::Directory => {
                let home = self.home(chat);
                // One call to read the entry and one to write it.
                self.report.calls += if home == router { 0 } else { 2 };
                self.directories[home].record(&chat_id(chat), &engine);
            }
        }
    }

    pub(super) fn finish(&mut self, at: usize, grant: u64) {
        let holder = self.holder(grant);
        self.sims[at].in_flight -= 1;
        let name = &self.sims[at].engine.name;
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
