//! The form that starts a planned stop now.

use lw_base::WallMs;
use lw_doc::{PlannedStopEntry, format_rfc3339};
use serde_json::Value;

use crate::forms::field::{Field, FieldKind, field};
use crate::forms::form_fault::FormFault;
use crate::forms::reader::Reader;
use crate::forms::stop_form;
use crate::inputs::Inputs;

const MS_PER_MINUTE: u64 = 60 * 1000;
/// One week; a longer stop is entered in the planned stop form, with its start and end.
const MAX_MINUTES: u64 = 7 * 24 * 60;

/// Returns the fields of the form, without the name.
#[must_use]
pub fn stop_now_fields() -> Vec<Field> {
    let mut fields = stop_form::part_fields();
    fields.push(field(
        "duration_min",
        "Duration in minutes",
        "1 to 10080 (one week), counted from the time you save this form. The stop takes effect when you publish the draft.",
        FieldKind::Number,
    ));
    fields
}

/// Returns the initial form values.
#[must_use]
pub fn stop_now_blank() -> Inputs {
    Inputs::default().with("duration_min", "60")
}

pub(crate) fn read(inputs: &Inputs, now: WallMs) -> (Value, Vec<FormFault>) {
    let mut reader = Reader::new(inputs);
    let mut minutes: u64 = reader.whole_number("duration_min");
    if !(1..=MAX_MINUTES).contains(&minutes) {
        if reader.text("duration_min").parse::<u64>().is_ok() {
            reader.fault("duration_min", "enter 1 to 10080 minutes; for a longer stop, add a planned stop with a start and an end");
        }
        minutes = 1;
    }
    let start = WallMs(now.0 / 1000 * 1000);
    let entry = PlannedStopEntry {
        zones: reader.lines("zones"),
        hosts: reader.lines("hosts"),
        targets: reader.lines("targets"),
        start: format_rfc3339(start),
        end: Some(format_rfc3339(start.plus_ms(minutes * MS_PER_MINUTE))),
    };
    reader.finish(&entry)
}
