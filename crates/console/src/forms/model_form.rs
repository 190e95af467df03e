//! The model form.

use lw_doc::ModelEntry;
use serde_json::Value;

use crate::forms::field::{Field, FieldKind, field};
use crate::forms::form_fault::FormFault;
use crate::forms::reader::Reader;
use crate::inputs::Inputs;

pub(crate) fn fields() -> Vec<Field> {
    vec![field(
        "version",
        "Version that engines should load",
        "Letters, digits, `-`, `_` and `.`, like 3.1.",
        FieldKind::Text,
    )]
}

pub(crate) fn fill(entry: &ModelEntry) -> Inputs {
    Inputs::default().with("version", entry.version.as_str())
}

pub(crate) fn read(inputs: &Inputs) -> (Value, Vec<FormFault>) {
    let mut reader = Reader::new(inputs);
    let version = reader.required("version", "enter the version, like 3.1");
    reader.finish(&ModelEntry { version })
}
