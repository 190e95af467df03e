//! The request rate that a target has named in its answers.

use lw_base::prelude::*;
use lw_mesh::StatementId;

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
    /// The latest statement.
    statement: StatementId,
    /// The number of statements that this host has got itself.
    own_statements: u32,
}

/// What hosts tell one another of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNews {
    /// The limit in requests per second; `None` if it has ended.
    pub per_s: Option<f64>,
    /// The time since the statement, in milliseconds.
    pub age_ms: u64,
    /// Which statement it is.
    pub statement: StatementId,
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

    /// Records the limit that an answer to this host, the process `origin`, names, or that it names none. The request of the
    /// answer was sent at `sent_at`. Returns whether the limit has changed.
    ///
    /// An answer without a limit ends the limit only if its request was sent after the last answer that named it had
    /// arrived: answers on several connections may overtake one another.
    pub fn record_answer(
        &mut self,
        origin: u32,
        sent_at: MonoMs,
        now: MonoMs,
        named_per_s: Option<f64>,
    ) -> bool {
        let at = match named_per_s {
            Some(_) => now,
            None if sent_at > self.stated_at => sent_at,
            None => return false,
        };
        self.own_statements = self.own_statements.wrapping_add(1);
        let statement = StatementId {
            origin,
            number: self.own_statements,
        };
        self.state(at, statement, named_per_s)
    }

    /// Records what another host knows of the limit. Returns whether the limit has changed.
    pub fn record_report(&mut self, now: MonoMs, news: LimitNews) -> bool {
        if news.statement == self.statement {
            return false;
        }
        let stated_at = MonoMs(now.0.saturating_sub(news.age_ms));
        let is_later = match (news.per_s, self.per_s) {
            (None, Some(_)) => stated_at > self.stated_at.plus_ms(MAX_REPORT_DELAY_MS),
            _ => stated_at > self.stated_at,
        };
        is_later && self.state(stated_at, news.statement, news.per_s)
    }

    /// Returns what to tell other hosts: the limit, or its end for `end_report_ms` milliseconds.
    #[must_use]
    pub fn report(&self, now: MonoMs, end_report_ms: u64) -> Option<LimitNews> {
        let age_ms = now.since_ms(self.stated_at);
        let is_due = self.per_s.is_some() || (self.was_named && age_ms < end_report_ms);
        is_due.then_some(LimitNews {
            per_s: self.per_s,
            age_ms,
            statement: self.statement,
        })
    }

    fn state(&mut self, at: MonoMs, statement: StatementId, per_s: Option<f64>) -> bool {
        self.stated_at = at;
        self.statement = statement;
        self.was_named |= per_s.is_some();
        std::mem::replace(&mut self.per_s, per_s) != per_s
    }
}
