//! Size and time limits on requests and responses.

/// The maximum size of a request body, which stays in memory for retries until a target has responded.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The maximum total size of header names and values.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// The maximum number of header lines.
pub const MAX_HEADER_LINES: usize = 64;
/// The longest deadline that a caller can request; equal to the default deadline of batch requests.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// The longest deadline of a non-idempotent request; well below the ten minutes for which idempotency records are
/// retained.
pub(crate) const MAX_KEYED_DEADLINE_MS: u64 = 60_000;
/// Response bodies up to this size are buffered until they are complete, so that a truncated response can be retried or
/// replaced by an error response.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 256 * 1024;
/// The number of parts of a streamed body that are buffered for a caller that reads slowly.
pub(crate) const BODY_CHANNEL_PARTS: usize = 4;
