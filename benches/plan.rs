//! Benchmarks of drafting plans for a fleet of the size that the system is designed for.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use ebonyspur::{
    config::{ConfigState, Op},
    intent::{draft, EngineView, FleetView, Intent, Manifest},
    membership::PoolLoad,
    PoolName, UnixMillis,
};

const ENGINES: usize = 600;
const TEAMS: usize = 6_100;
const POOLS: usize = 3;

fn state() -> ConfigState {
    let mut yaml = "models: [{name: m, versions: [v1, v2]}]\npools:\n".to_string();
    for pool in 0..POOLS {
        yaml += &format!("  - {{name: pool-{pool}, slots: 16, versions: [v1]}}\n");
    }
    yaml += "teams:\n";
    for team in 0..TEAMS {
        yaml += &format!("  - {{name: team-{team}, version: v1}}\n");
    }
    let mut state = ConfigState::default();
    let ops: Vec<Op> = Manifest::from_yaml(&yaml).expect("objects").ops(&state);
    state.apply_ops(&ops).expect("objects that fit together");
    state
}

fn fleet() -> FleetView {
    let mut fleet = FleetView {
        routers: 380,
        ..FleetView::default()
    };
    for engine in 0..ENGINES {
        let pool = format!("pool-{}", engine % POOLS);
        let pool = pool.parse().expect("a name");
        let view = EngineView {
            pool,
            domain: format!("d{}", engine % 3).parse().expect("a name"),
            is_leaving: false,
        };
        let name = format!("engine-{engine}").parse().expect("a name");
        fleet.engines.insert(name, view);
    }
    for pool in 0..POOLS {
        let name = format!("pool-{pool}").parse().expect("a name");
        let load = PoolLoad::new(1_500, 200);
        fleet.loads.insert(name, load);
    }
    fleet
}

fn plans(criterion: &mut Criterion) {
    let (state, fleet) = (state(), fleet());
    let drain = Intent::Drain {
        engine: "engine-7".parse().expect("a name"),
    };
    let move_team = Intent::MoveTeam {
        team: "team-77".parse().expect("a name"),
        to: "v2".parse().expect("a name"),
    };
    let mut teams: Vec<_> = state.teams.values().cloned().collect();
    teams.iter_mut().for_each(|team| team.share = 2);
    let apply = Intent::Apply {
        objects: Manifest {
            teams,
            ..Manifest::default()
        },
    };
    let pool: PoolName = "pool-0".parse().expect("a name");
    let load = Op::Load {
        pool: pool.clone(),
        version: "v2".parse().expect("a name"),
    };
    let mut state_with_load = state.clone();
    state_with_load.apply_ops(&[load]).expect("a load");
    let rebalance = Intent::Rebalance {
        pool,
        copies: Some(ENGINES / POOLS / 2),
    };
    for (name, state, intent) in [
        ("rebalance", &state_with_load, rebalance),
        ("drain", &state, drain),
        ("move-team", &state, move_team),
        ("apply-all-teams", &state, apply),
    ] {
        criterion.bench_function(&format!("plan/{name}"), |bencher| {
            bencher.iter(|| draft(state, &fleet, black_box(&intent), "plan-1", UnixMillis(0)));
        });
    }
}

criterion_group!(benches, plans);
criterion_main!(benches);
