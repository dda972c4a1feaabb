//! Time of a decision: lookup, place and grant.

use std::{hint::black_box, sync::Arc};

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use ebonyspur::{
    admission::Trust,
    config::{Service, ServiceKind},
    lookup::{Address, Answer},
    membership::{Engine, PoolLoad, View},
    placement::{preferred, Hint, Preference, Spill, MAX_RANKS},
    platform::{Instance, InstanceChanges, InstanceKind, InstanceState},
    steward::{cautious_factor, load_bound, GrantId, HandOver, Holder, Steward},
    ChatId, DomainName, Incarnation, Instant, PoolName, RouterName, ServiceName,
};

/// Numbers of engines, with the routers before them.
const SIZES: [(usize, usize); 3] = [(16, 19), (150, 95), (600, 380)];

fn instance(kind: InstanceKind, number: usize) -> Instance {
    let name = match kind {
        InstanceKind::Router => format!("router-{number}"),
        _ => format!("engine-{number}"),
    };
    Instance {
        name,
        kind,
        pool: Some(PoolName::new("planners").unwrap()),
        address: ([127, 0, 0, 1], 1).into(),
        peer_address: Some(([127, 0, 0, 1], 2).into()),
        failure_domain: DomainName::new(&format!("d{}", number % 7)).unwrap(),
        state: InstanceState::Live,
        incarnation: Incarnation(number as u64),
    }
}

fn view(engines: usize, routers: usize) -> View {
    let mut view = View::new(RouterName::new("router-0").unwrap());
    let engines = (0..engines).map(|n| instance(InstanceKind::Engine, n));
    let routers = (1..routers).map(|n| instance(InstanceKind::Router, n));
    view.apply_instances(InstanceChanges {
        version: 1,
        full: true,
        instances: engines.chain(routers).collect(),
        gone: Vec::new(),
    });
    view
}

fn lookup(c: &mut Criterion) {
    let mut group = c.benchmark_group("lookup");
    for (engines, routers) in SIZES {
        let view = view(engines, routers);
        let me = Address {
            router: RouterName::new("router-0").unwrap(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: DomainName::new("d1").unwrap(),
        };
        let service = Service {
            name: ServiceName::new("planner").unwrap(),
            kind: ServiceKind::Chat,
            pool: PoolName::new("planners").unwrap(),
        };
        let chat = ChatId::new("chat-1").unwrap();
        let hint: Hint = "engine-7@7,engine-3@3,engine-5@5".parse().unwrap();
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| Answer::new(&view, &me, &service, black_box(&chat), &hint).unwrap());
        });
    }
}

fn place(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    for (engines, routers) in SIZES {
        let view = view(engines, routers);
        let pool = PoolName::new("planners").unwrap();
        let hint: Hint = "engine-7@7,engine-3@3,engine-5@5".parse().unwrap();
        let pref = Preference {
            ranks: MAX_RANKS,
            spill: Spill::NextRank,
            load: &|_| None,
        };
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| preferred(black_box("chat-1"), &hint, view.engines(&pool), &pref));
        });
    }
}

fn grant(c: &mut Criterion) {
    let mut group = c.benchmark_group("grant");
    for (engines, _) in SIZES {
        let view = view(engines, 2);
        let steward = Steward::default();
        let all: Vec<Arc<Engine>> = view.all_engines().cloned().collect();
        for engine in &all {
            settle(&steward, engine);
        }
        let router = RouterName::new("router-1").unwrap();
        let now = Instant::from_millis(1);
        let load = PoolLoad::new(7 * engines as u32, engines as u32);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| {
                number += 1;
                let engine = &all[number as usize % all.len()];
                let lowest = steward.lowest_load(&engine.pool, load, now);
                let bound = load_bound(lowest, cautious_factor(lowest, 1.25));
                let holder = Holder {
                    router: router.clone(),
                    incarnation: Incarnation(1),
                    grant: GrantId(number),
                };
                steward.grant(engine, holder, Trust::Ordinary, bound, now);
                let (grant, life) = (GrantId(number), Incarnation(1));
                steward.release(&engine.name, &router, life, grant, now);
            });
        });
    }
}

fn settle(steward: &Steward, engine: &Engine) {
    let now = Instant::from_millis(0);
    steward.take_over(engine, now);
    let book = HandOver {
        incarnation: engine.incarnation,
        holders: Vec::new(),
        unattributed: 0,
        complete: true,
    };
    steward.accept(&engine.name, book, now);
}

criterion_group!(decisions, lookup, place, grant);
criterion_main!(decisions);
