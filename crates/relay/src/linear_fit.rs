//! A linear model of two measured quantities.

/// The weight of the latest sample; the model follows the last hundred samples.
const SAMPLE_WEIGHT: f64 = 0.01;
/// The minimum number of samples before the model is used.
const MIN_SAMPLES: f64 = 12.0;
/// The minimum standard deviation of the inputs relative to their mean, without which their influence cannot be told
/// apart from a constant.
const MIN_RELATIVE_DEVIATION: f64 = 0.2;

/// A least-squares fit of an output over an input, in which the weight of old samples decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinearFit {
    samples: f64,
    weight: f64,
    input: f64,
    output: f64,
    input_squared: f64,
    product: f64,
}

impl LinearFit {
    /// Records a sample.
    pub fn record(&mut self, input: f64, output: f64) {
        let keep = 1.0 - SAMPLE_WEIGHT;
        self.samples += 1.0;
        self.weight = self.weight * keep + 1.0;
        self.input = self.input * keep + input;
        self.output = self.output * keep + output;
        self.input_squared = self.input_squared * keep + input * input;
        self.product = self.product * keep + input * output;
    }

    /// Returns by how much the output rises per unit of the input; `None` before enough different inputs were measured.
    ///
    /// It is at least zero and at most the ratio of the means, since no part of an output can be negative.
    #[must_use]
    pub fn slope(&self) -> Option<f64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let input = self.input / self.weight;
        let output = self.output / self.weight;
        let variance = self.input_squared / self.weight - input * input;
        if input <= 0.0 || variance < (MIN_RELATIVE_DEVIATION * input).powi(2) {
            return None;
        }
        let covariance = self.product / self.weight - input * output;
        Some((covariance / variance).clamp(0.0, (output / input).max(0.0)))
    }
}
