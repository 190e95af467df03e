//! Limits on requests.

/// The largest body of a request; a body is held in memory until its target has answered.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The largest sum of header names and values.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// The most header lines.
pub const MAX_HEADER_LINES: usize = 64;
/// The longest deadline that a caller may ask for; the default deadline of batch requests.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// The longest deadline of a request that must not run twice; records of keys are kept for ten minutes.
pub(crate) const MAX_KEYED_DEADLINE_MS: u64 = 60_000;
/// Bodies up to this size are held until they are whole, so that a cut one is retried or answered with an error.
pub(crate) const HELD_ANSWER_BYTES: usize = 256 * 1024;
/// The parts of a streamed body that wait for a slow reader.
pub(crate) const BODY_PARTS: usize = 4;
