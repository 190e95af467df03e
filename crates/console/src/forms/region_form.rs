//! The region form.

use std::collections::BTreeMap;

use lw_doc::RegionEntry;
use serde_json::Value;

use crate::forms::field::{Field, FieldKind, field};
use crate::forms::form_fault::FormFault;
use crate::forms::reader::Reader;
use crate::inputs::Inputs;

pub(crate) fn fields() -> Vec<Field> {
    vec![
        field(
            "zones",
            "Availability zones",
            "One per line, at least one. A zone belongs to one region.",
            FieldKind::Lines,
        ),
        field(
            "delay_ms",
            "One-way delay to other regions",
            "One per line: the region, a space and milliseconds, like: saurashtra 25",
            FieldKind::Lines,
        ),
    ]
}

pub(crate) fn fill(entry: &RegionEntry) -> Inputs {
    let delays = entry.delay_ms.iter();
    let delays: Vec<String> = delays
        .map(|(region, ms)| format!("{region} {ms}"))
        .collect();
    Inputs::default()
        .with("zones", entry.zones.join("\n"))
        .with("delay_ms", delays.join("\n"))
}

pub(crate) fn read(inputs: &Inputs) -> (Value, Vec<FormFault>) {
    let mut reader = Reader::new(inputs);
    let entry = RegionEntry {
        zones: reader.lines("zones"),
        delay_ms: read_delays(&mut reader),
    };
    reader.finish(&entry)
}

fn read_delays(reader: &mut Reader<'_>) -> BTreeMap<String, f64> {
    let mut delays = BTreeMap::new();
    for line in reader.lines("delay_ms") {
        let Some((region, ms)) = line.rsplit_once(char::is_whitespace) else {
            let message = format!(
                "`{line}` is not a delay; enter a region, a space and milliseconds, like: saurashtra 25"
            );
            reader.fault("delay_ms", message);
            continue;
        };
        let region = region.trim_end();
        let ms = reader.parse_decimal("delay_ms", ms);
        if delays.insert(region.to_owned(), ms).is_some() {
            reader.fault(
                "delay_ms",
                format!("the delay to `{region}` is listed more than once; keep one line"),
            );
        }
    }
    delays
}
