//! A measured growth with its extrapolation.

use serde::Serialize;

use crate::slopes::fit::{Fit, Point};

/// A value measured at several sizes, its fit, and its value at the target size.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// The name, which is stable between runs.
    pub id: &'static str,
    /// What was measured.
    pub what: &'static str,
    /// The unit of the value.
    pub unit: &'static str,
    /// The unit of the size.
    pub size: &'static str,
    /// True for counts and bytes, which are reproducible with the same seed; false for ratios of times.
    pub exact: bool,
    /// The measurements.
    pub points: Vec<Point>,
    /// The fit.
    pub fit: Fit,
    /// The maximum relative error of the fit at a measured size.
    pub fit_error: f64,
    /// The size to which the value is extrapolated.
    pub target: f64,
    /// The fitted value at the target size, or the value measured there if that is larger.
    pub at_target: f64,
}

impl Slope {
    /// Fits the measurements and extrapolates them to `target`.
    pub(crate) fn new(
        id: &'static str,
        what: &'static str,
        unit: &'static str,
        size: &'static str,
        points: impl IntoIterator<Item = (f64, f64)>,
        target: f64,
    ) -> Self {
        let points: Vec<Point> = points
            .into_iter()
            .map(|(size, value)| Point { size, value })
            .collect();
        let fit = Fit::best(&points);
        let measured = points.iter().find(|point| point.size == target);
        let measured = measured.map_or(f64::MIN, |point| point.value);
        Self {
            id,
            what,
            unit,
            size,
            exact: true,
            fit_error: fit.max_relative_error(&points),
            at_target: fit.value_at(target).max(measured),
            points,
            fit,
            target,
        }
    }

    /// Marks the value as a ratio of times, which is not reproducible.
    pub(crate) fn timed(self) -> Self {
        Self {
            exact: false,
            ..self
        }
    }
}
