//! Limits on requests.

/// The largest request body; it is kept in memory for retries until a target has answered.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The largest total size of header names and values.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// The largest number of header lines.
pub const MAX_HEADER_LINES: usize = 64;
/// The longest deadline that a caller may ask for. It equals the default deadline of batch requests.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// The longest deadline of a non-idempotent request. It is well below the ten minutes for which records of keys are
/// kept.
pub(crate) const MAX_KEYED_DEADLINE_MS: u64 = 60_000;
/// Response bodies up to this size are buffered until they are complete, so that a truncated one can be retried or
/// answered with an error.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 256 * 1024;
/// The number of parts of a streamed body that are buffered for a slow reader.
pub(crate) const BODY_CHANNEL_PARTS: usize = 4;
