//! The operators' command line.

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};
use ebonyspur::{Category, Error, Result, Settings};

/// Operates a fleet of ebonyspur routers.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Works on settings files.
    Settings {
        #[command(subcommand)]
        command: SettingsCommand,
    },
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Checks a settings file and lists all faults.
    Check {
        /// Settings file, in YAML.
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{}", err.message());
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<()> {
    match args.command {
        Command::Settings {
            command: SettingsCommand::Check { file },
        } => check_settings(&file),
    }
}

fn check_settings(file: &std::path::Path) -> Result<()> {
    let text = std::fs::read_to_string(file)
        .map_err(|err| Error::not_run(Category::Settings, err.to_string()))?;
    Settings::from_yaml(&text)?;
    println!("{}: ok", file.display());
    Ok(())
}
