//! Commands that read state and change nothing.

use serde_json::{json, Value};

use super::{
    args::{Output, QueryCommand},
    out, table, AdminClient, CommandResult,
};
use crate::{Category, Error, Result, UnixMillis};

/// Time that a router waits for new events before it responds with an empty list.
const FOLLOW_WAIT_MS: u64 = 20_000;

/// Runs a query command.
pub(super) async fn run(
    client: &AdminClient,
    command: QueryCommand,
    output: Output,
) -> CommandResult {
    match command {
        QueryCommand::Status => status(client, output).await,
        QueryCommand::Events { follow, since } => events(client, since, follow, output).await,
        QueryCommand::State { router } => {
            let state = client.get(&format!("/v1/routers/{router}/state")).await?;
            out::line(format_args!("{state:#}"))
        }
        QueryCommand::Get { kind } => {
            let objects = client
                .get(&format!("/v1/objects/{}", kind.as_str()))
                .await?;
            print_rows(&objects, output)
        }
        QueryCommand::Explain {
            team,
            chat,
            service,
        } => {
            let service = match service {
                Some(service) => service.to_string(),
                None => only_chat_service(client).await?,
            };
            let path = format!("/v1/explain?team={team}&chat={chat}&service={service}");
            out::line(format_args!("{:#}", client.get(&path).await?))
        }
    }
}

/// Returns the name of the chat service, if there is exactly one.
async fn only_chat_service(client: &AdminClient) -> Result<String> {
    let services = client.get("/v1/objects/services").await?;
    let services = services.as_array().map_or(&[][..], Vec::as_slice);
    let chats = services.iter().filter(|service| service["kind"] == "chat");
    let names: Vec<_> = chats.filter_map(|chat| chat["name"].as_str()).collect();
    match names[..] {
        [name] => Ok(name.to_string()),
        _ => {
            let message = format!(
                "not exactly one chat service; choose one with --service: {}",
                names.join(", ")
            );
            Err(Error::not_run(Category::BadInput, message))
        }
    }
}

fn print_rows(rows: &Value, output: Output) -> CommandResult {
    match output {
        Output::Json => out::line(rows),
        Output::Table => {
            let rows = rows.as_array().map_or(&[][..], Vec::as_slice);
            out::print(table::rows(rows))
        }
    }
}

/// Prints the state of each router, the moves in progress and the pools being rebalanced.
async fn status(client: &AdminClient, output: Output) -> CommandResult {
    let status = client.get("/v1/status").await?;
    if output == Output::Json {
        return out::line(&status);
    }
    let state = match status["phase"].as_str() {
        Some("serving") => "live",
        phase => phase.unwrap_or("?"),
    };
    let mut rows = vec![json!({
        "router": status["router"], "state": state, "applied": status["applied"],
    })];
    for (name, router) in status["routers"].as_object().into_iter().flatten() {
        rows.push(json!({
            "router": name, "state": router["state"], "applied": router["applied"],
        }));
    }
    out::print(table::rows(&rows))?;
    for key in ["moves", "stopped"] {
        let rows = status[key].as_array().map_or(&[][..], Vec::as_slice);
        if !rows.is_empty() {
            let title = key.to_uppercase();
            out::print(format_args!("\n{title}:\n{}", table::rows(rows)))?;
        }
    }
    for pool in status["rebalancing"].as_array().into_iter().flatten() {
        let pool = pool.as_str().unwrap_or("?");
        out::line(format_args!("\nrebalancing pool {pool}"))?;
    }
    Ok(())
}

/// Prints the events since an offset; with `follow`, keeps waiting for new ones.
async fn events(client: &AdminClient, since: u64, follow: bool, output: Output) -> CommandResult {
    let mut next = since;
    loop {
        let wait = if follow { FOLLOW_WAIT_MS } else { 0 };
        let path = format!("/v1/decisions?since={next}&wait_ms={wait}");
        let response = client.get(&path).await?;
        let decisions = response["decisions"].as_array();
        for decision in decisions.into_iter().flatten() {
            match output {
                Output::Json => out::line(decision)?,
                Output::Table => out::line(event_line(decision))?,
            }
        }
        let is_up_to_date = decisions.is_none_or(Vec::is_empty);
        next = response["next"].as_u64().unwrap_or(next);
        if is_up_to_date && !follow {
            return Ok(());
        }
    }
}

/// Formats a decision about a plan as one line.
fn event_line(decision: &Value) -> String {
    let text = |key: &str| decision[key].as_str().unwrap_or("?");
    let decided_at = UnixMillis(decision["at"].as_u64().unwrap_or_default());
    let time = std::time::UNIX_EPOCH + std::time::Duration::from_millis(decided_at.0);
    let time = humantime::format_rfc3339_millis(time);
    let objects = decision["objects"].as_array();
    let objects: Vec<_> = objects
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let outcome = match &decision["rejection"] {
        Value::Null => "accepted".to_string(),
        rejection => format!("rejected ({})", rejection["reason"].as_str().unwrap_or("?")),
    };
    let note = match decision["note"].as_str() {
        Some(note) => format!(" ({note})"),
        None => String::new(),
    };
    format!(
        "{time} offset {} {outcome} {} by {}: {}{note}",
        decision["offset"],
        text("id"),
        text("operator"),
        objects.join(" ")
    )
}
