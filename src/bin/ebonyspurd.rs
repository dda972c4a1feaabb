//! The daemon that runs one router.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use ebonyspur::{inspect::start_log, Category, Clock, Result, Router, Settings};
use tokio::{
    signal::unix::{signal, SignalKind},
    sync::watch,
};

/// Runs one ebonyspur router.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Settings file of the router, in YAML.
    #[arg(long)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let _log = match start_log(Clock::new()) {
        Ok(log) => log,
        Err(err) => {
            eprintln!("ebonyspurd: cannot start the log: {err}");
            return ExitCode::FAILURE;
        }
    };
    match run(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            match err.classify() {
                Category::Settings => eprintln!("{}", err.message()),
                _ => eprintln!("ebonyspurd: {err}"),
            }
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(args: &Args) -> Result<()> {
    let settings = Settings::from_file(&args.settings)?;
    let (stop_tx, stop_rx) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop_tx.send_replace(true);
    });
    Router::new(settings).run(stop_rx).await
}
