//! Parsing of the delay that a target asks for.

use thiserror::Error;

/// The error of a retry delay that is not a number of seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected a number of seconds")]
pub struct RetryAfterError;

/// Parses a delay in seconds, with or without a fraction, and returns it in milliseconds, rounded up.
///
/// # Errors
///
/// Returns an error for a date, a negative number and any other text.
pub fn parse_retry_after_ms(text: &str) -> Result<u64, RetryAfterError> {
    let seconds: f64 = text.trim().parse().map_err(|_| RetryAfterError)?;
    if !seconds.is_finite() || seconds.is_sign_negative() {
        return Err(RetryAfterError);
    }
    // The conversion saturates, so a huge delay stays a huge delay.
    Ok((seconds * 1_000.0).ceil() as u64)
}
