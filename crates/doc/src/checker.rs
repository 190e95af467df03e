//! Checks that the validators of all sections share.

use std::collections::BTreeMap;

use lw_base::prelude::*;

use crate::document::Document;
use crate::fault::Fault;
use crate::fault_kind::FaultKind;
use crate::source_map::SourceMap;

/// The maximum length of a name. Names appear in headers, metric labels and keys of the key-value service, which limit
/// their length.
const MAX_NAME_BYTES: usize = 64;

/// Checks one document and collects its faults.
pub(crate) struct Checker<'a> {
    pub(crate) document: &'a Document,
    pub(crate) region_of_zone: FastMap<&'a str, &'a str>,
    source: &'a SourceMap,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    pub(crate) fn new(document: &'a Document, source: &'a SourceMap) -> Self {
        let zones = document.regions.iter().flat_map(|(region, entry)| {
            let zones = entry.zones.iter();
            zones.map(|zone| (zone.as_str(), region.as_str()))
        });
        Self {
            document,
            region_of_zone: zones.collect(),
            source,
            faults: Vec::new(),
        }
    }

    pub(crate) fn fault(&mut self, path: impl Into<String>, kind: FaultKind) {
        let path = path.into();
        let line = self.source.line(&path);
        self.faults.push(Fault { path, line, kind });
    }

    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    pub(crate) fn check_duplicate_entities(&mut self) {
        for (path, line) in self.source.duplicates() {
            self.faults.push(Fault {
                path: path.clone(),
                line: Some(*line),
                kind: FaultKind::DuplicateEntity,
            });
        }
    }

    /// Checks the names of a section's entities, in which `.` is valid only with `allow_dots`.
    pub(crate) fn check_names<T>(
        &mut self,
        section: &str,
        map: &BTreeMap<String, T>,
        allow_dots: bool,
    ) {
        for name in map.keys() {
            self.check_name(&format!("{section}/{name}"), name, allow_dots);
        }
    }

    pub(crate) fn check_name(&mut self, path: &str, name: &str, allow_dots: bool) {
        let allowed =
            |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || allow_dots && c == '.';
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
            let name = name.to_owned();
            self.fault(path, FaultKind::InvalidName { name });
        }
    }

    pub(crate) fn check_range(&mut self, path: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            self.fault(path, FaultKind::OutOfRange { value, min, max });
        }
    }

    pub(crate) fn check_duplicate_elements(&mut self, path: &str, names: &[String]) {
        for (index, name) in names.iter().enumerate() {
            if names[..index].contains(name) {
                let name = name.clone();
                self.fault(path, FaultKind::DuplicateElement { name });
            }
        }
    }

    pub(crate) fn check_region(&mut self, path: &str, name: &str) {
        if !self.document.regions.contains_key(name) {
            let name = name.to_owned();
            self.fault(path, FaultKind::UnknownRegion { name });
        }
    }

    pub(crate) fn check_regions(&mut self, path: &str, names: &[String]) {
        self.check_duplicate_elements(path, names);
        for name in names {
            self.check_region(path, name);
        }
    }
}
