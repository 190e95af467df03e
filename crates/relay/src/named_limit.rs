//! The request rate that a target has named in its answers.

use lw_base::prelude::*;

/// What a target says of the requests per second that it takes from all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NamedLimit {
    per_s: Option<f64>,
    /// When the answer with the latest statement arrived at the host that received it.
    stated_at: MonoMs,
}

impl NamedLimit {
    /// Returns the limit in requests per second, or `None` while the target names none.
    #[must_use]
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Records the limit that an answer names, or that it names none. The request of the answer was sent at `sent_at`.
    /// Returns whether the limit has changed.
    ///
    /// An answer without a limit ends the limit only if its request was sent after the last answer that named it had
    /// arrived: answers on several connections may overtake one another.
    pub fn record_answer(
        &mut self,
        sent_at: MonoMs,
        now: MonoMs,
        named_per_s: Option<f64>,
    ) -> bool {
        let is_outdated = named_per_s.is_none() && sent_at <= self.stated_at;
        if is_outdated {
            return false;
        }
        self.stated_at = now;
        std::mem::replace(&mut self.per_s, named_per_s) != named_per_s
    }
}
