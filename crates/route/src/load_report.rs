//! Load reports of targets.

/// The load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests at the target, queued and running.
    pub requests: u32,
    /// The speed of one running request, in tokens per second; `None` while no request runs.
    pub speed_tokens_per_s: Option<f64>,
}

impl LoadReport {
    /// Creates a report from the values of an engine's `GET /load`. `tokens_per_s` is the total over all running
    /// requests.
    #[must_use]
    pub fn from_engine(queued: u32, running: u32, tokens_per_s: f64) -> Self {
        let speed = (running > 0 && tokens_per_s > 0.0).then(|| tokens_per_s / f64::from(running));
        Self {
            requests: queued.saturating_add(running),
            speed_tokens_per_s: speed,
        }
    }
}
