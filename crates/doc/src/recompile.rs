//! Compiles small changes without compiling the whole document.

use crate::change::Change;
use crate::compile::{compile, compile_customer, compile_target};
use crate::document::Document;
use crate::fleet::Fleet;
use crate::section::Section;
use crate::stop_window::StopWindow;

/// Compiles `document`, the result of applying `changes` to the document that `previous` was compiled from.
///
/// Added and changed customers, and changed targets that keep their service and availability zone, are replaced in a
/// copy of `previous`, so the keys of other entities stay the same. Any other change compiles the whole document.
#[must_use]
pub fn recompile(
    previous: &Fleet,
    document: &Document,
    changes: &[Change],
    revision: u64,
) -> Fleet {
    let mut fleet = previous.clone();
    fleet.revision = revision;
    for change in changes {
        if apply_change(&mut fleet, document, change).is_none() {
            return compile(document, revision);
        }
    }
    fleet
}

/// Applies one change to `fleet`; returns `None` when the whole document must be compiled.
fn apply_change(fleet: &mut Fleet, document: &Document, change: &Change) -> Option<()> {
    let (section, name) = Section::split(&change.path)?;
    match section {
        Section::Customers => replace_customer(fleet, document, name),
        Section::Targets => replace_target(fleet, document, name),
        Section::Regions | Section::Services | Section::PlannedStops | Section::Models => None,
    }
}

fn replace_customer(fleet: &mut Fleet, document: &Document, name: &str) -> Option<()> {
    let customer = compile_customer(fleet, document.customers.get(name)?)?;
    match fleet.customers.key(name) {
        Some(key) => fleet.customers[key] = customer,
        None => drop(fleet.customers.push(name, customer)),
    }
    Some(())
}

fn replace_target(fleet: &mut Fleet, document: &Document, name: &str) -> Option<()> {
    let mut target = compile_target(fleet, document.targets.get(name)?)?;
    let key = fleet.targets.key(name)?;
    let before = &fleet.targets[key];
    if (before.service, before.zone) != (target.service, target.zone) {
        return None;
    }
    // `compile_target` adds only the planned stops of the zone; those of the target itself are added here.
    let own_stops = document.planned_stops.values();
    let own_stops = own_stops.filter(|stop| stop.targets.iter().any(|listed| listed == name));
    target.stops.extend(own_stops.filter_map(StopWindow::of));
    fleet.targets[key] = target;
    Some(())
}
