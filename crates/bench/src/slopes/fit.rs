//! Least-squares fits of measurements by size.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size at which the value was measured.
    pub size: f64,
    /// The measured value.
    pub value: f64,
}

/// A fitted function of the size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fit {
    /// `base + slope * size`.
    Linear {
        /// The value at size zero.
        base: f64,
        /// The growth per unit of size.
        slope: f64,
    },
    /// `factor * size ^ exponent`.
    Power {
        /// The value at size one.
        factor: f64,
        /// The exponent.
        exponent: f64,
    },
}

impl Fit {
    /// Returns the linear or the power fit, whichever has the smaller maximum relative error.
    ///
    /// The fit is linear if a size or value is not positive, because a power fit needs logarithms.
    #[must_use]
    pub fn best(points: &[Point]) -> Self {
        let linear = Self::linear(points);
        if points.iter().any(|p| p.value <= 0.0 || p.size <= 0.0) {
            return linear;
        }
        let power = Self::power(points);
        if power.max_relative_error(points) < linear.max_relative_error(points) {
            power
        } else {
            linear
        }
    }

    fn linear(points: &[Point]) -> Self {
        let (base, slope) = least_squares(points.iter().map(|p| (p.size, p.value)));
        Self::Linear { base, slope }
    }

    fn power(points: &[Point]) -> Self {
        let (base, exponent) = least_squares(points.iter().map(|p| (p.size.ln(), p.value.ln())));
        Self::Power {
            factor: base.exp(),
            exponent,
        }
    }

    /// Returns the fitted value at `size`.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        match *self {
            Self::Linear { base, slope } => base + slope * size,
            Self::Power { factor, exponent } => factor * size.powf(exponent),
        }
    }

    /// Returns the maximum error relative to the measured value, without measured values of zero.
    #[must_use]
    pub fn max_relative_error(&self, points: &[Point]) -> f64 {
        let measured = points.iter().filter(|p| p.value != 0.0);
        measured
            .map(|p| ((self.value_at(p.size) - p.value) / p.value).abs())
            .fold(0.0, f64::max)
    }
}

fn least_squares(points: impl Iterator<Item = (f64, f64)> + Clone) -> (f64, f64) {
    let count = points.clone().count() as f64;
    let mean_x = points.clone().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.clone().map(|(_, y)| y).sum::<f64>() / count;
    let covariances = points.clone().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let variance = points.map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    let slope = if variance > 0.0 {
        covariances.sum::<f64>() / variance
    } else {
        0.0
    };
    (mean_y - slope * mean_x, slope)
}
