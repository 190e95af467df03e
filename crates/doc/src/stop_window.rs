//! Time spans of planned stops.

use lw_base::WallMs;

/// A span in which a target, host or availability zone takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopWindow {
    /// The start, inclusive.
    pub start_wall_ms: WallMs,
    /// The end, exclusive; `None` for a stop without an end.
    pub end_wall_ms: Option<WallMs>,
}

impl StopWindow {
    /// Returns true when `now` lies in the window.
    #[must_use]
    pub fn contains(&self, now: WallMs) -> bool {
        now >= self.start_wall_ms && self.end_wall_ms.is_none_or(|end| now < end)
    }
}
