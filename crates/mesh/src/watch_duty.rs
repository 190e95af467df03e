//! Decides which hosts of a region watch the platform, and when their watches end.
//!
//! A few selected hosts watch, and the others get changes from them. The platform may stop answering exactly these hosts,
//! while the others have contact with it by other calls. So a host that gets no answer to a watch reports this, and the
//! hosts of a region pass on when any of them last had an answer to a watch. When that is too long ago, further hosts
//! watch.

use lw_base::prelude::*;

use crate::host_status::HostStatus;

/// The number of hosts of a region that watch the platform; the others fetch its state from them. Calls to the platform
/// are billed, and if all of 77 hosts watched, every change would cost 77 calls.
pub const WATCHERS_PER_REGION: usize = 3;
/// The wait time of a watch in a region in which all hosts watch, in milliseconds. A dead connection is detected soon after
/// this time, within the 5 s that the platform allows after such a fault.
const UNSHARED_WAIT_MS: u64 = 3_500;
/// The wait time of a watch in a larger region, in milliseconds. The waits of its watchers end in turn.
const SHARED_WAIT_MS: u64 = 1_800;
/// The time between two answers to watches in a larger region, in milliseconds, when nothing changes.
const ANSWER_INTERVAL_MS: u64 = SHARED_WAIT_MS / WATCHERS_PER_REGION as u64;
/// The interval of heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// The number of heartbeats by which an answer reaches each host of a region that every heartbeat reaches, and of a larger
/// one, with one of them lost.
const HEARTBEATS_TO_ALL: u64 = 2;
const HEARTBEATS_TO_ALL_OF_MANY: u64 = 3;
/// While the last answer is too old, the number of hosts that watch doubles at this interval, in milliseconds.
const ESCALATION_INTERVAL_MS: u64 = 400;
/// A host that got no answer to a watch is replaced for this long, in milliseconds.
const REPLACEMENT_MS: u64 = 3_000;

/// What a host knows of the watches of its region.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WatchDuty {
    /// When the platform last answered the watch of a host of the region, as far as is known.
    answered_at: Option<MonoMs>,
    /// When this host first had a state.
    listed_at: Option<MonoMs>,
    /// When a watch of this host last failed, unless one was answered since.
    failed_at: Option<MonoMs>,
}

/// The hosts of a region, as far as they matter for the selection of those that watch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegionWatch {
    /// The live hosts, including the local host.
    pub(crate) hosts: usize,
    /// Those of them whose watches do not fail.
    pub(crate) answered_hosts: usize,
    /// The position of the local host in the order in which they are selected, from zero.
    pub(crate) rank: usize,
    /// The age of the last answer to a watch of the first host in that order, in milliseconds; `None` if it is the local
    /// host, or has reported no answer.
    pub(crate) first_answer_age_ms: Option<u64>,
    /// Each heartbeat reaches the whole region.
    pub(crate) is_reached_at_once: bool,
}

impl WatchDuty {
    /// Records that the platform has answered a watch of a host of the region at `at`.
    pub(crate) fn record_answer(&mut self, at: MonoMs) {
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Records that the platform has answered a watch of the local host.
    pub(crate) fn record_own_answer(&mut self, now: MonoMs) {
        self.failed_at = None;
        self.record_answer(now);
    }

    /// Records that the local host has read the platform's keys, in a state that may be old.
    pub(crate) fn record_listing(&mut self, now: MonoMs) {
        self.listed_at.get_or_insert(now);
    }

    /// Records that a watch of the local host failed. Returns whether other hosts should learn of it.
    pub(crate) fn record_failure(&mut self, now: MonoMs) -> bool {
        let was_failing = self.is_failing(now);
        self.failed_at = Some(now);
        !was_failing
    }

    /// Returns whether the local host gets no answers to its watches.
    pub(crate) fn is_failing(&self, now: MonoMs) -> bool {
        self.failed_at
            .is_some_and(|at| now.since_ms(at) < REPLACEMENT_MS)
    }

    /// Records what a host of the region has reported in a heartbeat.
    pub(crate) fn record_heartbeat(&mut self, now: MonoMs, status: &HostStatus) {
        // Hosts of versions without the second age state the first one.
        let age_ms = status.platform_age_ms.min(status.region_watch_age_ms);
        if age_ms < u16::MAX {
            self.record_answer(MonoMs(now.0.saturating_sub(u64::from(age_ms))));
        }
    }

    /// Returns the age of the last answer to a watch of a host of the region, in milliseconds; `None` if no answer is known.
    pub(crate) fn answer_age_ms(&self, now: MonoMs) -> Option<u64> {
        self.answered_at.map(|at| now.since_ms(at))
    }

    /// Returns whether the local host has to watch.
    ///
    /// Load: the platform stops answering the hosts of a region that watch, by refusals or by silence, while it answers the
    /// others; then those that replace them. If it answers none of them, the number of hosts that go on trying stays small.
    pub(crate) fn is_due(&self, now: MonoMs, region: RegionWatch) -> bool {
        if region.rank < WATCHERS_PER_REGION {
            return true;
        }
        let Some(known_at) = self.answered_at.max(self.listed_at) else {
            return false;
        };
        let heartbeats = match region.is_reached_at_once {
            true => HEARTBEATS_TO_ALL,
            false => HEARTBEATS_TO_ALL_OF_MANY,
        };
        let max_age_ms = ANSWER_INTERVAL_MS + heartbeats * HEARTBEAT_INTERVAL_MS;
        let Some(late_ms) = now.since_ms(known_at).checked_sub(max_age_ms) else {
            return false;
        };
        let doublings = (1 + late_ms / ESCALATION_INTERVAL_MS).min(u64::from(usize::BITS / 2));
        let watching = WATCHERS_PER_REGION << doublings;
        region.rank < watching.min(region.answered_hosts)
    }
}

/// Returns how long the next watch waits for changes, in milliseconds. `has_waited` states that the wait of the last one has
/// ended without a change.
///
/// A change ends the waits of all watchers at the same moment, so their next ones differ by rank. Without a change, the
/// waits of the other watchers end at fixed offsets from those of the first one.
pub(crate) fn watch_wait_ms(region: RegionWatch, has_waited: bool) -> u64 {
    if region.hosts <= WATCHERS_PER_REGION {
        return UNSHARED_WAIT_MS;
    }
    let turn = (region.rank % WATCHERS_PER_REGION) as u64;
    if !has_waited {
        return ANSWER_INTERVAL_MS * (turn + 1);
    }
    let Some(first_age_ms) = region.first_answer_age_ms else {
        return SHARED_WAIT_MS;
    };
    let since_first_ms = first_age_ms % SHARED_WAIT_MS;
    let until_turn_ms =
        (ANSWER_INTERVAL_MS * turn + SHARED_WAIT_MS - since_first_ms) % SHARED_WAIT_MS;
    match until_turn_ms > SHARED_WAIT_MS / 2 {
        true => until_turn_ms,
        false => until_turn_ms + SHARED_WAIT_MS,
    }
}
