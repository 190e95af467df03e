//! Completeness of a body with a declared length.

/// Counts the bytes of a body against its declared length.
#[derive(Clone, Copy, Debug)]
pub struct BodyLength {
    declared_bytes: Option<u64>,
    seen_bytes: u64,
}

impl BodyLength {
    /// Starts to count a body; `None` stands for a body without a declared length.
    #[must_use]
    pub fn new(declared_bytes: Option<u64>) -> Self {
        Self {
            declared_bytes,
            seen_bytes: 0,
        }
    }

    /// Counts received bytes.
    pub fn add(&mut self, bytes: usize) {
        self.seen_bytes += bytes as u64;
    }

    /// Returns true when a body that ends here has its declared length.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.declared_bytes
            .is_none_or(|declared| declared == self.seen_bytes)
    }
}
