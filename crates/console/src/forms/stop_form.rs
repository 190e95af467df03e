//! The planned stop form.

use lw_base::WallMs;
use lw_doc::{PlannedStopEntry, format_rfc3339};
use serde_json::Value;

use crate::forms::field::{Field, FieldKind, field};
use crate::forms::form_fault::FormFault;
use crate::forms::reader::Reader;
use crate::forms::time_text::show_time;
use crate::inputs::Inputs;

const MS_PER_HOUR: u64 = 60 * 60 * 1000;

/// Returns a stop that starts at the next full hour and lasts one hour.
pub(crate) fn blank(now: WallMs) -> PlannedStopEntry {
    let start = now.0 / MS_PER_HOUR * MS_PER_HOUR + MS_PER_HOUR;
    PlannedStopEntry {
        start: format_rfc3339(WallMs(start)),
        end: Some(format_rfc3339(WallMs(start + MS_PER_HOUR))),
        ..PlannedStopEntry::default()
    }
}

pub(crate) fn part_fields() -> Vec<Field> {
    vec![
        field(
            "zones",
            "Availability zones that stop",
            "One per line.",
            FieldKind::Lines,
        ),
        field(
            "hosts",
            "Hosts that stop",
            "One per line.",
            FieldKind::Lines,
        ),
        field(
            "targets",
            "Targets that stop",
            "One per line.",
            FieldKind::Lines,
        ),
    ]
}

pub(crate) fn fields() -> Vec<Field> {
    let mut fields = part_fields();
    fields.push(field(
        "start",
        "Start (UTC)",
        "Year-month-day hour:minute, like 2026-12-03 20:00.",
        FieldKind::Text,
    ));
    fields.push(field(
        "end",
        "End (UTC)",
        "Year-month-day hour:minute, like 2026-12-03 21:30; leave empty if the stop lasts until you remove it.",
        FieldKind::Text,
    ));
    fields
}

pub(crate) fn fill(entry: &PlannedStopEntry) -> Inputs {
    let end = entry.end.as_deref().map(show_time);
    Inputs::default()
        .with("zones", entry.zones.join("\n"))
        .with("hosts", entry.hosts.join("\n"))
        .with("targets", entry.targets.join("\n"))
        .with("start", show_time(&entry.start))
        .with("end", end.unwrap_or_default())
}

pub(crate) fn read(inputs: &Inputs) -> (Value, Vec<FormFault>) {
    let mut reader = Reader::new(inputs);
    let endless = reader.text("end").is_empty();
    let entry = PlannedStopEntry {
        zones: reader.lines("zones"),
        hosts: reader.lines("hosts"),
        targets: reader.lines("targets"),
        start: reader.time("start"),
        end: (!endless).then(|| reader.time("end")),
    };
    reader.finish(&entry)
}
