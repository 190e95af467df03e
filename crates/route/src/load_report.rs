//! Load reports of targets.

/// What a target reports about its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests at the target, queued and running.
    pub requests: u32,
    /// Tokens per second of one running request; `None` while nothing runs.
    pub speed_tokens_per_s: Option<f64>,
}

impl LoadReport {
    /// Builds the report from the figures of an engine's `GET /load`.
    #[must_use]
    pub fn from_engine(queued: u32, running: u32, tokens_per_s: f64) -> Self {
        let speed = (running > 0 && tokens_per_s > 0.0).then(|| tokens_per_s / f64::from(running));
        Self {
            requests: queued.saturating_add(running),
            speed_tokens_per_s: speed,
        }
    }
}
