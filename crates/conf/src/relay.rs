//! When a host calls the key-value service.

use lw_base::MonoMs;

use crate::action::StoreCall;

/// Relays read the head at most this often.
pub const READ_INTERVAL_MS: u64 = 1_000;
/// A watch does not show that the head went back, so it ends after this time and a plain read follows.
pub const WATCH_TIMEOUT_MS: u64 = 4_000;
/// Reconnects are spread over at most this time: revisions must be in force within 11 s of the end of an outage.
pub const MAX_BACKOFF_MS: u64 = 5_000;
const FIRST_BACKOFF_MS: u64 = 1_000;
/// Repairs of the service wait up to this time, so that one relay repairs and the others find it done.
const REPAIR_SPREAD_MS: u64 = 1_500;
/// A read of the head without an answer for this time counts as failed.
const READ_LIMIT_MS: u64 = WATCH_TIMEOUT_MS + 6_000;
/// Loading a document takes up to 80 reads, each of which may take some 100 ms while the service is slow.
const FOLLOW_UP_LIMIT_MS: u64 = 60_000;
/// A host that is no relay leaves the loading to its peers for this time.
const PEERS_FIRST_MS: u64 = 3_000;

/// What the service showed since the host started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SeenHead {
    Nothing,
    Revision(u64),
    Failed,
}

/// The schedule of calls.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) seen: SeenHead,
    pub(crate) repair_due: bool,
    busy_until: Option<MonoMs>,
    behind_since: Option<MonoMs>,
    next_at: MonoMs,
    version: u64,
    plain_read: bool,
    failures: u32,
}

impl Relay {
    pub(crate) fn new() -> Self {
        Self {
            seen: SeenHead::Nothing,
            repair_due: false,
            busy_until: None,
            behind_since: None,
            next_at: MonoMs(0),
            version: 0,
            plain_read: true,
            failures: 0,
        }
    }

    /// Returns the next read when it is due.
    pub(crate) fn next_read(&mut self, now: MonoMs, random: u64) -> Option<StoreCall> {
        if let Some(until) = self.busy_until {
            if now < until {
                return None;
            }
            self.failed(now, random);
        }
        if now < self.next_at {
            return None;
        }
        self.busy_until = Some(now.plus_ms(READ_LIMIT_MS));
        self.next_at = now.plus_ms(READ_INTERVAL_MS);
        if self.plain_read {
            return Some(StoreCall::ReadHead);
        }
        Some(StoreCall::Watch {
            after_version: self.version,
            wait_ms: WATCH_TIMEOUT_MS,
        })
    }

    /// Returns false for a late event of a call that was given up.
    pub(crate) fn finish(&mut self) -> bool {
        self.busy_until.take().is_some()
    }

    /// Notes that a call follows directly on the last event.
    pub(crate) fn follow_up(&mut self, now: MonoMs) {
        self.busy_until = Some(now.plus_ms(FOLLOW_UP_LIMIT_MS));
    }

    pub(crate) fn head_seen(&mut self, version: u64, revision: u64) {
        self.failures = 0;
        self.version = version;
        self.plain_read = false;
        // Only the first head counts for readiness: a ready host stays ready while a newer revision is on its way.
        if self.seen == SeenHead::Nothing {
            self.seen = SeenHead::Revision(revision);
        }
    }

    /// Returns true when peers had time to deliver a newer revision.
    pub(crate) fn peers_had_time(&mut self, now: MonoMs) -> bool {
        let since = *self.behind_since.get_or_insert(now);
        now.since_ms(since) >= PEERS_FIRST_MS
    }

    pub(crate) fn caught_up(&mut self) {
        self.behind_since = None;
    }

    pub(crate) fn unchanged(&mut self) {
        self.failures = 0;
        self.plain_read = true;
    }

    pub(crate) fn read_again(&mut self) {
        self.plain_read = true;
    }

    pub(crate) fn delay_repair(&mut self, now: MonoMs, random: u64) {
        self.repair_due = true;
        self.plain_read = true;
        self.next_at = now.plus_ms(random % REPAIR_SPREAD_MS);
    }

    /// Delays the next call with full jitter.
    pub(crate) fn failed(&mut self, now: MonoMs, random: u64) {
        if self.seen == SeenHead::Nothing {
            self.seen = SeenHead::Failed;
        }
        let doublings = self.failures.min(8);
        let longest_ms = (FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.plain_read = true;
        self.busy_until = None;
        self.next_at = now.plus_ms(100 + random % longest_ms);
    }
}
