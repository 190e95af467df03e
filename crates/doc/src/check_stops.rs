//! Validates planned stops.

use lw_base::WallMs;

use crate::checker::Checker;
use crate::document::PlannedStopEntry;
use crate::fault_kind::FaultKind;
use crate::rfc3339::parse_rfc3339;

pub(crate) fn check_stops(checker: &mut Checker<'_>) {
    let document = checker.document;
    checker.check_names("planned_stops", &document.planned_stops, true);
    for (name, entry) in &document.planned_stops {
        let path = format!("planned_stops/{name}");
        check_window(checker, &path, entry);
        check_scope(checker, &path, entry);
    }
}

fn check_window(checker: &mut Checker<'_>, path: &str, entry: &PlannedStopEntry) {
    let start = check_time(checker, format!("{path}/start"), &entry.start);
    let Some(end) = &entry.end else {
        return;
    };
    let end = check_time(checker, format!("{path}/end"), end);
    if let (Some(start), Some(end)) = (start, end)
        && end <= start
    {
        checker.fault(format!("{path}/end"), FaultKind::StopEndsBeforeStart);
    }
}

fn check_time(checker: &mut Checker<'_>, path: String, text: &str) -> Option<WallMs> {
    let time = parse_rfc3339(text);
    if time.is_none() {
        let text = text.to_owned();
        checker.fault(path, FaultKind::InvalidTime { text });
    }
    time
}

fn check_scope(checker: &mut Checker<'_>, path: &str, entry: &PlannedStopEntry) {
    if entry.zones.is_empty() && entry.hosts.is_empty() && entry.targets.is_empty() {
        checker.fault(path, FaultKind::EmptyPlannedStop);
    }
    let zones_path = format!("{path}/zones");
    checker.check_duplicate_elements(&zones_path, &entry.zones);
    for zone in &entry.zones {
        if !checker.region_of_zone.contains_key(zone.as_str()) {
            let name = zone.clone();
            checker.fault(zones_path.as_str(), FaultKind::UnknownZone { name });
        }
    }
    let hosts_path = format!("{path}/hosts");
    checker.check_duplicate_elements(&hosts_path, &entry.hosts);
    for host in &entry.hosts {
        checker.check_name(&hosts_path, host, true);
    }
    let targets_path = format!("{path}/targets");
    checker.check_duplicate_elements(&targets_path, &entry.targets);
    for target in &entry.targets {
        if !checker.document.targets.contains_key(target) {
            let name = target.clone();
            checker.fault(targets_path.as_str(), FaultKind::UnknownTarget { name });
        }
    }
}
