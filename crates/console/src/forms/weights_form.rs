//! The routing weights form.

use lw_doc::Weights;
use serde_json::Value;

use crate::forms::field::{Field, FieldKind, field};
use crate::forms::form_fault::FormFault;
use crate::forms::reader::Reader;
use crate::inputs::Inputs;

const HINT: &str = "0 to 1, like 0.6; at least one weight must be above 0.";

pub(crate) fn fields() -> Vec<Field> {
    vec![
        field("cost", "Cost", HINT, FieldKind::Number),
        field("latency", "Latency", HINT, FieldKind::Number),
        field(
            "cross_region",
            "Requests sent to another region",
            HINT,
            FieldKind::Number,
        ),
    ]
}

pub(crate) fn fill(entry: Weights) -> Inputs {
    Inputs::default()
        .with("cost", entry.cost.to_string())
        .with("latency", entry.latency.to_string())
        .with("cross_region", entry.cross_region.to_string())
}

pub(crate) fn read(inputs: &Inputs) -> (Value, Vec<FormFault>) {
    let mut reader = Reader::new(inputs);
    let entry = Weights {
        cost: reader.decimal("cost"),
        latency: reader.decimal("latency"),
        cross_region: reader.decimal("cross_region"),
    };
    reader.finish(&entry)
}
