//! Commands that make, show and confirm plans.

use std::path::{Path, PathBuf};

use serde_json::{json, Value};

use super::{
    args::{ConfirmArgs, Output, PlanCommand},
    out, table, wait, AdminClient, CommandResult, Failure,
};
use crate::{
    intent::{Intent, Manifest, PlanDocument, PlanOutcome},
    Category, Error, Result,
};

/// Makes a plan and writes it to a file, or shows a plan.
pub(super) async fn run(
    client: &AdminClient,
    command: PlanCommand,
    out: Option<PathBuf>,
    output: Output,
) -> CommandResult {
    let intent = match command {
        PlanCommand::Drain { engine } => Intent::Drain { engine },
        PlanCommand::Undrain { engine } => Intent::Undrain { engine },
        PlanCommand::MoveTeam { team, to } => Intent::MoveTeam { team, to },
        PlanCommand::Load { pool, version } => Intent::Load { pool, version },
        PlanCommand::Unload { pool, version } => Intent::Unload { pool, version },
        PlanCommand::Retry { pool } => Intent::Retry { pool },
        PlanCommand::Rebalance { pool, copies } => Intent::Rebalance { pool, copies },
        PlanCommand::SetRole { engine, role } => Intent::SetRole { engine, role },
        PlanCommand::Apply { file } => Intent::Apply {
            objects: Manifest::from_yaml(&read(&file)?)?,
        },
        PlanCommand::Show { file } => return show(client, &file, output).await,
    };
    let response = client.post("/v1/plans", &intent).await?;
    let plan = parse_plan(&response["plan"])?;
    let file = out.unwrap_or_else(|| PathBuf::from(format!("{}.plan", plan.id)));
    let token = response["token"].as_str().unwrap_or_default();
    std::fs::write(&file, format!("{token}\n")).map_err(Error::from)?;
    match output {
        Output::Json => out::line(json!({ "plan": plan, "file": file })),
        Output::Table => {
            out::print(table::plan(&plan))?;
            let confirm = format_args!("ebonyspur confirm {}", file.display());
            out::line(format_args!(
                "\nNothing has changed. Confirm with: {confirm}"
            ))
        }
    }
}

/// Shows the plan in `file`.
async fn show(client: &AdminClient, file: &Path, output: Output) -> CommandResult {
    let body = json!({ "token": read(file)?.trim() });
    let plan = parse_plan(&client.post("/v1/plans/show", &body).await?)?;
    match output {
        Output::Json => out::line(json!({ "plan": plan, "file": file })),
        Output::Table => out::print(table::plan(&plan)),
    }
}

/// Confirms a plan and, if asked to, waits until it is applied.
pub(super) async fn confirm(
    client: &AdminClient,
    args: &ConfirmArgs,
    output: Output,
) -> CommandResult {
    let body = json!({ "token": read(&args.plan)?.trim() });
    let response = client.post("/v1/plans/confirm", &body).await?;
    let plan_outcome: PlanOutcome = serde_json::from_value(response.clone()).map_err(malformed)?;
    if output == Output::Json {
        out::line(&response)?;
    }
    match plan_outcome {
        PlanOutcome::Rejected { id, rejection, .. } => {
            Err(Failure::Rejected(format!("{id} was rejected: {rejection}")))
        }
        PlanOutcome::Accepted { id, offset } => {
            if output == Output::Table {
                out::line(format_args!("{id} was accepted at offset {offset}"))?;
            }
            match args.wait {
                true => wait::until_applied(client, offset, args.timeout).await,
                false => Ok(()),
            }
        }
    }
}

fn parse_plan(value: &Value) -> Result<PlanDocument> {
    serde_json::from_value(value.clone()).map_err(malformed)
}

fn malformed(err: serde_json::Error) -> Error {
    Error::may_have_run(Category::Protocol, err.to_string())
}

fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|err| {
        let message = format!("{}: {err}", file.display());
        Error::not_run(Category::BadInput, message)
    })
}
