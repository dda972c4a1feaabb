//! The operators' command line: makes, shows and confirms plans, and queries routers.
//!
//! It stores nothing but the plan files that it writes, and sends each request to the first
//! of the given routers that serves it.

mod args;
mod client;
mod exit;
mod out;
mod plan;
mod query;
mod table;
mod wait;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use self::{
    args::{Args, Command, SettingsCommand},
    client::AdminClient,
    exit::Failure,
};
use crate::Settings;

/// The result of a command.
type CommandResult = Result<(), Failure>;

/// Parses the arguments of this process and runs the command.
pub fn main() -> ExitCode {
    let args = Args::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(args)),
        Err(err) => Err(Failure::from(crate::Error::from(err))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{}", failure.message());
            failure.code()
        }
    }
}

async fn run(args: Args) -> CommandResult {
    let output = args.output;
    match args.command {
        Command::Settings {
            command: SettingsCommand::Check { file },
        } => {
            Settings::from_file(&file)?;
            out::line(format_args!("{}: ok", file.display()))
        }
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Args::command(), "ebonyspur", &mut script);
            out::print(String::from_utf8_lossy(&script))
        }
        Command::Plan { command, out } => {
            plan::run(&AdminClient::new(&args.connection)?, command, out, output).await
        }
        Command::Confirm(confirm) => {
            plan::confirm(&AdminClient::new(&args.connection)?, &confirm, output).await
        }
        Command::Query(query) => {
            query::run(&AdminClient::new(&args.connection)?, query, output).await
        }
    }
}
