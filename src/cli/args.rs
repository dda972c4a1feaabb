//! The arguments of the operators' command line.

use std::{path::PathBuf, time::Duration};

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::{
    config::Role, ChatId, EngineName, PoolName, RouterName, ServiceName, TeamName, VersionName,
};

/// The meaning of the exit statuses, shown after the help text.
const EXIT_STATUS: &str = "\
Exit status:
  0  done
  1  failed for any other reason
  2  wrong usage
  3  refused: the plan cannot be made or carried out; nothing has changed
  4  rejected: another change was accepted first; nothing has changed
  5  unknown: the change may have been accepted or may still be; confirm the same plan again
  6  accepted, but not applied by every live router within the timeout
  7  the token is missing, wrong or does not permit the command; nothing has changed
  8  no router could serve the command; nothing has changed";

/// Operates a fleet of ebonyspur routers.
#[derive(Debug, Parser)]
#[command(name = "ebonyspur", version, after_help = EXIT_STATUS)]
pub(super) struct Args {
    #[command(flatten)]
    pub(super) connection: Connection,
    /// Format of the output.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub(super) output: Output,
    #[command(subcommand)]
    pub(super) command: Command,
}

/// The routers to send requests to, and the operator's token.
#[derive(Debug, clap::Args)]
pub(super) struct Connection {
    /// Operators' addresses of one or more routers, IP:PORT, tried in this order
    /// [default: EBONYSPUR_ROUTERS].
    #[arg(long, global = true, value_delimiter = ',')]
    pub(super) routers: Vec<std::net::SocketAddr>,
    /// File with the operator's token [default: the token itself in EBONYSPUR_TOKEN].
    #[arg(long, global = true)]
    pub(super) token_file: Option<PathBuf>,
}

/// The format of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub(super) enum Output {
    /// Aligned columns, for reading.
    #[default]
    Table,
    /// JSON, for programs.
    Json,
}

#[derive(Debug, Subcommand)]
pub(super) enum Command {
    /// Makes or shows a plan; changes nothing.
    Plan {
        #[command(subcommand)]
        command: PlanCommand,
        /// File to write the plan to [default: the plan's id followed by .plan].
        #[arg(long, global = true)]
        out: Option<PathBuf>,
    },
    /// Confirms a plan; confirming it again does not carry it out twice.
    Confirm(ConfirmArgs),
    #[command(flatten)]
    Query(QueryCommand),
    /// Checks settings files of routers.
    Settings {
        #[command(subcommand)]
        command: SettingsCommand,
    },
    /// Prints the completion script for a shell.
    Completions {
        /// Shell that is to read the script.
        shell: Shell,
    },
}

/// Commands that read state and change nothing.
#[derive(Debug, Subcommand)]
pub(super) enum QueryCommand {
    /// Shows each router's state and the log offset that it has applied.
    Status,
    /// Lists the confirmed plans: time, operator, objects and outcome.
    Events {
        /// Keep running and print new events as they arrive.
        #[arg(long)]
        follow: bool,
        /// Log offset of the first event to list.
        #[arg(long, default_value_t = 0)]
        since: u64,
    },
    /// Prints the state dump of a router as JSON.
    State {
        /// Name of the router.
        router: RouterName,
    },
    /// Lists the objects of a kind.
    Get {
        /// Kind of the objects.
        #[arg(value_enum)]
        kind: ObjectKind,
    },
    /// Explains which engine a request would be sent to, and why.
    Explain {
        /// Team of the request.
        #[arg(long)]
        team: TeamName,
        /// Chat of the request.
        #[arg(long)]
        chat: ChatId,
        /// Service of the request [default: the chat service, if there is exactly one].
        #[arg(long)]
        service: Option<ServiceName>,
    },
}

#[derive(Debug, Subcommand)]
pub(super) enum PlanCommand {
    /// Stop sending new requests to an engine.
    Drain {
        /// Name of the engine.
        engine: EngineName,
    },
    /// Send new requests to a drained engine again.
    Undrain {
        /// Name of the engine.
        engine: EngineName,
    },
    /// Move a team to a version, which serves the team once engines have loaded it.
    MoveTeam {
        /// Name of the team.
        team: TeamName,
        /// Version that is to serve the team.
        #[arg(long)]
        to: VersionName,
    },
    /// Load a version or adapter on the engines of a pool.
    Load {
        /// Name of the pool.
        pool: PoolName,
        /// Version or adapter to load.
        version: VersionName,
    },
    /// Unload a version or adapter from the engines of a pool.
    Unload {
        /// Name of the pool.
        pool: PoolName,
        /// Version or adapter to unload.
        version: VersionName,
    },
    /// Retry the loads that failed on the engines of a pool.
    Retry {
        /// Name of the pool.
        pool: PoolName,
    },
    /// Spread the versions of a pool evenly over its engines.
    Rebalance {
        /// Name of the pool.
        pool: PoolName,
        /// Number of engines that are to hold each version [default: all of the pool].
        #[arg(long)]
        copies: Option<usize>,
    },
    /// Set the role of an engine.
    SetRole {
        /// Name of the engine.
        engine: EngineName,
        /// New role of the engine.
        #[arg(value_enum)]
        role: Role,
    },
    /// Create, change and remove objects as a YAML file describes.
    Apply {
        /// File that lists models, pools, services, teams and the objects to remove.
        file: PathBuf,
    },
    /// Show a plan that was made earlier.
    Show {
        /// File of the plan.
        file: PathBuf,
    },
}

#[derive(Debug, clap::Args)]
pub(super) struct ConfirmArgs {
    /// File of the plan.
    pub(super) plan: PathBuf,
    /// Wait until every live router has applied the change.
    #[arg(long)]
    pub(super) wait: bool,
    /// Longest time to wait, such as 30s.
    #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
    pub(super) timeout: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(super) enum ObjectKind {
    Teams,
    Services,
    Pools,
    Models,
    Engines,
}

impl ObjectKind {
    /// Returns the name of the kind in the administration API.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Teams => "teams",
            ObjectKind::Services => "services",
            ObjectKind::Pools => "pools",
            ObjectKind::Models => "models",
            ObjectKind::Engines => "engines",
        }
    }
}

#[derive(Debug, Subcommand)]
pub(super) enum SettingsCommand {
    /// Checks a settings file and lists all errors in it.
    Check {
        /// Settings file of a router, in YAML.
        file: PathBuf,
    },
}
