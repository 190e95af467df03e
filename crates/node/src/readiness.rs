//! Decides whether the host may serve requests.

use lw_base::prelude::*;

use crate::core::Core;

/// The maximum age of the last answer of the key-value service for a host that counts as connected to it.
const MAX_KV_ANSWER_AGE_MS: u64 = 11_000;

impl Core {
    /// Returns the error with which the host must reject requests, if any.
    pub(crate) fn may_serve(&self, now: MonoMs) -> Result<(), ErrorKind> {
        if !self.is_ready() {
            return Err(ErrorKind::NotReady);
        }
        let reaches_kv = self
            .kv_answer_age_ms(now)
            .is_some_and(|age_ms| age_ms <= MAX_KV_ANSWER_AGE_MS);
        if reaches_kv || self.members.lock().sees_half(now) {
            return Ok(());
        }
        Err(ErrorKind::Isolated)
    }
}
