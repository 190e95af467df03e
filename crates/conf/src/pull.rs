//! The state of a pull from a peer.

use lw_base::MonoMs;

use crate::assembly::Assembly;

/// A pull without an answer is repeated after this time; a round trip between regions takes some tens of ms.
const ANSWER_MS: u64 = 700;
const MAX_REPEATS: u32 = 3;

/// One pull at a time.
#[derive(Debug)]
pub(crate) struct Pull {
    pub(crate) peer: String,
    pub(crate) assembly: Option<Assembly>,
    asked_at: MonoMs,
    repeats: u32,
}

/// What a pull that waits too long needs.
pub(crate) enum Overdue {
    No,
    Repeat,
    GiveUp,
}

impl Pull {
    pub(crate) fn new(peer: &str, now: MonoMs) -> Self {
        Self {
            peer: peer.to_owned(),
            assembly: None,
            asked_at: now,
            repeats: 0,
        }
    }

    /// Notes progress, before the next request.
    pub(crate) fn progress(&mut self, now: MonoMs) {
        self.asked_at = now;
        self.repeats = 0;
    }

    pub(crate) fn overdue(&mut self, now: MonoMs) -> Overdue {
        if now.since_ms(self.asked_at) < ANSWER_MS {
            return Overdue::No;
        }
        if self.repeats == MAX_REPEATS {
            return Overdue::GiveUp;
        }
        self.repeats += 1;
        self.asked_at = now;
        Overdue::Repeat
    }
}
