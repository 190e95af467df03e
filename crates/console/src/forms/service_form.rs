//! The service form.

use lw_base::PriorityClass;
use lw_doc::{Document, ServiceEntry, ServiceKind};
use serde_json::Value;

use crate::forms::field::{Choice, Field, FieldKind, choices, field};
use crate::forms::form_fault::FormFault;
use crate::forms::reader::Reader;
use crate::inputs::Inputs;

const KINDS: [(&str, ServiceKind); 2] =
    [("model", ServiceKind::Model), ("plain", ServiceKind::Plain)];
const PRIORITIES: [(&str, PriorityClass); 3] = [
    ("lookup", PriorityClass::Lookup),
    ("interactive", PriorityClass::Interactive),
    ("batch", PriorityClass::Batch),
];

pub(crate) fn blank() -> ServiceEntry {
    ServiceEntry {
        kind: ServiceKind::Model,
        priority: PriorityClass::Interactive,
        regions: Vec::new(),
        allowed_regions: Vec::new(),
        deadline_ms: 30_000,
        max_in_flight_per_target: 16,
        queue_entries: 1024,
        queue_bytes: 16 * 1024 * 1024,
        non_idempotent_methods: vec!["POST".into(), "PATCH".into()],
    }
}

pub(crate) fn fields(document: &Document) -> Vec<Field> {
    let regions = choices(document.regions.keys().map(String::as_str));
    let kinds = vec![
        Choice::labelled("model", "model engines"),
        Choice::labelled("plain", "plain HTTP service"),
    ];
    let priorities = vec![
        Choice::labelled("lookup", "lookup (handled first)"),
        Choice::labelled("interactive", "interactive"),
        Choice::labelled("batch", "batch (may wait)"),
    ];
    vec![
        field("kind", "Kind", "", FieldKind::Select(kinds)),
        field(
            "priority",
            "Priority class",
            "",
            FieldKind::Select(priorities),
        ),
        field(
            "regions",
            "Regions with targets",
            "Choose at least one.",
            FieldKind::Choices(regions.clone()),
        ),
        field(
            "allowed_regions",
            "Regions that may process requests of this service (residency)",
            "Choose none to allow every region.",
            FieldKind::Choices(regions),
        ),
        field(
            "deadline_ms",
            "Deadline in milliseconds",
            "For requests that set no deadline; 1 to 600000.",
            FieldKind::Number,
        ),
        field(
            "max_in_flight_per_target",
            "Requests in flight per target",
            "For plain services: the most requests that one target processes at the same time, 1 to 100000.",
            FieldKind::Number,
        ),
        field(
            "queue_entries",
            "Requests that may wait on one host",
            "1 to 1000000.",
            FieldKind::Number,
        ),
        field(
            "queue_bytes",
            "Bytes of requests that may wait on one host",
            "4194304 (4 MiB) to 1073741824 (1 GiB).",
            FieldKind::Number,
        ),
        field(
            "non_idempotent_methods",
            "HTTP methods whose requests must not run twice",
            "One per line, in capitals, like POST.",
            FieldKind::Lines,
        ),
    ]
}

pub(crate) fn fill(entry: &ServiceEntry) -> Inputs {
    let kind = KINDS.iter().find(|(_, kind)| *kind == entry.kind);
    let priority = PRIORITIES
        .iter()
        .find(|(_, class)| *class == entry.priority);
    let mut inputs = Inputs::default()
        .with("kind", kind.map_or("", |(text, _)| text))
        .with("priority", priority.map_or("", |(text, _)| text))
        .with("deadline_ms", entry.deadline_ms.to_string())
        .with(
            "max_in_flight_per_target",
            entry.max_in_flight_per_target.to_string(),
        )
        .with("queue_entries", entry.queue_entries.to_string())
        .with("queue_bytes", entry.queue_bytes.to_string())
        .with(
            "non_idempotent_methods",
            entry.non_idempotent_methods.join("\n"),
        );
    for region in &entry.regions {
        inputs.push("regions", region.as_str());
    }
    for region in &entry.allowed_regions {
        inputs.push("allowed_regions", region.as_str());
    }
    inputs
}

pub(crate) fn read(inputs: &Inputs) -> (Value, Vec<FormFault>) {
    let mut reader = Reader::new(inputs);
    let entry = ServiceEntry {
        kind: reader.one_of("kind", &KINDS),
        priority: reader.one_of("priority", &PRIORITIES),
        regions: reader.choices("regions"),
        allowed_regions: reader.choices("allowed_regions"),
        deadline_ms: reader.whole_number("deadline_ms"),
        max_in_flight_per_target: reader.whole_number("max_in_flight_per_target"),
        queue_entries: reader.whole_number("queue_entries"),
        queue_bytes: reader.whole_number("queue_bytes"),
        non_idempotent_methods: reader.lines("non_idempotent_methods"),
    };
    reader.finish(&entry)
}
