//! Text tables.

use comfy_table::{Table, presets};
use lw_doc::{Change, Fault, Warning};
use serde_json::Value;

/// Builds a table from a header and rows.
pub(crate) fn table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_NO_BORDERS);
    table.set_header(header.to_vec());
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}

pub(crate) fn faults_table(faults: &[Fault]) -> String {
    let row = |fault: &Fault| {
        let line = fault
            .line
            .map_or_else(|| "-".to_owned(), |line| line.to_string());
        let fix = fault.kind.fix().to_owned();
        vec![fault.path.clone(), line, fault.kind.to_string(), fix]
    };
    table(&["path", "line", "fault", "fix"], faults.iter().map(row))
}

pub(crate) fn warnings_table(warnings: &[Warning]) -> String {
    let row = |warning: &Warning| vec![warning.path.clone(), warning.kind.to_string()];
    table(&["path", "warning"], warnings.iter().map(row))
}

pub(crate) fn changes_table(changes: &[Change]) -> String {
    let row = |change: &Change| {
        let value = change.value.as_ref();
        let value = value.map_or_else(|| "(removed)".to_owned(), Value::to_string);
        vec![change.path.clone(), value]
    };
    table(&["path", "new value"], changes.iter().map(row))
}

/// Formats any JSON value: a list of objects as rows, an object as names and values.
pub(crate) fn value_table(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let (lists, plain): (Vec<_>, Vec<_>) =
                fields.iter().partition(|(_, value)| is_object_list(value));
            let rows = plain
                .into_iter()
                .map(|(name, value)| vec![name.clone(), cell(value)]);
            let mut text = table(&["name", "value"], rows);
            for (name, list) in lists {
                text += &format!("\n\n{name}\n{}", value_table(list));
            }
            text
        }
        Value::Array(items) if is_object_list(value) => object_rows(items),
        _ => cell(value),
    }
}

fn is_object_list(value: &Value) -> bool {
    let items = value.as_array();
    items.is_some_and(|items| !items.is_empty() && items.iter().all(Value::is_object))
}

fn object_rows(items: &[Value]) -> String {
    let mut names: Vec<&str> = Vec::new();
    for name in items
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|fields| fields.keys())
    {
        if !names.contains(&name.as_str()) {
            names.push(name);
        }
    }
    let row = |item: &Value| names.iter().map(|name| cell(&item[*name])).collect();
    table(&names, items.iter().map(row))
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
