//! A fleet of routers and plain servers in virtual time, for the waiting room.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use ebonyspur::{
    admission::{Crowding, Decision, RoomRequest, Ticket, WaitingRoom},
    catalog::ReportedLoad,
    Instant, TeamName,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ROUTERS: usize = 122;
const SERVERS: usize = 7;
const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// Virtual time of the surge and of the run, in microseconds.
const SURGE_US: std::ops::Range<u64> = 2_000_000..12_000_000;
const END_US: u64 = 16_000_000;

/// Usual arrivals a second at all routers; the greedy team has a tenth of them.
const USUAL_PER_S: f64 = 300.0;
const SURGE_FACTOR: f64 = 3.0;
const GREEDY_FACTOR: f64 = 8.0;
const TEAMS: usize = 10;

/// Longest wait, and the time after which an answer is late, in microseconds.
const WAIT_US: u64 = 120_000;
const GOAL_US: u64 = 300_000;

/// Time on the way to a server or back, in microseconds.
const LINK_US: u64 = 1_500;

/// Fraction of the callers that come back at once, and how often.
const IMPATIENT: f64 = 0.3;
const IMPATIENT_RETRIES: u32 = 3;

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// Half of the routers start again in the middle of the surge.
    Restarts,
    /// The loads of others reach a router five times later, and some never.
    LateDigests,
}

/// What became of the requests of a kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcomes {
    pub asked: u32,
    pub on_time: u32,
    pub late: u32,
}

/// Result of a run; requests are counted that arrived within the surge.
#[derive(Debug, Default)]
pub struct Totals {
    /// By whether the team is the greedy one, and by urgency.
    pub outcomes: BTreeMap<(bool, u8), Outcomes>,
    pub arrivals: u32,
    pub turned_away: u32,
    pub rejected: u32,
    pub longest_wait_us: u64,
    pub busy_us: u64,
}

impl Totals {
    /// Returns one line a kind of request, and one for the servers.
    pub fn describe(&self) -> String {
        let mut lines = Vec::new();
        for ((greedy, urgency), o) in &self.outcomes {
            let share = |count: u32| f64::from(count) / f64::from(o.asked.max(1));
            let team = if *greedy { "greedy" } else { "others" };
            let (on_time, late) = (share(o.on_time), share(o.late));
            lines.push(format!(
                "{team} urgency {urgency}: {} asked, on time {on_time:.2}, late {late:.2}",
                o.asked
            ));
        }
        let surge = (SURGE_US.end - SURGE_US.start) as f64;
        lines.push(format!(
            "servers: turned away {:.3} of {}, busy {:.2}; routers: rejected {}, longest wait {} ms",
            f64::from(self.turned_away) / f64::from(self.arrivals.max(1)),
            self.arrivals,
            self.busy_us as f64 / surge / (SERVERS * SLOTS) as f64,
            self.rejected,
            self.longest_wait_us / 1_000
        ));
        lines.join("\n")
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    router: usize,
    team: usize,
    urgency: u8,
    /// Arrival of the caller's first attempt.
    first_us: u64,
    arrived_us: u64,
    retries: u32,
    impatient: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Look(usize),
    Reach(usize, usize),
    Finish(usize, usize),
    Answer(usize, (u32, u32), bool),
    Digest,
    Restart,
}

#[derive(Debug, Default)]
struct Server {
    running: usize,
    waiting: VecDeque<usize>,
}

/// A fleet in virtual time.
pub struct Model {
    with_room: bool,
    trouble: Trouble,
    rng: Pcg64Mcg,
    now: u64,
    next: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    requests: Vec<Request>,
    servers: Vec<Server>,
    rooms: Vec<WaitingRoom>,
    waiting: Vec<BTreeMap<Ticket, usize>>,
    teams: Vec<TeamName>,
    /// Loads of the servers as the routers know them from digests.
    known: Vec<usize>,
    totals: Totals,
}

impl Model {
    pub fn new(with_room: bool, trouble: Trouble, seed: u64) -> Self {
        Model {
            with_room,
            trouble,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            next: 0,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            rooms: (0..ROUTERS).map(|_| WaitingRoom::new(time(0))).collect(),
            waiting: vec![BTreeMap::new(); ROUTERS],
            teams: (0..TEAMS)
                .map(|n| crate::model::team(&format!("t{n}")))
                .collect(),
            known: vec![0; SERVERS],
            totals: Totals::default(),
        }
    }

    pub fn run(mut self) -> Totals {
        self.plan_arrivals();
        self.at(0, Event::Digest);
        if self.trouble == Trouble::Restarts {
            self.at((SURGE_US.start + SURGE_US.end) / 2, Event::Restart);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.totals
    }

    fn at(&mut self, time: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((time, self.next, event)));
    }

    fn plan_arrivals(&mut self) {
        for team in 0..TEAMS {
            let usual = USUAL_PER_S / TEAMS as f64;
            let mut at = 0.0;
            while at < END_US as f64 {
                let surge = SURGE_US.contains(&(at as u64));
                let factor = match (surge, team) {
                    (false, _) => 1.0,
                    (true, 0) => SURGE_FACTOR * GREEDY_FACTOR,
                    (true, _) => SURGE_FACTOR,
                };
                let u: f64 = self.rng.random();
                at += -(1.0 - u).ln() / (usual * factor) * 1e6;
                let request = Request {
                    router: self.rng.random_range(0..ROUTERS),
                    team,
                    urgency: if self.rng.random_bool(0.2) { 0 } else { 2 },
                    first_us: at as u64,
                    arrived_us: at as u64,
                    retries: 0,
                    impatient: self.rng.random_bool(IMPATIENT),
                };
                if surge {
                    let kind = (team == 0, request.urgency);
                    self.totals.outcomes.entry(kind).or_default().asked += 1;
                }
                self.requests.push(request);
                self.at(at as u64, Event::Arrive(self.requests.len() - 1));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::Look(router) => self.look(router),
            Event::Reach(id, server) => self.reach(id, server),
            Event::Finish(id, server) => self.finish(id, server),
            Event::Answer(id, load, served) => self.answer(id, load, served),
            Event::Digest => self.digest(),
            Event::Restart => {
                for router in (0..ROUTERS).step_by(2) {
                    self.rooms[router] = WaitingRoom::new(time(self.now));
                    self.waiting[router].clear();
                }
            }
        }
    }

    fn digest(&mut self) {
        let late = self.trouble == Trouble::LateDigests;
        if !late || self.rng.random_bool(0.8) {
            let load = |server: &Server| server.running + server.waiting.len();
            self.known = self.servers.iter().map(load).collect();
        }
        if self.now < END_US {
            self.at(
                self.now + if late { 1_500_000 } else { 300_000 },
                Event::Digest,
            );
        }
    }

    fn arrive(&mut self, id: usize) {
        let (request, now) = (self.requests[id], time(self.now));
        let room = &mut self.rooms[request.router];
        if !self.with_room || room.try_admit(now) {
            return self.send(id);
        }
        let asked = RoomRequest {
            urgency: request.urgency,
            team: &self.teams[request.team],
            latest: now + Duration::from_micros(WAIT_US),
        };
        match room.enter(asked, now) {
            Some(ticket) => {
                self.waiting[request.router].insert(ticket, id);
                self.look(request.router);
            }
            None => self.reject(id),
        }
    }

    fn look(&mut self, router: usize) {
        let now = time(self.now);
        let tickets: Vec<_> = self.waiting[router]
            .iter()
            .map(|(t, id)| (*t, *id))
            .collect();
        let mut next = None;
        for (ticket, id) in tickets {
            match self.rooms[router].decide(ticket, now) {
                Decision::Admit(()) => {
                    self.waiting[router].remove(&ticket);
                    let waited = self.now - self.requests[id].arrived_us;
                    self.totals.longest_wait_us = self.totals.longest_wait_us.max(waited);
                    self.send(id);
                }
                Decision::Reject { .. } => {
                    self.waiting[router].remove(&ticket);
                    self.reject(id);
                }
                Decision::Wait { until } => next = Some(until),
            }
        }
        if let Some(until) = next {
            let at = until.as_micros().max(self.now + 1_000);
            self.at(at, Event::Look(router));
        }
    }

    fn send(&mut self, id: usize) {
        let (a, b) = (
            self.rng.random_range(0..SERVERS),
            self.rng.random_range(0..SERVERS),
        );
        let server = if self.known[b] < self.known[a] { b } else { a };
        self.at(self.now + LINK_US, Event::Reach(id, server));
    }

    fn reach(&mut self, id: usize, server: usize) {
        let counts = SURGE_US.contains(&self.now);
        self.totals.arrivals += u32::from(counts);
        if self.servers[server].running < SLOTS {
            self.start(id, server);
        } else if self.servers[server].waiting.len() < QUEUE {
            self.servers[server].waiting.push_back(id);
        } else {
            self.totals.turned_away += u32::from(counts);
            let load = self.load(server);
            self.at(self.now + LINK_US, Event::Answer(id, load, false));
        }
    }

    fn start(&mut self, id: usize, server: usize) {
        self.servers[server].running += 1;
        let work: f64 = 30_000.0 - 30_000.0 * (1.0 - self.rng.random::<f64>()).ln();
        if SURGE_US.contains(&self.now) {
            self.totals.busy_us += work as u64;
        }
        self.at(self.now + work as u64, Event::Finish(id, server));
    }

    fn finish(&mut self, id: usize, server: usize) {
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].waiting.pop_front() {
            self.start(next, server);
        }
        let load = self.load(server);
        self.at(self.now + LINK_US, Event::Answer(id, load, true));
    }

    fn load(&self, server: usize) -> (u32, u32) {
        let server = &self.servers[server];
        (server.running as u32, server.waiting.len() as u32)
    }

    fn answer(&mut self, id: usize, (running, waiting): (u32, u32), served: bool) {
        let request = self.requests[id];
        let crowding = if served {
            Crowding::from_load(ReportedLoad {
                running,
                waiting,
                slots: SLOTS as u32,
                slowness: None,
            })
        } else {
            Crowding::REJECTING
        };
        self.rooms[request.router].record_response(crowding, time(self.now));
        if !served {
            return self.come_back(id);
        }
        if SURGE_US.contains(&request.first_us) {
            let kind = (request.team == 0, request.urgency);
            let outcomes = self.totals.outcomes.entry(kind).or_default();
            if self.now - request.first_us <= GOAL_US {
                outcomes.on_time += 1;
            } else {
                outcomes.late += 1;
            }
        }
    }

    fn reject(&mut self, id: usize) {
        self.totals.rejected += u32::from(SURGE_US.contains(&self.now));
        self.come_back(id);
    }

    /// The caller sends its request again: impatient callers at once, the others later, one time.
    fn come_back(&mut self, id: usize) {
        let mut request = self.requests[id];
        let retries = if request.impatient {
            IMPATIENT_RETRIES
        } else {
            1
        };
        if request.retries >= retries {
            return;
        }
        let delay = if request.impatient {
            5_000
        } else {
            self.rng.random_range(200_000..600_000)
        };
        request.retries += 1;
        request.arrived_us = self.now + delay;
        request.router = self.rng.random_range(0..ROUTERS);
        self.requests.push(request);
        self.at(request.arrived_us, Event::Arrive(self.requests.len() - 1));
    }
}

fn time(us: u64) -> Instant {
    Instant::default() + Duration::from_micros(us)
}
