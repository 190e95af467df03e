//! Ejection of failing targets.

use lw_base::prelude::*;

/// This many failures in a row eject a target.
const FAILURES_TO_EJECT: u32 = 3;
/// The length of the first ejection.
const FIRST_EJECTION_MS: u64 = 1_000;
/// The longest ejection.
const LONGEST_EJECTION_MS: u64 = 60_000;
/// A target that stayed in service this long starts again with the shortest ejection.
const FORGIVE_MS: u64 = 60_000;

/// Whether ejection lets a request pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Gate {
    /// The target is in service.
    Open,
    /// The target may get one request that probes it.
    Probe,
    /// The target gets nothing.
    Closed,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ejection {
    failures: u32,
    ejections: u32,
    ejected_until: Option<MonoMs>,
    probing: bool,
    returned_at: MonoMs,
}

impl Ejection {
    pub(crate) fn gate(&self, now: MonoMs) -> Gate {
        match self.ejected_until {
            None => Gate::Open,
            Some(until) if now >= until && !self.probing => Gate::Probe,
            Some(_) => Gate::Closed,
        }
    }

    /// Claims the single probe; returns false when another request holds it.
    pub(crate) fn claim_probe(&mut self, now: MonoMs) -> bool {
        let free = self.gate(now) == Gate::Probe;
        self.probing |= free;
        free
    }

    /// Gives the probe back when its request ended without telling anything about the target.
    pub(crate) fn release_probe(&mut self) {
        self.probing = false;
    }

    /// Counts a failure; returns true when the target is ejected by it.
    pub(crate) fn failed(&mut self, now: MonoMs, was_probe: bool) -> bool {
        if was_probe {
            self.probing = false;
            self.eject(now);
            return true;
        }
        if self.ejected_until.is_some() {
            return false;
        }
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return false;
        }
        if now.since_ms(self.returned_at) > FORGIVE_MS {
            self.ejections = 0;
        }
        self.eject(now);
        true
    }

    /// Counts a success; returns true when it brings the target back into service.
    pub(crate) fn succeeded(&mut self, now: MonoMs, was_probe: bool) -> bool {
        self.failures = 0;
        if !was_probe {
            return false;
        }
        self.probing = false;
        self.ejected_until = None;
        self.returned_at = now;
        true
    }

    fn eject(&mut self, now: MonoMs) {
        let factor = 1u64 << self.ejections.min(16);
        let span_ms = (FIRST_EJECTION_MS * factor).min(LONGEST_EJECTION_MS);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now.plus_ms(span_ms));
    }
}
