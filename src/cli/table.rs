//! Text for people.

use std::fmt::Write;

use serde_json::Value;

use crate::intent::{PlanDocument, PoolCapacity, VersionCapacity};

/// Most steps of a plan that are listed.
const SHOWN_STEPS: usize = 20;

/// Lays out JSON objects as columns, named by the keys of the first object that has them.
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
    layout(&lines)
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

fn layout(lines: &[Vec<String>]) -> String {
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

/// Describes a plan.
pub(super) fn plan(plan: &PlanDocument) -> String {
    let mut text = format!("{} at offset {}\n\nSteps:\n", plan.id, plan.base);
    for (number, step) in plan.steps.iter().take(SHOWN_STEPS).enumerate() {
        line(
            &mut text,
            format!("  {}. {}: {}", number + 1, step.object, step.action),
        );
    }
    if plan.steps.len() > SHOWN_STEPS {
        line(
            &mut text,
            format!("  and {} more", plan.steps.len() - SHOWN_STEPS),
        );
    }
    line(
        &mut text,
        format!("\nChats that go cold: about {}", plan.cold.in_flight),
    );
    for engine in &plan.cold.engines {
        line(
            &mut text,
            format!("  and the paused chats cached by {engine}"),
        );
    }
    line(&mut text, format!("  ({})", plan.cold.basis));
    if !plan.capacity.is_empty() || !plan.versions.is_empty() {
        line(&mut text, "\nCapacity:".into());
    }
    plan.capacity
        .iter()
        .for_each(|pool| line(&mut text, pool_line(pool)));
    for version in &plan.versions {
        line(&mut text, version_line(version));
    }
    text
}

fn version_line(version: &VersionCapacity) -> String {
    format!(
        "  version {}: engines {} -> {}, {} in flight, at most {} on an engine, left: {} further \
         requests",
        version.version,
        version.engines_before,
        version.engines_after,
        version.in_flight,
        version.limit,
        version.headroom()
    )
}

fn pool_line(pool: &PoolCapacity) -> String {
    let left = pool
        .left
        .map_or("not known, as the pool sets no slots".into(), |left| {
            format!("{left} further requests")
        });
    format!(
        "  pool {}: engines {} -> {}, {} in flight, bound on an engine {} -> {}, left: {left}",
        pool.pool,
        pool.engines_before,
        pool.engines_after,
        pool.in_flight,
        pool.bound_before,
        pool.bound_after
    )
}

fn line(text: &mut String, line: String) {
    writeln!(text, "{line}").expect("writing to a string cannot fail");
}
