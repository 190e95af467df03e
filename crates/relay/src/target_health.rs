//! Whether a target answers, by the requests that it was sent.

use lw_base::prelude::*;

/// The first ejection, doubled with every failure in a row.
const EJECT_MS: u64 = 400;
/// The longest ejection: a restarted target has a new incarnation, so only a path that was cut needs the probe.
const LONGEST_EJECT_MS: u64 = 3_000;
/// An entry outlives its target by some heartbeats. Meanwhile 25 restarted engines rejected 7,000 requests for their
/// former incarnations in three seconds.
const REPLACED_MS: u64 = 6_000;
/// The weight of the newest answer in the failure rate; about the last ten answers count.
const RATE_WEIGHT: f64 = 0.1;
/// A target that was sent requests and has been silent for this long is suspected, unless its service is slower.
const SILENT_MS: f64 = 700.0;
/// The suspicion waits for this multiple of the usual time to an answer.
const SILENT_ANSWERS: f64 = 6.0;

/// How an attempt ended, for the health of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It was answered.
    Answered,
    /// It was answered with a failure or a rejection.
    Failed,
    /// The connection could not be opened or broke.
    Unreachable,
    /// Another incarnation answers at its address, so this one is gone.
    Replaced,
    /// It says nothing about the target.
    Neutral,
}

/// The health of a target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    consecutive_failures: u32,
    ejected_until: MonoMs,
    failure_rate: f64,
    waiting: u32,
    silent_since: MonoMs,
}

impl TargetHealth {
    /// Notes that a request is sent.
    pub fn record_sent(&mut self, now: MonoMs) {
        if self.waiting == 0 {
            self.silent_since = now;
        }
        self.waiting += 1;
    }

    /// Notes that the target sent bytes.
    pub fn record_received(&mut self, now: MonoMs) {
        self.silent_since = now;
    }

    /// Notes the first bytes of an answer, or that none will come.
    pub fn record_end(&mut self, now: MonoMs, end: AttemptEnd) {
        self.waiting = self.waiting.saturating_sub(1);
        match end {
            AttemptEnd::Answered => {
                self.silent_since = now;
                self.consecutive_failures = 0;
                self.failure_rate *= 1.0 - RATE_WEIGHT;
            }
            AttemptEnd::Failed => {
                self.silent_since = now;
                self.consecutive_failures = 0;
                self.failure_rate += RATE_WEIGHT * (1.0 - self.failure_rate);
            }
            AttemptEnd::Unreachable => {
                self.consecutive_failures += 1;
                self.failure_rate += RATE_WEIGHT * (1.0 - self.failure_rate);
                let doublings = (self.consecutive_failures - 1).min(4);
                let span_ms = (EJECT_MS << doublings).min(LONGEST_EJECT_MS);
                self.ejected_until = now.plus_ms(span_ms);
            }
            AttemptEnd::Replaced => {
                self.ejected_until = now.plus_ms(REPLACED_MS);
            }
            AttemptEnd::Neutral => {}
        }
    }

    /// Returns whether new requests should go elsewhere; `answer_ms` is the usual time to an answer.
    #[must_use]
    pub fn is_suspect(&self, now: MonoMs, answer_ms: f64) -> bool {
        // After failures in a row, one request at a time finds out whether the target is back: a dark target held up
        // every request that met it until the connection timed out.
        let is_probed = self.consecutive_failures > 0 && self.waiting > 0;
        let patience_ms = SILENT_MS.max(answer_ms * SILENT_ANSWERS) as u64;
        let is_silent = self.waiting > 0 && now.since_ms(self.silent_since) > patience_ms;
        now < self.ejected_until || is_probed || is_silent
    }

    /// Returns the share of late answers that were failures.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
