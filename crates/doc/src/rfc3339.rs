//! Times in RFC 3339 format.

use jiff::Timestamp;
use lw_base::WallMs;

/// Parses an RFC 3339 time; returns `None` for any other text and for times before 1970.
#[must_use]
pub fn parse_rfc3339(text: &str) -> Option<WallMs> {
    let timestamp: Timestamp = text.parse().ok()?;
    u64::try_from(timestamp.as_millisecond()).ok().map(WallMs)
}

/// Formats a time as RFC 3339 text in UTC.
#[must_use]
pub fn format_rfc3339(time: WallMs) -> String {
    let millis = i64::try_from(time.0).unwrap_or(i64::MAX);
    let timestamp = Timestamp::from_millisecond(millis).unwrap_or(Timestamp::MAX);
    timestamp.to_string()
}
