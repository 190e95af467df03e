//! A moving average over irregular samples.

use lw_base::MonoMs;

/// An exponential moving average in which the weight of past samples halves over a fixed time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MovingAverage {
    value: f64,
    observed_at: Option<MonoMs>,
    half_life_ms: f64,
}

impl MovingAverage {
    /// Creates an average without samples.
    #[must_use]
    pub fn new(half_life_ms: u64) -> Self {
        Self {
            value: 0.0,
            observed_at: None,
            half_life_ms: half_life_ms as f64,
        }
    }

    /// Adds a sample; the first one sets the value.
    pub fn observe(&mut self, now: MonoMs, sample: f64) {
        let Some(previous) = self.observed_at.replace(now) else {
            self.value = sample;
            return;
        };
        let past_weight = 0.5f64.powf(now.since_ms(previous) as f64 / self.half_life_ms);
        self.value = self.value * past_weight + sample * (1.0 - past_weight);
    }

    /// Returns the average, or `None` without samples.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.observed_at.map(|_| self.value)
    }
}
