//! Whether the host may serve requests.

use lw_base::prelude::*;

use crate::core::Core;

/// How long a host that is cut off from the key-value service counts as connected to it.
const SERVICE_MS: u64 = 11_000;

impl Core {
    /// Returns why the host must reject requests.
    pub(crate) fn may_serve(&self, now: MonoMs) -> Result<(), ErrorKind> {
        if !self.is_ready() {
            return Err(ErrorKind::NotReady);
        }
        let reaches_service = self
            .service_age_ms(now)
            .is_some_and(|age_ms| age_ms <= SERVICE_MS);
        if reaches_service || self.members.lock().sees_half(now) {
            return Ok(());
        }
        Err(ErrorKind::Isolated)
    }
}
