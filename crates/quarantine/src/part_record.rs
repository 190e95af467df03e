//! What is known of one prompt part or request that may crash targets.

use std::collections::VecDeque;

use lw_base::prelude::*;

use crate::part_report::CrashStage;
use crate::suspects::WHOLE_REQUEST;

/// The maximum number of crashes that are kept for a part; older ones are dropped.
const MAX_CRASHES: usize = 16;
/// Crashes closer together than this count once, in milliseconds: when a zone loses power, targets that never worked on
/// the same request end in the same moment.
const CRASH_SPACING_MS: u64 = 100;

/// A crash of a target that was working on a request with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    /// The low half of the stable hash of the target's incarnation.
    pub(crate) target: u32,
    pub(crate) at: MonoMs,
    pub(crate) stage: CrashStage,
}

/// What is known of a part.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartRecord {
    /// The crashes since a target last answered a request with the part, in order of time.
    pub(crate) crashes: Vec<Crash>,
    /// The targets of crashes that an answer has cleared. Hosts disagree by the delay of their reports on whether an answer was
    /// later than a crash, and the crash must not return with the next report.
    cleared: VecDeque<u32>,
    /// The position of the part in prompts, or [`WHOLE_REQUEST`].
    pub(crate) position: u8,
    /// When the quarantine ends; also kept after its end.
    pub(crate) quarantined_until: Option<MonoMs>,
    /// When this record last changed.
    pub(crate) changed_at: MonoMs,
    /// The heartbeats since then that reported it.
    pub(crate) reported: u32,
}

impl PartRecord {
    /// Records that the host knows something new, which other hosts do not know yet.
    pub(crate) fn record_change(&mut self, now: MonoMs) {
        self.changed_at = now;
        self.reported = 0;
    }

    /// Records a crash. Returns false if it was known.
    pub(crate) fn record_crash(&mut self, crash: Crash) -> bool {
        if self.has_crash(crash.target) {
            return false;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Drops the crashes that `is_cleared` selects, for good. Returns whether there were any.
    pub(crate) fn clear_crashes(&mut self, is_cleared: impl Fn(&Crash) -> bool) -> bool {
        let known = self.crashes.len();
        for crash in self.crashes.extract_if(.., |crash| is_cleared(crash)) {
            self.cleared.push_back(crash.target);
        }
        while self.cleared.len() > MAX_CRASHES {
            self.cleared.pop_front();
        }
        self.crashes.len() < known
    }

    /// Returns whether an answer has cleared the crash of the target.
    pub(crate) fn has_cleared(&self, target: u32) -> bool {
        self.cleared.contains(&target)
    }

    /// Returns whether the target crashed while it worked on a request with the part.
    pub(crate) fn has_crash(&self, target: u32) -> bool {
        self.crashes.iter().any(|crash| crash.target == target)
    }

    /// Returns whether the part was in all crashes of another one.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        let mut crashes = other.crashes.iter();
        crashes.all(|crash| self.has_crash(crash.target))
    }

    /// Returns whether this is the record of a whole request.
    pub(crate) fn is_whole_request(&self) -> bool {
        self.position == WHOLE_REQUEST
    }

    /// Returns whether a target crashed in the middle of an answer.
    pub(crate) fn is_streaming(&self) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.stage == CrashStage::Streaming)
    }

    /// Returns the time of the latest crash.
    pub(crate) fn last_crash_at(&self) -> Option<MonoMs> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Returns the number of crashes that `counts` selects; those at almost the same time count once.
    pub(crate) fn count_crashes(&self, counts: impl Fn(&Crash) -> bool) -> usize {
        let mut last_at = None;
        let mut count = 0;
        for crash in self.crashes.iter().filter(|crash| counts(crash)) {
            if last_at.is_none_or(|last| crash.at.since_ms(last) >= CRASH_SPACING_MS) {
                last_at = Some(crash.at);
                count += 1;
            }
        }
        count
    }

    /// Returns whether the part is in quarantine.
    pub(crate) fn is_quarantined(&self, now: MonoMs) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }
}
