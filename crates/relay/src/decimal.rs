//! Parsing of numbers in header values.

use thiserror::Error;

/// The error of a text that is not a finite decimal number of at least zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected a decimal number of at least zero")]
pub struct DecimalError;

/// Parses a finite decimal number of at least zero.
///
/// # Errors
///
/// Returns an error for a negative number and any other text.
pub fn parse_decimal(text: &str) -> Result<f64, DecimalError> {
    let value: f64 = text.trim().parse().map_err(|_| DecimalError)?;
    match value.is_finite() && value.is_sign_positive() {
        true => Ok(value),
        false => Err(DecimalError),
    }
}
