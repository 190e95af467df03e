//! Conversion between RFC 3339 times and the format that operators use.

use lw_base::WallMs;
use lw_doc::{format_rfc3339, parse_rfc3339};

/// Parses `2026-12-03 20:00`, with optional seconds and an optional final `Z`, into an RFC 3339 time in UTC.
///
/// Returns `None` for any other text.
#[must_use]
pub fn read_time(text: &str) -> Option<String> {
    let text = text.trim();
    let (date, time) = text.split_once(['T', ' '])?;
    let time = time.trim_start();
    let time = time.strip_suffix('Z').unwrap_or(time).trim_end();
    let digits = |c: char| c.is_ascii_digit() || c == ':';
    if !time.chars().all(digits) {
        return None;
    }
    let seconds = match time.matches(':').count() {
        1 => ":00",
        2 => "",
        _ => return None,
    };
    let rfc3339 = format!("{date}T{time}{seconds}Z");
    parse_rfc3339(&rfc3339).map(format_rfc3339)
}

/// Formats an RFC 3339 time for a form; returns other text unchanged.
#[must_use]
pub fn show_time(text: &str) -> String {
    let Some(time) = parse_rfc3339(text) else {
        return text.to_owned();
    };
    show_wall_time(time)
}

/// Formats a time in UTC like `2026-12-03 20:00`, with seconds when they are not 0.
pub(crate) fn show_wall_time(time: WallMs) -> String {
    let whole_seconds = WallMs(time.0 / 1000 * 1000);
    let text = format_rfc3339(whole_seconds).replace('T', " ");
    let text = text.trim_end_matches('Z');
    text.strip_suffix(":00").unwrap_or(text).to_owned()
}
