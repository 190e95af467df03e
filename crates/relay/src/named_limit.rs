//! The request rate that a target has named in its answers.

use lw_base::prelude::*;

/// A report of another host that a limit has ended counts if the target said so at least this long after its last statement
/// that this host knows, in milliseconds: the time of the way of the report is not known.
const MAX_REPORT_DELAY_MS: u64 = 250;

/// What a target says of the requests per second that it takes from all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NamedLimit {
    per_s: Option<f64>,
    /// The target has named a limit, which may have ended.
    was_named: bool,
    /// When the answer with the latest limit arrived at the host that received it. For the end of a limit, this is when the
    /// request of that answer was sent.
    stated_at: MonoMs,
}

impl NamedLimit {
    /// Returns the limit in requests per second, or `None` while the target names none.
    #[must_use]
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Returns the time since the target last stated its limit, in milliseconds; `None` while it names none.
    #[must_use]
    pub fn statement_age_ms(&self, now: MonoMs) -> Option<u64> {
        self.per_s.map(|_| now.since_ms(self.stated_at))
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
        match named_per_s {
            Some(_) => self.state(now, named_per_s),
            None if sent_at > self.stated_at => self.state(sent_at, None),
            None => false,
        }
    }

    /// Records what another host knows of the limit, from a statement that is `age_ms` milliseconds old. Returns whether the
    /// limit has changed.
    pub fn record_report(&mut self, now: MonoMs, per_s: Option<f64>, age_ms: u64) -> bool {
        let stated_at = MonoMs(now.0.saturating_sub(age_ms));
        let is_later = match (per_s, self.per_s) {
            (None, Some(_)) => stated_at > self.stated_at.plus_ms(MAX_REPORT_DELAY_MS),
            _ => stated_at > self.stated_at,
        };
        is_later && self.state(stated_at, per_s)
    }

    /// Returns what to tell other hosts: the limit, or its end for `end_report_ms` milliseconds, and the age of the
    /// statement in milliseconds.
    #[must_use]
    pub fn report(&self, now: MonoMs, end_report_ms: u64) -> Option<(Option<f64>, u32)> {
        let age_ms = now.since_ms(self.stated_at);
        let is_due = self.per_s.is_some() || (self.was_named && age_ms < end_report_ms);
        is_due.then(|| (self.per_s, u32::try_from(age_ms).unwrap_or(u32::MAX)))
    }

    fn state(&mut self, at: MonoMs, per_s: Option<f64>) -> bool {
        self.stated_at = at;
        self.was_named |= per_s.is_some();
        std::mem::replace(&mut self.per_s, per_s) != per_s
    }
}
