//! The schedule of a host's calls to the key-value service.

use lw_base::MonoMs;

use crate::action::StoreCall;

/// The minimum time between two reads of the head by a host.
pub const READ_INTERVAL_MS: u64 = 1_000;
/// The timeout of a watch, after which the head is read without a watch. A watch does not report a head that returned
/// to an older version when the service lost writes.
pub const WATCH_TIMEOUT_MS: u64 = 4_000;
/// The upper bound of the retry delay. Revisions must be in force within 11 s of the end of an outage.
pub const MAX_BACKOFF_MS: u64 = 5_000;
const FIRST_BACKOFF_MS: u64 = 1_000;
/// The upper bound of the random time by which each host delays a repair of the service. The first host repairs it, and
/// the other hosts then find nothing to repair.
const MAX_REPAIR_DELAY_MS: u64 = 1_500;
/// The timeout of a read or watch of the head.
const READ_TIMEOUT_MS: u64 = WATCH_TIMEOUT_MS + 6_000;
/// The timeout of a call that follows a read of the head. Loading a document takes up to 80 reads, each of which may
/// take some 100 ms while the service is slow.
const FOLLOW_UP_TIMEOUT_MS: u64 = 60_000;
/// The time for which a host that is not a relay waits for a newer revision from its peers before it loads the revision
/// from the service.
const PEER_WAIT_MS: u64 = 3_000;

/// The result of the first read of the head since the host started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FirstHead {
    Unread,
    Revision(u64),
    Failed,
}

/// Schedules the calls of a host, of which at most one is outstanding.
#[derive(Debug)]
pub(crate) struct CallSchedule {
    pub(crate) first_head: FirstHead,
    /// True while a repair of the service is scheduled.
    pub(crate) repair_due: bool,
    /// The time at which the outstanding call times out.
    busy_until: Option<MonoMs>,
    behind_since: Option<MonoMs>,
    next_at: MonoMs,
    /// The stored version of the last head.
    version: u64,
    /// True when the next call must be a plain read instead of a watch.
    plain_read: bool,
    failures: u32,
}

impl CallSchedule {
    pub(crate) fn new() -> Self {
        Self {
            first_head: FirstHead::Unread,
            repair_due: false,
            busy_until: None,
            behind_since: None,
            next_at: MonoMs(0),
            version: 0,
            plain_read: true,
            failures: 0,
        }
    }

    /// Returns the next read of the head when it is due.
    pub(crate) fn next_read(&mut self, now: MonoMs, random: u64) -> Option<StoreCall> {
        if let Some(until) = self.busy_until {
            if now < until {
                return None;
            }
            self.record_failure(now, random);
        }
        if now < self.next_at {
            return None;
        }
        self.busy_until = Some(now.plus_ms(READ_TIMEOUT_MS));
        self.next_at = now.plus_ms(READ_INTERVAL_MS);
        if self.plain_read {
            return Some(StoreCall::ReadHead);
        }
        Some(StoreCall::Watch {
            after_version: self.version,
            wait_ms: WATCH_TIMEOUT_MS,
        })
    }

    /// Records the end of a call. Returns false when the call had already timed out, so that its event is ignored.
    pub(crate) fn end_call(&mut self) -> bool {
        self.busy_until.take().is_some()
    }

    /// Records that a further call starts directly after the last event.
    pub(crate) fn begin_follow_up(&mut self, now: MonoMs) {
        self.busy_until = Some(now.plus_ms(FOLLOW_UP_TIMEOUT_MS));
    }

    pub(crate) fn record_head(&mut self, version: u64, revision: u64) {
        self.failures = 0;
        self.version = version;
        self.plain_read = false;
        // Readiness depends only on the first head: a ready host stays ready while a newer revision is being
        // distributed.
        if self.first_head == FirstHead::Unread {
            self.first_head = FirstHead::Revision(revision);
        }
    }

    /// Returns true once this host has been behind the head for [`PEER_WAIT_MS`].
    pub(crate) fn peer_wait_elapsed(&mut self, now: MonoMs) -> bool {
        let since = *self.behind_since.get_or_insert(now);
        now.since_ms(since) >= PEER_WAIT_MS
    }

    pub(crate) fn record_caught_up(&mut self) {
        self.behind_since = None;
    }

    pub(crate) fn record_unchanged(&mut self) {
        self.failures = 0;
        self.plain_read = true;
    }

    pub(crate) fn require_read(&mut self) {
        self.plain_read = true;
    }

    pub(crate) fn schedule_repair(&mut self, now: MonoMs, random: u64) {
        self.repair_due = true;
        self.plain_read = true;
        self.next_at = now.plus_ms(random % MAX_REPAIR_DELAY_MS);
    }

    /// Records a failed call and delays the next one by exponential backoff with full jitter.
    pub(crate) fn record_failure(&mut self, now: MonoMs, random: u64) {
        if self.first_head == FirstHead::Unread {
            self.first_head = FirstHead::Failed;
        }
        let doublings = self.failures.min(8);
        let max_delay_ms = (FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.plain_read = true;
        self.busy_until = None;
        self.next_at = now.plus_ms(100 + random % max_delay_ms);
    }
}
