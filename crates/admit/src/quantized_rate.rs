//! Compact encoding of a request rate in usage reports.

/// Steps per doubling of the rate; the quantization error is below 0.2%.
const STEPS_PER_OCTAVE: f64 = 256.0;

/// The highest code that fits into two bytes as a variable-length integer.
const MAX_CODE: u16 = (1 << 14) - 1;

/// The rate that code 1 stands for, in requests per second.
const MIN_PER_S: f64 = 0.01;

/// A request rate on a logarithmic scale, encoded in at most two bytes; code 0 is a rate of zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuantizedRate(pub u16);

impl QuantizedRate {
    /// Returns the nearest code. Rates below 0.01 requests per second become zero.
    #[must_use]
    pub fn of(rate_per_s: f64) -> Self {
        if rate_per_s < MIN_PER_S {
            return Self(0);
        }
        let octaves = (rate_per_s / MIN_PER_S).log2();
        let code = 1.0 + (octaves * STEPS_PER_OCTAVE).round();
        Self(code.clamp(1.0, f64::from(MAX_CODE)) as u16)
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        match self.0 {
            0 => 0.0,
            code => MIN_PER_S * (f64::from(code - 1) / STEPS_PER_OCTAVE).exp2(),
        }
    }
}
