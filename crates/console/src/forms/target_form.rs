//! The target form.

use lw_doc::{Document, TargetEntry};
use serde_json::Value;

use crate::forms::field::{Field, FieldKind, choices, field};
use crate::forms::form_fault::FormFault;
use crate::forms::reader::Reader;
use crate::inputs::Inputs;

pub(crate) fn blank() -> TargetEntry {
    TargetEntry {
        service: String::new(),
        zone: String::new(),
        address: String::new(),
        fencing: false,
        resume: false,
        slots: 16,
    }
}

pub(crate) fn fields(document: &Document) -> Vec<Field> {
    let services = choices(document.services.keys().map(String::as_str));
    let regions = document.regions.values();
    let zones = choices(regions.flat_map(|region| region.zones.iter().map(String::as_str)));
    vec![
        field("service", "Service", "", FieldKind::Select(services)),
        field("zone", "Availability zone", "", FieldKind::Select(zones)),
        field(
            "address",
            "Address",
            "IP address and port, like 10.0.0.7:9001 or [fd00::7]:9001.",
            FieldKind::Text,
        ),
        field(
            "slots",
            "Requests processed at once",
            "1 to 100000.",
            FieldKind::Number,
        ),
        field(
            "fencing",
            "The target refuses commands with an outdated fencing number",
            "",
            FieldKind::Flag,
        ),
        field(
            "resume",
            "The target can resume an interrupted stream",
            "",
            FieldKind::Flag,
        ),
    ]
}

pub(crate) fn fill(entry: &TargetEntry) -> Inputs {
    let flag = |on: bool| if on { "yes" } else { "" };
    Inputs::default()
        .with("service", entry.service.as_str())
        .with("zone", entry.zone.as_str())
        .with("address", entry.address.as_str())
        .with("slots", entry.slots.to_string())
        .with("fencing", flag(entry.fencing))
        .with("resume", flag(entry.resume))
}

pub(crate) fn read(inputs: &Inputs) -> (Value, Vec<FormFault>) {
    let mut reader = Reader::new(inputs);
    let entry = TargetEntry {
        service: reader.required("service", "choose a service"),
        zone: reader.required("zone", "choose an availability zone"),
        address: reader.required(
            "address",
            "enter an IP address and a port, like 10.0.0.7:9001",
        ),
        fencing: reader.flag("fencing"),
        resume: reader.flag("resume"),
        slots: reader.whole_number("slots"),
    };
    reader.finish(&entry)
}
