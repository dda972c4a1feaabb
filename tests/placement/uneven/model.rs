//! A fleet of routers and the servers of one pool in virtual time.

use std::{collections::VecDeque, time::Duration};

use ebonyspur::{
    catalog::{LoadReport, ReportedLoad, Server, ServerKey, ServerLoads, Slowness, SlownessReport},
    placement::{pick_by_session, pick_by_two_choices, Candidate, LoadBound},
    DomainName, EngineName, Incarnation, Instant, PoolName,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::measures::Measures;

/// Virtual time between two steps, in milliseconds.
const STEP_MS: u64 = 5;

/// Time between two digests of a router, in milliseconds.
const DIGEST_MS: u64 = 300;

/// Time from a digest to its arrival at the other routers, in milliseconds.
const DIGEST_DELAY_MS: u64 = 300;

/// Number of requests that one server runs as fast as one request takes, for engines.
const BATCH: f64 = 12.0;

/// Work of the first request of a session at an engine, beyond that of each request.
const PREFILL_MS: f64 = 75.0;

/// How routers compare servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// By the number of requests in flight.
    Count,
    /// By expected time, from the responses that the router itself received.
    OwnReports,
    /// By expected time, from the responses that any router received.
    SharedReports,
}

/// The load of a replay.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub routers: usize,
    pub servers: usize,
    pub slots: u32,
    pub has_engines: bool,
    /// Requests a second from all callers.
    pub per_s: f64,
    pub work_ms: f64,
    pub sessions: usize,
    /// Fraction of the requests that belong to one session.
    pub hot_share: f64,
    /// Slowness of a server, by its number and the time in milliseconds.
    pub slowness: fn(usize, u64) -> f64,
    pub end_ms: u64,
}

struct Job {
    router: usize,
    left_ms: f64,
    started_ms: u64,
}

#[derive(Default)]
struct Backend {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
}

struct Router {
    loads: ServerLoads,
    /// Requests in flight, by server.
    in_flight: Vec<u32>,
    /// The same as its last digest said that has arrived.
    announced: Vec<u32>,
}

struct Digest {
    arrives_ms: u64,
    router: usize,
    in_flight: Vec<u32>,
    reports: Vec<SlownessReport>,
}

/// The state of a replay.
pub struct Replay {
    load: Load,
    rule: Rule,
    rng: Pcg64Mcg,
    servers: Vec<Server>,
    backends: Vec<Backend>,
    routers: Vec<Router>,
    digests: VecDeque<Digest>,
    /// Sum of what all routers have announced.
    announced: Vec<u32>,
    warm: Vec<Vec<ServerKey>>,
    measures: Measures,
}

impl Replay {
    pub fn new(load: Load, rule: Rule, seed: u64) -> Self {
        let router = |_| Router {
            loads: ServerLoads::default(),
            in_flight: vec![0; load.servers],
            announced: vec![0; load.servers],
        };
        Replay {
            load,
            rule,
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: (0..load.servers)
                .map(|number| server(number, load.slots))
                .collect(),
            backends: (0..load.servers).map(|_| Backend::default()).collect(),
            routers: (0..load.routers).map(router).collect(),
            digests: VecDeque::new(),
            announced: vec![0; load.servers],
            warm: vec![Vec::new(); load.sessions],
            measures: Measures::new(load.servers),
        }
    }

    /// Plays the whole time and returns what was measured.
    pub fn run(mut self) -> Measures {
        let mut due = 0.0;
        for ms in (0..self.load.end_ms).step_by(STEP_MS as usize) {
            self.deliver(ms);
            due += self.load.per_s * STEP_MS as f64 / 1_000.0;
            // Arrivals are spread at random, by an exponential time between two of them.
            while due > 0.0 {
                due += self.rng.random::<f64>().max(1e-9).ln();
                self.arrive(ms);
            }
            self.work(ms);
            self.announce(ms);
            let slowness = |number| (self.load.slowness)(number, ms);
            let in_flight: Vec<_> = self.backends.iter().map(Backend::len).collect();
            self.measures.sample(&in_flight, slowness, ms);
        }
        self.measures
    }

    fn arrive(&mut self, ms: u64) {
        let router = self.rng.random_range(0..self.load.routers);
        let is_hot = self.rng.random::<f64>() < self.load.hot_share;
        let any = self.rng.random_range(0..self.load.sessions);
        let session = if is_hot { 0 } else { any };
        let choices = (self.rng.random::<u32>(), self.rng.random::<u32>());
        let now = Instant::from_millis(ms);
        let chosen = self.choose(router, session, choices, now);
        self.measures.record_sent(&self.in_flight(), chosen);
        let key = self.servers[chosen].key();
        let warm = &mut self.warm[session];
        let is_cold = self.load.has_engines && !warm.contains(&key);
        warm.retain(|known| *known != key);
        warm.insert(0, key);
        warm.truncate(3);
        self.measures.record_cold(is_cold);
        let spread = 0.5 + self.rng.random::<f64>();
        let prefill = if is_cold { PREFILL_MS } else { 0.0 };
        let job = Job {
            router,
            left_ms: self.load.work_ms * spread + prefill,
            started_ms: ms,
        };
        let backend = &mut self.backends[chosen];
        if backend.len() >= 5 * self.load.slots {
            self.measures.record_rejected();
            return;
        }
        self.routers[router].in_flight[chosen] += 1;
        if self.load.has_engines {
            // The head of a stream comes with its first event, soon after the start.
            self.report(router, chosen, now);
        }
        self.backends[chosen].waiting.push_back(job);
    }

    fn in_flight(&self) -> Vec<u32> {
        self.backends.iter().map(Backend::len).collect()
    }

    fn choose(&self, router: usize, session: usize, choices: (u32, u32), now: Instant) -> usize {
        let own = &self.routers[router];
        let loads: Vec<_> = (0..self.load.servers)
            .map(|s| self.announced[s] - own.announced[s] + own.in_flight[s])
            .collect();
        let factors = match self.rule {
            Rule::Count => vec![1.0; self.load.servers],
            _ => own
                .loads
                .slowness_factors(self.servers.iter().map(Server::key), now),
        };
        let candidates = self.servers.iter().zip(&loads).zip(&factors);
        let candidates: Vec<_> = candidates
            .map(|((server, load), slowness)| Candidate {
                server,
                load: *load,
                slowness: *slowness,
                is_avoided: false,
                pending_tokens: 0,
            })
            .collect();
        let chosen = if self.load.has_engines {
            let bound = LoadBound {
                factor: 1.7,
                extra: 2.0,
            };
            let limit = bound.limit(loads.into_iter());
            pick_by_session(session as u64, &candidates, limit, &self.warm[session])
        } else {
            pick_by_two_choices(&candidates, choices.0 as usize, choices.1 as usize)
        };
        chosen.expect("a server")
    }

    /// Lets `router` receive a response of a server.
    fn report(&self, router: usize, server: usize, now: Instant) {
        let backend = &self.backends[server];
        let percent = (self.load.slowness)(server, now.as_micros() / 1_000) * 100.0;
        let reported = ReportedLoad {
            running: backend.running.len() as u32,
            waiting: backend.waiting.len() as u32,
            slots: self.load.slots,
            slowness: Some(Slowness::from_percent(percent as u32)),
        };
        let loads = &self.routers[router].loads;
        loads.record_report(&self.servers[server], LoadReport::Load(reported), now);
    }

    fn work(&mut self, ms: u64) {
        for number in 0..self.load.servers {
            let slowness = (self.load.slowness)(number, ms);
            let backend = &mut self.backends[number];
            while backend.running.len() < self.load.slots as usize {
                let Some(job) = backend.waiting.pop_front() else {
                    break;
                };
                backend.running.push(job);
            }
            let shared = match self.load.has_engines {
                true => 1.0 + backend.running.len() as f64 / BATCH,
                false => 1.0,
            };
            let done_ms = STEP_MS as f64 / slowness / shared;
            for job in &mut backend.running {
                job.left_ms -= done_ms;
            }
            let running = std::mem::take(&mut backend.running);
            let (ended, running): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|job| job.left_ms <= 0.0);
            backend.running = running;
            for job in ended {
                self.routers[job.router].in_flight[number] -= 1;
                let took = Duration::from_millis(ms + STEP_MS - job.started_ms);
                self.measures.record_done(number, took);
                if !self.load.has_engines {
                    self.report(job.router, number, Instant::from_millis(ms));
                }
            }
        }
    }

    fn announce(&mut self, ms: u64) {
        for (number, router) in self.routers.iter().enumerate() {
            // Routers send in turn over the period.
            let phase = number as u64 * DIGEST_MS / self.load.routers as u64 / STEP_MS * STEP_MS;
            if ms % DIGEST_MS == phase {
                self.digests.push_back(Digest {
                    arrives_ms: ms + DIGEST_DELAY_MS,
                    router: number,
                    in_flight: router.in_flight.clone(),
                    reports: router.loads.reports(Instant::from_millis(ms)),
                });
            }
        }
    }

    fn deliver(&mut self, ms: u64) {
        while self
            .digests
            .front()
            .is_some_and(|digest| digest.arrives_ms <= ms)
        {
            let Some(digest) = self.digests.pop_front() else {
                return;
            };
            let before = &mut self.routers[digest.router].announced;
            for ((sum, before), now) in self.announced.iter_mut().zip(before).zip(&digest.in_flight)
            {
                *sum = *sum - *before + now;
                *before = *now;
            }
            if self.rule == Rule::SharedReports && !digest.reports.is_empty() {
                for (number, router) in self.routers.iter().enumerate() {
                    if number != digest.router {
                        router
                            .loads
                            .receive(&digest.reports, Instant::from_millis(ms));
                    }
                }
            }
        }
    }
}

impl Backend {
    fn len(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }
}

fn server(number: usize, slots: u32) -> Server {
    Server {
        name: EngineName::new(&format!("e{number}")).unwrap(),
        pool: PoolName::new("writers").unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: DomainName::new("d1").unwrap(),
        incarnation: Incarnation(1),
        slots,
        leaving: false,
    }
}
