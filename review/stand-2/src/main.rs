//! Plays one case against routers that run as processes of their own.
//!
//! `stand-2 CASE RECORD TROUBLE STORE ROUTER...`; exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run.

mod cases;
mod fleet;
mod http;

use std::{fs::File, process::ExitCode, sync::Arc};

use fleet::Fleet;

/// Whether the rule of a case held.
pub enum Outcome {
    Held(String),
    Broken(String),
}

fn main() -> ExitCode {
    match play() {
        Ok((fleet, Outcome::Held(what))) => {
            fleet.note(&format!("HELD: {what}"));
            println!("held: {what}");
            ExitCode::SUCCESS
        }
        Ok((fleet, Outcome::Broken(what))) => {
            fleet.note(&format!("BROKEN: {what}"));
            println!("broken: {what}");
            ExitCode::from(1)
        }
        Err(err) => {
            eprintln!("cannot run: {err}");
            ExitCode::from(2)
        }
    }
}

fn play() -> Result<(Arc<Fleet>, Outcome), String> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, trouble, store, routers @ ..] = args.as_slice() else {
        return Err("usage: stand-2 CASE RECORD TROUBLE STORE ROUTER...".into());
    };
    let record = File::create(record).map_err(|err| err.to_string())?;
    let store = store.parse().map_err(|err| format!("{store}: {err}"))?;
    let parse = |ip: &String| ip.parse().map_err(|err| format!("{ip}: {err}"));
    let routers = routers.iter().map(parse).collect::<Result<_, String>>()?;
    let fleet = Arc::new(Fleet::new(store, routers, trouble != "0", record));
    fleet.note(&format!("case {case}, disruption: {}", fleet.has_trouble));
    let outcome = match case.as_str() {
        "two-engines" => cases::two_engines::play(&fleet),
        "comment-line" => cases::comment_line::play(&fleet),
        "crowd-heads" => cases::crowd_heads::play(&fleet),
        "cut-event" => cases::cut_event::play(&fleet),
        "slow-reader" => cases::slow_reader::play(&fleet),
        _ => Err(format!("no case {case}")),
    }?;
    Ok((fleet, outcome))
}
