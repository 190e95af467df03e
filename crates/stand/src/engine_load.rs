//! Load reports of the engine stand-in, which lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lw_plat::EngineLoad;

/// How many samples are kept.
const MAX_SAMPLES: usize = 65_536;

/// Earlier load reports.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(Instant, EngineLoad)>,
}

impl LoadHistory {
    /// Records a report and drops those that no reader with the given lag can see.
    pub(crate) fn record(&mut self, now: Instant, report: EngineLoad, lag: Duration) {
        self.samples.push_back((now, report));
        while self.samples.len() > MAX_SAMPLES || self.second_is_visible(now, lag) {
            self.samples.pop_front();
        }
    }

    /// Returns the newest report that is at least `lag` old, or an empty one.
    pub(crate) fn lagged(&self, now: Instant, lag: Duration) -> Option<EngineLoad> {
        let mut newest_first = self.samples.iter().rev();
        let visible = newest_first.find(|(at, _)| now.duration_since(*at) >= lag);
        visible.map(|(_, report)| *report)
    }

    fn second_is_visible(&self, now: Instant, lag: Duration) -> bool {
        let second = self.samples.get(1);
        second.is_some_and(|(at, _)| now.duration_since(*at) >= lag)
    }
}

/// Returns the wall clock in milliseconds.
pub(crate) fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| span.as_millis() as u64)
}
