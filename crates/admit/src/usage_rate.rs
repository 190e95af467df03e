//! The rate of a customer as hosts exchange it.

/// Steps per doubling of the rate; the error is below 0.2%.
const STEPS_PER_OCTAVE: f64 = 256.0;

/// The greatest code, which still takes two bytes as a variable-length integer.
const GREATEST: u16 = (1 << 14) - 1;

/// The rate of code 1, in requests per second.
const LEAST_PER_S: f64 = 0.01;

/// A rate in at most two bytes; code 0 is no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuantizedRate(pub u16);

impl QuantizedRate {
    /// Returns the nearest code; rates below the least one count as no use.
    #[must_use]
    pub fn of(rate_per_s: f64) -> Self {
        if rate_per_s < LEAST_PER_S {
            return Self(0);
        }
        let octaves = (rate_per_s / LEAST_PER_S).log2();
        let code = 1.0 + (octaves * STEPS_PER_OCTAVE).round();
        Self(code.clamp(1.0, f64::from(GREATEST)) as u16)
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        match self.0 {
            0 => 0.0,
            code => LEAST_PER_S * (f64::from(code - 1) / STEPS_PER_OCTAVE).exp2(),
        }
    }
}
