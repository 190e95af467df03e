//! Checks a body against its declared length.

/// Counts the received bytes of a body and compares them with its declared length.
#[derive(Clone, Copy, Debug)]
pub struct BodyLength {
    declared_bytes: Option<u64>,
    received_bytes: u64,
}

impl BodyLength {
    /// Creates a counter; `None` means that the body has no declared length.
    #[must_use]
    pub fn new(declared_bytes: Option<u64>) -> Self {
        Self {
            declared_bytes,
            received_bytes: 0,
        }
    }

    /// Adds received bytes.
    pub fn add(&mut self, bytes: usize) {
        self.received_bytes += bytes as u64;
    }

    /// Returns true when the body is complete if it ends now. A body without a declared length always is.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.declared_bytes
            .is_none_or(|declared| declared == self.received_bytes)
    }
}
