//! Parsing of the delay that a target asks for.

use crate::decimal::{DecimalError, parse_decimal};

/// Parses a delay in seconds, with or without a fraction, and returns it in milliseconds, rounded up.
///
/// # Errors
///
/// Returns an error for a date, a negative number and any other text.
pub fn parse_retry_after_ms(text: &str) -> Result<u64, DecimalError> {
    let seconds = parse_decimal(text)?;
    // The conversion saturates, so a huge delay stays a huge delay.
    Ok((seconds * 1_000.0).ceil() as u64)
}
