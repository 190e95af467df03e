//! The retention time of the audit log.

use serde::{Deserialize, Serialize};

/// The retention time of published revisions and refused attempts in the audit log, in days.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AuditKeepDays(pub u32);

impl AuditKeepDays {
    /// The shortest retention time.
    pub const MIN: Self = Self(1);
    /// The longest retention time. At the target size, the records of a day take about 20 MB of the key-value service.
    pub const MAX: Self = Self(400);
    const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

    /// Returns the retention time in milliseconds.
    #[must_use]
    pub fn as_ms(self) -> u64 {
        u64::from(self.0) * Self::DAY_MS
    }

    pub(crate) fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

impl Default for AuditKeepDays {
    fn default() -> Self {
        Self(30)
    }
}
