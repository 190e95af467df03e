//! The memory that answers may take while they are read.

use bytes::{Bytes, BytesMut};
use prometheus::IntGauge;
use thiserror::Error;
use tokio::time::Instant;

use crate::held_memory::HeldRoom;

/// The largest answer that is buffered, in bytes. Only a buffered answer can be checked for truncation before the caller
/// gets it.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The largest sum of all answers that are being read, in bytes. The smallest hosts have 160 MB in all.
const MAX_TOTAL_BYTES: usize = 32 * 1024 * 1024;
/// Answers up to this size, in bytes, are read also beyond [`MAX_TOTAL_BYTES`]: a target whose answers do not end must not
/// take the place of usual ones.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// Why an answer is not buffered further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BufferError {
    /// The answer is too large.
    #[error("the answer exceeds {MAX_ANSWER_BYTES} bytes")]
    AnswerTooLarge,
    /// All answers that are being read are too large together.
    #[error("the answers that are being read exceed {MAX_TOTAL_BYTES} bytes")]
    TotalTooLarge,
}

/// Decides whether an answer may have `answer_bytes` when all answers that are being read have `total_bytes`, itself
/// included.
///
/// Load: targets that send bytes without end to many requests at once.
///
/// # Errors
///
/// Returns which limit is exceeded.
pub fn check_buffered(answer_bytes: usize, total_bytes: usize) -> Result<(), BufferError> {
    if answer_bytes > MAX_ANSWER_BYTES {
        return Err(BufferError::AnswerTooLarge);
    }
    if answer_bytes > SMALL_ANSWER_BYTES && total_bytes > MAX_TOTAL_BYTES {
        return Err(BufferError::TotalTooLarge);
    }
    Ok(())
}

/// The parts of an answer that were read so far.
pub(crate) struct AnswerBuffer {
    bytes: BytesMut,
    room: HeldRoom,
    total_bytes: IntGauge,
}

impl AnswerBuffer {
    /// Creates an empty buffer. `total_bytes` counts the bytes of all buffers of the host.
    pub(crate) fn new(total_bytes: &IntGauge, room: HeldRoom) -> Self {
        Self {
            bytes: BytesMut::new(),
            room,
            total_bytes: total_bytes.clone(),
        }
    }

    /// Waits for room for a part of `part_bytes` until the deadline. Returns whether there is room.
    pub(crate) async fn wait_for_room(&mut self, part_bytes: usize, deadline: Instant) -> bool {
        self.room.grow(part_bytes, deadline).await
    }

    /// Adds a part for which there is room.
    ///
    /// # Errors
    ///
    /// Returns an error when the answer or the sum of all answers is too large.
    pub(crate) fn push(&mut self, part: &[u8]) -> Result<(), BufferError> {
        // Small parts are copied, because each of them would keep the whole read buffer in memory.
        self.bytes.extend_from_slice(part);
        self.total_bytes.add(gauge_value(part.len()));
        let total_bytes = usize::try_from(self.total_bytes.get()).unwrap_or(0);
        check_buffered(self.bytes.len(), total_bytes)
    }

    /// Returns the whole answer, which takes its room until it is sent.
    pub(crate) fn take(&mut self) -> Bytes {
        self.total_bytes.sub(gauge_value(self.bytes.len()));
        let bytes = std::mem::take(&mut self.bytes);
        self.room.take().hold(bytes)
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        self.total_bytes.sub(gauge_value(self.bytes.len()));
    }
}

fn gauge_value(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
