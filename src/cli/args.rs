//! The arguments of the command line.

use std::{path::PathBuf, time::Duration};

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::{
    config::Role, ChatId, EngineName, PoolName, RouterName, ServiceName, TeamName, VersionName,
};

/// Meaning of the exit statuses, shown by `--help`.
const EXIT_STATUS: &str = "\
Exit status:
  0  done
  1  any other failure
  2  wrong usage
  3  refused: the plan cannot be made or must not be carried out; nothing has changed
  4  rejected: another change came first; nothing has changed
  5  unknown: the change may be in force or come in force; confirm the same plan again
  6  accepted, but not in force on every live router within the time given
  7  the token is missing, wrong or does not allow it; nothing has changed
  8  no router could be asked; nothing has changed";

/// Operates a fleet of ebonyspur routers.
#[derive(Debug, Parser)]
#[command(name = "ebonyspur", version, after_help = EXIT_STATUS)]
pub(super) struct Args {
    #[command(flatten)]
    pub(super) connection: Connection,
    /// How to print.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub(super) output: Output,
    #[command(subcommand)]
    pub(super) command: Command,
}

/// Which routers to ask, and as whom.
#[derive(Debug, clap::Args)]
pub(super) struct Connection {
    /// Operators' addresses of some routers, IP:PORT, asked in this order
    /// [default: EBONYSPUR_ROUTERS].
    #[arg(long, global = true, value_delimiter = ',')]
    pub(super) routers: Vec<std::net::SocketAddr>,
    /// File with the operator's token [default: the token itself in EBONYSPUR_TOKEN].
    #[arg(long, global = true)]
    pub(super) token_file: Option<PathBuf>,
}

/// How to print.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub(super) enum Output {
    /// Columns for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

#[derive(Debug, Subcommand)]
pub(super) enum Command {
    /// Makes a plan, or shows one; nothing changes.
    Plan {
        #[command(subcommand)]
        command: PlanCommand,
        /// File that the plan is written to [default: the plan's id, ending in .plan].
        #[arg(long, global = true)]
        out: Option<PathBuf>,
    },
    /// Confirms a plan; a plan may be confirmed again and is carried out once.
    Confirm(ConfirmArgs),
    #[command(flatten)]
    Query(QueryCommand),
    /// Works on settings files.
    Settings {
        #[command(subcommand)]
        command: SettingsCommand,
    },
    /// Prints the completions of a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Commands that only look.
#[derive(Debug, Subcommand)]
pub(super) enum QueryCommand {
    /// Shows how far each router has applied the configuration.
    Status,
    /// Lists who confirmed what, and when.
    Events {
        /// Go on as new ones come.
        #[arg(long)]
        follow: bool,
        /// First offset to list.
        #[arg(long, default_value_t = 0)]
        since: u64,
    },
    /// Dumps the state of a router.
    State {
        /// Name of the router.
        router: RouterName,
    },
    /// Lists objects.
    Get {
        /// Kind of the objects.
        #[arg(value_enum)]
        kind: ObjectKind,
    },
    /// Tells which engine a request would get, and why.
    Explain {
        /// Team of the request.
        #[arg(long)]
        team: TeamName,
        /// Chat of the request.
        #[arg(long)]
        chat: ChatId,
        /// Service of the request; the only chat service if there is one.
        #[arg(long)]
        service: Option<ServiceName>,
    },
}

#[derive(Debug, Subcommand)]
pub(super) enum PlanCommand {
    /// Stop new work for an engine.
    Drain {
        /// Name of the engine.
        engine: EngineName,
    },
    /// Allow new work for a drained engine.
    Undrain {
        /// Name of the engine.
        engine: EngineName,
    },
    /// Move a team to a version, which serves it once engines have it ready.
    MoveTeam {
        /// Name of the team.
        team: TeamName,
        /// Version that is to serve it.
        #[arg(long)]
        to: VersionName,
    },
    /// Load a version or adapter on the engines of a pool.
    Load {
        /// Name of the pool.
        pool: PoolName,
        /// What to load.
        version: VersionName,
    },
    /// Unload a version or adapter from the engines of a pool.
    Unload {
        /// Name of the pool.
        pool: PoolName,
        /// What to unload.
        version: VersionName,
    },
    /// Try again what the engines of a pool could not load.
    Retry {
        /// Name of the pool.
        pool: PoolName,
    },
    /// Spread the versions of a pool evenly over its engines.
    Rebalance {
        /// Name of the pool.
        pool: PoolName,
        /// Engines that are to carry each version [default: all of them].
        #[arg(long)]
        copies: Option<usize>,
    },
    /// Give an engine a role.
    SetRole {
        /// Name of the engine.
        engine: EngineName,
        /// Its role from now on.
        #[arg(value_enum)]
        role: Role,
    },
    /// Create, change and remove the objects of a YAML file.
    Apply {
        /// File with models, pools, services, teams, and what to remove.
        file: PathBuf,
    },
    /// Show a plan again.
    Show {
        /// File of the plan.
        file: PathBuf,
    },
}

#[derive(Debug, clap::Args)]
pub(super) struct ConfirmArgs {
    /// File of the plan.
    pub(super) plan: PathBuf,
    /// Wait until the change is in force on every live router.
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
    /// Returns the name used in the administration API.
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
    /// Checks a settings file and lists all faults.
    Check {
        /// Settings file, in YAML.
        file: PathBuf,
    },
}
