//! Line numbers of the parts of a document.

use std::fmt;

use lw_base::prelude::*;
use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;

/// The number of nesting levels with line numbers: section, entity and field, and one more for
/// `engine/models/<name>/<field>`.
const MAPPED_LEVELS: usize = 4;

/// The line numbers of entities and fields, by paths such as `services/grade-assistant/regions`.
#[derive(Clone, Debug, Default)]
pub struct SourceMap {
    lines: FastMap<String, usize>,
    duplicates: Vec<(String, usize)>,
}

impl SourceMap {
    /// Builds the map of a JSON text that was already parsed without an error.
    pub(crate) fn of(json: &str) -> Self {
        let mut map = Self::default();
        let lines = LineIndex::of(json);
        if let Ok(members) = serde_json::from_str::<Members<'_>>(json) {
            map.add_members("", &members, &lines, MAPPED_LEVELS);
        }
        map
    }

    /// Returns the line, from 1, of `path` or of the nearest part that contains it.
    #[must_use]
    pub fn line(&self, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return Some(*line);
            }
            path = path.rsplit_once('/')?.0;
        }
    }

    /// Returns the paths that occur more than once in the text, with the line of each repetition.
    #[must_use]
    pub fn duplicates(&self) -> &[(String, usize)] {
        &self.duplicates
    }

    fn add_members(
        &mut self,
        parent: &str,
        members: &Members<'_>,
        lines: &LineIndex,
        levels: usize,
    ) {
        for (name, value) in &members.0 {
            let path = match parent {
                "" => name.clone(),
                _ => format!("{parent}/{name}"),
            };
            let line = lines.line_of(value.get());
            if self.lines.insert(path.clone(), line).is_some() {
                self.duplicates.push((path.clone(), line));
            }
            if levels == 1 || !value.get().starts_with('{') {
                continue;
            }
            if let Ok(inner) = serde_json::from_str::<Members<'_>>(value.get()) {
                self.add_members(&path, &inner, lines, levels - 1);
            }
        }
    }
}

/// Finds the line number of a slice of the text by the address of the slice.
struct LineIndex {
    start: usize,
    newlines: Vec<usize>,
}

impl LineIndex {
    fn of(text: &str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self {
            start: text.as_ptr() as usize,
            newlines: newlines.map(|(offset, _)| offset).collect(),
        }
    }

    fn line_of(&self, part: &str) -> usize {
        let offset = part.as_ptr() as usize - self.start;
        self.newlines.partition_point(|newline| *newline < offset) + 1
    }
}

/// The members of a JSON object in their order, including duplicates.
struct Members<'a>(Vec<(String, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(MembersVisitor).map(Members)
    }
}

struct MembersVisitor;

impl<'de> Visitor<'de> for MembersVisitor {
    type Value = Vec<(String, &'de RawValue)>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut members = Vec::new();
        while let Some((name, value)) = map.next_entry::<String, &'de RawValue>()? {
            members.push((name, value));
        }
        Ok(members)
    }
}
