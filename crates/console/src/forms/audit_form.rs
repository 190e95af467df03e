//! The form of the audit retention.

use lw_doc::AuditKeepDays;
use serde_json::Value;

use crate::forms::field::{Field, FieldKind, field};
use crate::forms::form_fault::FormFault;
use crate::forms::reader::Reader;
use crate::inputs::Inputs;

pub(crate) fn fields() -> Vec<Field> {
    vec![field(
        "keep_days",
        "Days that published changes and refused attempts are kept",
        "1 to 400, like 30. Older records are removed for good.",
        FieldKind::Number,
    )]
}

pub(crate) fn fill(entry: AuditKeepDays) -> Inputs {
    Inputs::default().with("keep_days", entry.0.to_string())
}

pub(crate) fn read(inputs: &Inputs) -> (Value, Vec<FormFault>) {
    let mut reader = Reader::new(inputs);
    let days = reader.text("keep_days").parse().unwrap_or_else(|_| {
        reader.fault("keep_days", "write a whole number of days, like 30");
        // A number out of the range would be a second fault.
        AuditKeepDays::default().0
    });
    reader.finish(&AuditKeepDays(days))
}
