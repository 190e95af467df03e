//! Outlier ejection: failing targets are taken out of service and probed.

use lw_base::prelude::*;

/// The number of consecutive failures that ejects a target.
const FAILURES_TO_EJECT: u32 = 3;
/// The duration of the first ejection; it doubles with each further one.
const FIRST_EJECTION_MS: u64 = 1_000;
/// The maximum duration of an ejection.
const MAX_EJECTION_MS: u64 = 60_000;
/// The maximum duration while more than half of the targets of the service are ejected, unless that per ejected target
/// is longer. The remaining targets carry the load of the others, so a recovered target must not stay ejected for a
/// minute.
const MAX_SCARCE_EJECTION_MS: u64 = 5_000;
/// The maximum duration per ejected target in the same case, so that a host sends at most one failing probe per second.
/// With 12 of 18 targets ejected, probes every 5 s fail 13% of 20 requests per second, which exceeds the retry budget.
const SCARCE_EJECTION_MS_PER_TARGET: u64 = 1_000;
/// A target that was in service for this long is ejected for the shortest duration again.
const EJECTION_RESET_MS: u64 = 60_000;

/// Whether a target accepts requests, as far as ejection is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionStatus {
    /// The target is in service.
    InService,
    /// The ejection has expired; one request may probe the target.
    ProbeDue,
    /// The target is ejected, or its probe is in flight.
    Ejected,
}

/// How a request was admitted to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionMode {
    /// The target is in service.
    Normal,
    /// The request is the only probe of an ejected target.
    Probe,
    /// No target of the service is in service, so the request was admitted in spite of the ejection.
    LastResort,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ejection {
    consecutive_failures: u32,
    ejections: u32,
    ejected_at: MonoMs,
    ejected_until: Option<MonoMs>,
    probing: bool,
    returned_at: MonoMs,
}

/// Returns the maximum duration of an ejection, in milliseconds, while `ejected` of `targets` targets are ejected.
///
/// When more than half of the targets are ejected, targets are scarce and the maximum is lower.
pub(crate) fn max_ejection_ms(ejected: usize, targets: usize) -> u64 {
    if 2 * ejected <= targets {
        return MAX_EJECTION_MS;
    }
    let probes_ms = SCARCE_EJECTION_MS_PER_TARGET.saturating_mul(ejected as u64);
    probes_ms.clamp(MAX_SCARCE_EJECTION_MS, MAX_EJECTION_MS)
}

impl Ejection {
    /// Returns the current status; an ejection lasts at most `max_ms`.
    pub(crate) fn status(&self, now: MonoMs, max_ms: u64) -> EjectionStatus {
        let Some(until) = self.ejected_until else {
            return EjectionStatus::InService;
        };
        let until = until.min(self.ejected_at.plus_ms(max_ms));
        if now >= until && !self.probing {
            EjectionStatus::ProbeDue
        } else {
            EjectionStatus::Ejected
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Claims the only probe.
    pub(crate) fn claim_probe(&mut self) {
        self.probing = true;
    }

    /// Releases the probe when its request ended without a result for the target.
    pub(crate) fn release_probe(&mut self) {
        self.probing = false;
    }

    /// Records a failure; returns true when it ejects the target.
    ///
    /// While the target is ejected, only the failure of a probe counts: thousands of last-resort requests would double
    /// the ejection to its maximum at once.
    pub(crate) fn record_failure(&mut self, now: MonoMs, mode: AdmissionMode, max_ms: u64) -> bool {
        if mode == AdmissionMode::Probe {
            self.probing = false;
            self.eject(now, max_ms);
            return true;
        }
        if self.ejected_until.is_some() {
            return false;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_EJECT {
            return false;
        }
        if now.since_ms(self.returned_at) > EJECTION_RESET_MS {
            self.ejections = 0;
        }
        self.eject(now, max_ms);
        true
    }

    /// Records a success; returns true when it ends the ejection.
    pub(crate) fn record_success(&mut self, now: MonoMs, mode: AdmissionMode) -> bool {
        self.consecutive_failures = 0;
        if mode == AdmissionMode::Normal || self.ejected_until.is_none() {
            return false;
        }
        self.probing = false;
        self.ejected_until = None;
        self.returned_at = now;
        true
    }

    fn eject(&mut self, now: MonoMs, max_ms: u64) {
        let factor = 1u64 << self.ejections.min(16);
        let duration_ms = (FIRST_EJECTION_MS * factor).min(max_ms);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.ejected_at = now;
        self.ejected_until = Some(now.plus_ms(duration_ms));
    }
}
