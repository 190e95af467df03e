//! Time windows of planned stops.

use lw_base::WallMs;

use crate::document::PlannedStopEntry;
use crate::rfc3339::parse_rfc3339;

/// A time window in which a target, host or availability zone receives no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopWindow {
    /// The start, inclusive.
    pub start_wall_ms: WallMs,
    /// The end, exclusive; `None` when the stop has no end.
    pub end_wall_ms: Option<WallMs>,
}

impl StopWindow {
    /// Parses the window of a planned stop; returns `None` when a time is not RFC 3339.
    pub(crate) fn of(entry: &PlannedStopEntry) -> Option<Self> {
        let end_wall_ms = match &entry.end {
            Some(end) => Some(parse_rfc3339(end)?),
            None => None,
        };
        Some(Self {
            start_wall_ms: parse_rfc3339(&entry.start)?,
            end_wall_ms,
        })
    }

    /// Returns whether `now` is in the window.
    #[must_use]
    pub fn contains(&self, now: WallMs) -> bool {
        now >= self.start_wall_ms && self.end_wall_ms.is_none_or(|end| now < end)
    }
}
