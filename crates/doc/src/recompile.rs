//! Compiling small changes without compiling the whole document.

use crate::change::Change;
use crate::compile::{compile, compile_customer, compile_target};
use crate::document::Document;
use crate::fleet::Fleet;
use crate::section::Section;
use crate::stop_window::StopWindow;

/// Compiles `document`, which `changes` lead to from the document of `previous`.
///
/// Changed and added customers, and changed targets that stay in their service and zone, are replaced in a copy of
/// `previous`, so keys of other entities stay. Any other change compiles everything.
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
        if replace(&mut fleet, document, change).is_none() {
            return compile(document, revision);
        }
    }
    fleet
}

/// Returns `None` when the change needs a whole compilation.
fn replace(fleet: &mut Fleet, document: &Document, change: &Change) -> Option<()> {
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
    // The zone's stops are in `target`; those that name the target itself are still missing.
    let own_stops = document.planned_stops.values();
    let own_stops = own_stops.filter(|stop| stop.targets.iter().any(|listed| listed == name));
    target.stops.extend(own_stops.filter_map(StopWindow::of));
    fleet.targets[key] = target;
    Some(())
}
