//! Compares the placement policy with baselines in a simulation of a seeded trace.
//!
//! Prints a table for each period of changes and then all figures as one line of JSON.
//! The same seed gives the same figures.

mod engines;
mod policy;
mod report;
mod reported_loads;
mod simulation;
mod trace;

use std::collections::BTreeMap;

use clap::Parser;

use self::{
    policy::{Choice, HintMemory, Policy, BASELINES, VARIANTS},
    report::Report,
    simulation::Simulation,
    trace::SECOND,
};

#[derive(Parser)]
struct Args {
    /// Seed of the trace.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds between two changes of the set of engines; both 20 and 120 when absent.
    #[arg(long)]
    churn_s: Option<u64>,
    /// Length of the trace in seconds.
    #[arg(long, default_value_t = 1_800)]
    seconds: u64,
    /// Number of engines at the start.
    #[arg(long, default_value_t = 12)]
    engines: usize,
    /// Simulates callers that do not return hints.
    #[arg(long)]
    no_return_hints: bool,
    /// Also runs the variants of the policy that differ from it in one setting.
    #[arg(long)]
    rounds: bool,
}

fn main() {
    let args = Args::parse();
    let periods = args.churn_s.map_or(vec![20, 120], |period| vec![period]);
    let mut reports_by_period = BTreeMap::new();
    for period in periods {
        println!("churn every {period} s");
        let reports = compare(&args, period);
        print_table(&reports);
        let named: BTreeMap<_, _> = reports.into_iter().map(|r| (r.name, r)).collect();
        reports_by_period.insert(format!("churn_{period}_s"), named);
    }
    println!(
        "{}",
        serde_json::to_string(&reports_by_period).expect("a report")
    );
}

fn compare(args: &Args, period: u64) -> Vec<Report> {
    let turns = trace::turns(args.seed, args.seconds, args.engines);
    let changes = trace::engine_changes(args.seed, args.seconds, period);
    let mut policies = BASELINES.to_vec();
    if args.rounds {
        policies.extend(VARIANTS);
    }
    let run = |policy: Policy| {
        let policy = if args.no_return_hints {
            without_hints(policy)
        } else {
            policy
        };
        Simulation::new(policy, args.engines, args.seed, &turns, &changes)
            .run(args.seconds * SECOND)
    };
    policies.into_iter().map(run).collect()
}

fn without_hints(policy: Policy) -> Policy {
    Policy {
        memory: match policy.choice {
            Choice::Bounded if policy.memory != HintMemory::None => HintMemory::Directory,
            _ => HintMemory::None,
        },
        ..policy
    }
}

fn print_table(reports: &[Report]) {
    let oracle = reports.iter().find(|r| r.name == "oracle");
    let best = oracle.map_or(1.0, |r| r.reuse);
    println!(
        "{:<22} {:>6} {:>9} {:>8} {:>8} {:>10} {:>10} {:>11} {:>11} {:>12} {:>7} {:>6} {:>8} {:>6} {:>9} {:>7}",
        "policy",
        "reuse",
        "of oracle",
        "skew_max",
        "skew_p99",
        "over_bound",
        "over_split",
        "over_fallen",
        "above_bound",
        "above_fallen",
        "refused",
        "moved",
        "wait_p99",
        "age_ms",
        "control_B",
        "goodput"
    );
    for r in reports {
        println!(
            "{:<22} {:>6.3} {:>9.3} {:>8.2} {:>8.2} {:>10} {:>10} {:>11} {:>11.4} {:>12.4} {:>7} {:>6.3} {:>8} {:>6} {:>9} {:>7.2}",
            r.name, r.reuse, r.reuse / best, r.skew_max, r.skew_p99, r.over_bound,
            r.over_split, r.over_fallen, r.above_bound, r.above_fallen,
            r.refused, r.moved, r.wait_p99_ms, r.age_ms, r.control_bytes_per_s, r.goodput
        );
    }
}
