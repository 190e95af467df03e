//! The audit retention form.

use lw_doc::AuditKeepDays;
use serde_json::Value;

use crate::forms::field::{Field, FieldKind, field};
use crate::forms::form_fault::FormFault;
use crate::forms::reader::Reader;
use crate::inputs::Inputs;

pub(crate) fn fields() -> Vec<Field> {
    vec![field(
        "keep_days",
        "Days to keep records of published changes and refused attempts",
        "1 to 400, like 30. Older records are deleted permanently.",
        FieldKind::Number,
    )]
}

pub(crate) fn fill(entry: AuditKeepDays) -> Inputs {
    Inputs::default().with("keep_days", entry.0.to_string())
}

pub(crate) fn read(inputs: &Inputs) -> (Value, Vec<FormFault>) {
    let mut reader = Reader::new(inputs);
    let days = reader.text("keep_days").parse().unwrap_or_else(|_| {
        reader.fault("keep_days", "enter a whole number of days, like 30");
        // A placeholder outside the valid range would cause a second fault for the same field.
        AuditKeepDays::default().0
    });
    reader.finish(&AuditKeepDays(days))
}
