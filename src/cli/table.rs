//! Formats rows and plans as text.

use std::fmt::Write;

use serde_json::Value;

use crate::intent::{PlanDocument, PoolCapacity, VersionCapacity};

/// Largest number of steps of a plan that are listed.
const MAX_LISTED_STEPS: usize = 20;

/// Formats JSON objects as aligned columns, one for each key that occurs in any of them.
pub(super) fn rows(rows: &[Value]) -> String {
    let mut columns: Vec<&str> = Vec::new();
    for key in rows
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|row| row.keys())
    {
        if !columns.contains(&key.as_str()) {
            columns.push(key);
        }
    }
    columns.sort_by_key(|key| *key != "name" && *key != "router");
    let mut lines = vec![columns
        .iter()
        .map(|key| key.to_uppercase())
        .collect::<Vec<_>>()];
    lines.extend(rows.iter().map(|row| cells(row, &columns)));
    align(&lines)
}

fn cells(row: &Value, columns: &[&str]) -> Vec<String> {
    columns.iter().map(|key| cell(&row[*key])).collect()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Pads the cells to the widths of their columns.
fn align(lines: &[Vec<String>]) -> String {
    let columns = lines.first().map_or(0, Vec::len);
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max();
    let widths: Vec<_> = (0..columns)
        .map(|column| width(column).unwrap_or(0))
        .collect();
    let mut text = String::new();
    for line in lines {
        let padded = line.iter().zip(&widths);
        let padded: Vec<_> = padded
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text += padded.join("  ").trim_end();
        text.push('\n');
    }
    text
}

/// Formats a plan: its steps, the chats that lose their cache, and the capacity left.
pub(super) fn plan(plan: &PlanDocument) -> String {
    let mut text = format!("{} at offset {}\n\nSteps:\n", plan.id, plan.base);
    for (number, step) in plan.steps.iter().take(MAX_LISTED_STEPS).enumerate() {
        push_line(
            &mut text,
            format!("  {}. {}: {}", number + 1, step.object, step.action),
        );
    }
    if plan.steps.len() > MAX_LISTED_STEPS {
        push_line(
            &mut text,
            format!("  and {} more", plan.steps.len() - MAX_LISTED_STEPS),
        );
    }
    push_line(
        &mut text,
        format!(
            "\nChats that lose their cached prompt prefix: about {}",
            plan.cold.in_flight
        ),
    );
    for engine in &plan.cold.engines {
        push_line(
            &mut text,
            format!("  plus the paused chats cached by {engine}"),
        );
    }
    push_line(&mut text, format!("  ({})", plan.cold.basis));
    if !plan.capacity.is_empty() || !plan.versions.is_empty() {
        push_line(&mut text, "\nCapacity:".into());
    }
    plan.capacity
        .iter()
        .for_each(|pool| push_line(&mut text, pool_capacity(pool)));
    for version in &plan.versions {
        push_line(&mut text, version_capacity(version));
    }
    text
}

fn version_capacity(version: &VersionCapacity) -> String {
    format!(
        "  version {}: engines {} -> {}, {} in flight, at most {} per engine, left: {} further \
         requests",
        version.version,
        version.engines_before,
        version.engines_after,
        version.in_flight,
        version.limit,
        version.headroom()
    )
}

fn pool_capacity(pool: &PoolCapacity) -> String {
    let left = pool.left.map_or(
        "unknown, because the pool sets no number of slots".into(),
        |left| format!("{left} further requests"),
    );
    format!(
        "  pool {}: engines {} -> {}, {} in flight, load bound per engine {} -> {}, left: {left}",
        pool.pool,
        pool.engines_before,
        pool.engines_after,
        pool.in_flight,
        pool.bound_before,
        pool.bound_after
    )
}

fn push_line(text: &mut String, line: String) {
    writeln!(text, "{line}").expect("writing to a string cannot fail");
}
