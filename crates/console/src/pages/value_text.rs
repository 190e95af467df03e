//! Display text of document values.

use serde_json::Value;

/// Returns the display text of a value; a missing value is shown as `none`.
pub(crate) fn value_text(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "none".to_owned(),
        Some(Value::Bool(true)) => "yes".to_owned(),
        Some(Value::Bool(false)) => "no".to_owned(),
        Some(Value::String(text)) if text.is_empty() => "empty".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(items)) if items.is_empty() => "empty list".to_owned(),
        Some(Value::Array(items)) => {
            let items: Vec<String> = items.iter().map(|item| value_text(Some(item))).collect();
            items.join(", ")
        }
        Some(Value::Object(map)) if map.is_empty() => "empty".to_owned(),
        Some(Value::Object(map)) => {
            let items = map.iter();
            let items = items.map(|(name, item)| format!("{name}: {}", value_text(Some(item))));
            items.collect::<Vec<_>>().join(", ")
        }
        Some(number @ Value::Number(_)) => number.to_string(),
    }
}
