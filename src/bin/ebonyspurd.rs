//! The router daemon.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use ebonyspur::{Category, Error, Result, Router, Settings};
use tokio::{
    signal::unix::{signal, SignalKind},
    sync::watch,
};

/// Runs one ebonyspur router.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Settings file, in YAML.
    #[arg(long)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("ebonyspurd: {err}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(args: &Args) -> Result<()> {
    let text = std::fs::read_to_string(&args.settings).map_err(|err| {
        let message = format!("{}: {err}", args.settings.display());
        Error::not_run(Category::Settings, message)
    })?;
    let settings = Settings::from_yaml(&text)?;
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
