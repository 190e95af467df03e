//! Ejection of failing targets.

use lw_base::prelude::*;

/// This many failures in a row eject a target.
const FAILURES_TO_EJECT: u32 = 3;
/// The length of the first ejection.
const FIRST_EJECTION_MS: u64 = 1_000;
/// The longest ejection.
const LONGEST_EJECTION_MS: u64 = 60_000;
/// The longest ejection while more than half of the targets of the service are ejected. The targets that are left carry
/// the load of the others, so a target that has recovered must not stay out for a minute.
const LONGEST_SCARCE_EJECTION_MS: u64 = 5_000;
/// It is longer with many ejected targets, so that a host makes one failing probe a second at most. With 12 of 18 targets
/// out, probes every 5 s failed 13% of 20 requests a second, which is more than the retry budget covers.
const SCARCE_EJECTION_MS_PER_TARGET: u64 = 1_000;
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

/// How a request was admitted to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pass {
    /// The target is in service.
    Normal,
    /// The request is the single probe of an ejected target.
    Probe,
    /// No target of the service is in service, so the request was let through in spite of the ejection.
    LastResort,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ejection {
    failures: u32,
    ejections: u32,
    ejected_at: MonoMs,
    ejected_until: Option<MonoMs>,
    probing: bool,
    returned_at: MonoMs,
}

/// Returns the longest ejection in a service with `ejected` of `targets` targets out.
pub(crate) fn longest_ejection_ms(ejected: usize, targets: usize) -> u64 {
    if 2 * ejected <= targets {
        return LONGEST_EJECTION_MS;
    }
    let probes_ms = SCARCE_EJECTION_MS_PER_TARGET.saturating_mul(ejected as u64);
    probes_ms.clamp(LONGEST_SCARCE_EJECTION_MS, LONGEST_EJECTION_MS)
}

impl Ejection {
    /// Returns whether a request may pass; the ejection lasts `longest_ms` at most.
    pub(crate) fn gate(&self, now: MonoMs, longest_ms: u64) -> Gate {
        let Some(until) = self.ejected_until else {
            return Gate::Open;
        };
        let until = until.min(self.ejected_at.plus_ms(longest_ms));
        if now >= until && !self.probing {
            Gate::Probe
        } else {
            Gate::Closed
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Claims the single probe.
    pub(crate) fn claim_probe(&mut self) {
        self.probing = true;
    }

    /// Gives the probe back when its request ended without telling anything about the target.
    pub(crate) fn release_probe(&mut self) {
        self.probing = false;
    }

    /// Counts a failure; returns true when the target is ejected by it.
    ///
    /// A request of the last resort says nothing new: thousands of them would double the ejection to its limit at once.
    pub(crate) fn failed(&mut self, now: MonoMs, pass: Pass, longest_ms: u64) -> bool {
        if pass == Pass::Probe {
            self.probing = false;
            self.eject(now, longest_ms);
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
        self.eject(now, longest_ms);
        true
    }

    /// Counts a success; returns true when it brings the target back into service.
    pub(crate) fn succeeded(&mut self, now: MonoMs, pass: Pass) -> bool {
        self.failures = 0;
        if pass == Pass::Normal || self.ejected_until.is_none() {
            return false;
        }
        self.probing = false;
        self.ejected_until = None;
        self.returned_at = now;
        true
    }

    fn eject(&mut self, now: MonoMs, longest_ms: u64) {
        let factor = 1u64 << self.ejections.min(16);
        let span_ms = (FIRST_EJECTION_MS * factor).min(longest_ms);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_at = now;
        self.ejected_until = Some(now.plus_ms(span_ms));
    }
}
