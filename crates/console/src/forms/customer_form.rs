//! The customer form.

use lw_doc::{CustomerEntry, Document};
use serde_json::Value;

use crate::forms::field::{Choice, Field, FieldKind, choices, field};
use crate::forms::form_fault::FormFault;
use crate::forms::reader::Reader;
use crate::inputs::Inputs;

pub(crate) fn fields(document: &Document) -> Vec<Field> {
    let mut homes = vec![Choice::labelled("", "no home region")];
    homes.extend(choices(document.regions.keys().map(String::as_str)));
    vec![
        field(
            "home_region",
            "Home region (residency)",
            "Requests of this customer never leave this region.",
            FieldKind::Select(homes),
        ),
        field(
            "requests_per_s",
            "Limit in requests per second",
            "Total over all hosts, like 20 or 0.5; leave empty for no limit.",
            FieldKind::Number,
        ),
        field(
            "key_digest",
            "SHA-256 digest of the bearer key",
            "64 hexadecimal digits; leave empty if the customer needs no key.",
            FieldKind::Text,
        ),
    ]
}

pub(crate) fn fill(entry: &CustomerEntry) -> Inputs {
    let limit = entry.requests_per_s.map(|rate| rate.to_string());
    Inputs::default()
        .with("home_region", entry.home_region.as_deref().unwrap_or(""))
        .with("requests_per_s", limit.unwrap_or_default())
        .with("key_digest", entry.key_digest.as_str())
}

pub(crate) fn read(inputs: &Inputs) -> (Value, Vec<FormFault>) {
    let mut reader = Reader::new(inputs);
    let home = reader.text("home_region");
    let entry = CustomerEntry {
        home_region: (!home.is_empty()).then_some(home),
        requests_per_s: reader.optional_decimal("requests_per_s"),
        key_digest: reader.text("key_digest"),
    };
    reader.finish(&entry)
}
