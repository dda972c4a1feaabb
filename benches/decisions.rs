//! Benchmarks of the decisions of a router: lookup, placement and grant.

use std::{collections::BTreeSet, hint::black_box, sync::Arc};

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use ebonyspur::{
    admission::CrashRisk,
    config::{Service, ServiceKind},
    infra::{Instance, InstanceChanges, InstanceKind, InstanceState},
    lookup::LookupAnswer,
    membership::Engine,
    placement::Hint,
    steward::{GrantId, GrantReply, GrantRequest, HandOver, LoadLimit},
    ChatId, DomainName, Incarnation, Instant, PoolName, Router, RouterName, ServiceName, Settings,
};

const SETTINGS: &str = "
router: {name: router-0, failure_domain: d0}
listen: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'}
platform: {url: 'http://127.0.0.1:4'}
peers: {keys: [key-of-the-bench-fleet]}
";

/// Numbers of engines and of routers of the measured fleets.
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

fn pool() -> PoolName {
    PoolName::new("planners").unwrap()
}

/// Returns a router that knows all instances and is the active steward of its engines.
fn router(engines: usize, routers: usize) -> Arc<Router> {
    let cx = Router::new(Settings::from_yaml(SETTINGS).unwrap());
    let engines = (0..engines).map(|n| instance(InstanceKind::Engine, n));
    let routers = (0..routers).map(|n| instance(InstanceKind::Router, n));
    cx.membership.apply_instances(InstanceChanges {
        version: 1,
        full: true,
        instances: engines.chain(routers).collect(),
        gone: Vec::new(),
    });
    own_engines(&cx)
        .iter()
        .for_each(|engine| complete_take_over(&cx, engine));
    cx
}

fn own_engines(cx: &Router) -> Vec<Arc<Engine>> {
    let all: Vec<_> = cx.membership.view().all_engines().cloned().collect();
    let own = |engine: &Arc<Engine>| cx.remote_steward(&engine.name).is_none();
    all.into_iter().filter(own).collect()
}

fn complete_take_over(cx: &Router, engine: &Engine) {
    let now = Instant::from_millis(0);
    cx.steward.take_over(engine, now);
    let hand_over = HandOver {
        incarnation: engine.incarnation,
        holders: Vec::new(),
        unattributed: 0,
        complete: true,
    };
    cx.steward.accept_hand_over(&engine.name, hand_over, now);
}

fn chat() -> (ChatId, Hint) {
    let hint = "engine-7@7,engine-3@3,engine-5@5";
    (ChatId::new("chat-1").unwrap(), hint.parse().unwrap())
}

fn lookup(c: &mut Criterion) {
    let (_, hint) = chat();
    lookup_with(c, "lookup", &hint);
    lookup_with(c, "lookup_new_chat", &Hint::default());
}

fn lookup_with(c: &mut Criterion, name: &str, hint: &Hint) {
    let mut group = c.benchmark_group(name);
    let service = Service {
        name: ServiceName::new("planner").unwrap(),
        kind: ServiceKind::Chat,
        pool: pool(),
    };
    let (chat, _) = chat();
    for (engines, routers) in SIZES {
        let cx = router(engines, routers);
        let me = cx.address();
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| {
                let view = cx.membership.view();
                LookupAnswer::new(&view, &me, &service, black_box(&chat), hint).unwrap()
            });
        });
    }
}

fn place(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    let (chat, hint) = chat();
    let (pool, failed) = (pool(), BTreeSet::new());
    let team = "kerb".parse().expect("a name");
    for (engines, routers) in SIZES {
        let cx = router(engines, routers);
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| cx.candidates(&pool, &team, black_box(&chat), &hint, &failed));
        });
    }
}

/// Measures a steward's answer to the grant request of another router, with the release.
fn grant(c: &mut Criterion) {
    let mut group = c.benchmark_group("grant");
    let requesting_router = RouterName::new("router-1").unwrap();
    for (engines, routers) in SIZES {
        let cx = router(engines, routers);
        let own = own_engines(&cx);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| {
                number += 1;
                let engine = &own[number as usize % own.len()];
                let (grant, incarnation) = (GrantId(number), Incarnation(1));
                let req = GrantRequest {
                    engine: engine.name.clone(),
                    incarnation: engine.incarnation,
                    grant,
                    waiting: 0,
                    limit: LoadLimit::Bound,
                    crash_risk: CrashRisk::Low,
                };
                let reply = cx.handle_grant(&requesting_router, incarnation, &req);
                assert_eq!(reply, GrantReply::Granted);
                let now = cx.clock.now();
                cx.steward
                    .release(&engine.name, &requesting_router, incarnation, grant, now);
            });
        });
    }
}

criterion_group!(decisions, lookup, place, grant);
criterion_main!(decisions);
