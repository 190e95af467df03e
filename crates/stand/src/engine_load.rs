//! Load reports of the fake engine, which are delayed as those of real engines are.

use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lw_plat::EngineLoad;

/// Maximum number of retained samples.
const MAX_SAMPLES: usize = 65_536;

/// The recorded load reports, oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(Instant, EngineLoad)>,
}

impl LoadHistory {
    /// Records a report and drops older ones that no reader with the given lag needs any more.
    pub(crate) fn record(&mut self, now: Instant, report: EngineLoad, lag: Duration) {
        self.samples.push_back((now, report));
        while self.samples.len() > MAX_SAMPLES || self.oldest_is_superseded(now, lag) {
            self.samples.pop_front();
        }
    }

    /// Returns the newest report that is at least `lag` old, or `None` if there is none.
    pub(crate) fn lagged(&self, now: Instant, lag: Duration) -> Option<EngineLoad> {
        let mut newest_first = self.samples.iter().rev();
        let visible = newest_first.find(|(at, _)| now.duration_since(*at) >= lag);
        visible.map(|(_, report)| *report)
    }

    fn oldest_is_superseded(&self, now: Instant, lag: Duration) -> bool {
        let second = self.samples.get(1);
        second.is_some_and(|(at, _)| now.duration_since(*at) >= lag)
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| span.as_millis() as u64)
}
