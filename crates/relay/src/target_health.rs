//! Tracks the health of a target by the results of its requests (outlier ejection).

use lw_base::prelude::*;

use crate::target_pause::TargetPause;

/// The duration of the first ejection, doubled with every consecutive failure.
const INITIAL_EJECTION_MS: u64 = 400;
/// The maximum duration of an ejection. A restarted target has a new incarnation, so probes after an ejection matter
/// only for a broken network path.
const MAX_EJECTION_MS: u64 = 3_000;
/// The duration of an ejection after a target was replaced: its entry stays listed for some heartbeats. Without it, 25
/// restarted engines rejected 7,000 requests for their former incarnations in three seconds.
const REPLACED_EJECTION_MS: u64 = 6_000;
/// The least weight of the latest answer in the failure rate, which thus covers about the last ten answers of a busy target.
const MIN_RATE_WEIGHT: f64 = 0.1;
/// The greatest weight of the latest answer, after a time without one.
const MAX_RATE_WEIGHT: f64 = 0.25;
/// The failure rate halves in this time without answers, in milliseconds: a target that is avoided has to be tried again.
const RATE_HALF_LIFE_MS: f64 = 2_500.0;
/// This many answers in a row that break off eject a target. A single one may be the fault of its connection.
const MIN_BROKEN_OFF: u32 = 2;
/// A target with unanswered requests that has been silent for this long is suspect, unless its service is slower.
const MIN_SILENCE_MS: f64 = 700.0;
/// A target is suspect only after this multiple of the usual time to an answer.
const SILENCE_ANSWER_MULTIPLE: f64 = 6.0;

/// The result of an attempt, for the health of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered: the whole answer has arrived, or the first event of a stream.
    Answered,
    /// The answer broke off after its head.
    BrokenOff,
    /// The target answered with an error or a rejection.
    Failed,
    /// The deadline of the request passed before the target answered.
    Expired,
    /// The connection could not be opened.
    Unreachable,
    /// The connection broke before the answer.
    Broken,
    /// Another incarnation answers at the address, so this one has ended.
    Replaced,
    /// The result does not depend on the health of the target.
    Neutral,
}

/// The health of a target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    consecutive_failures: u32,
    /// The last attempt to open a connection failed, and the target has sent nothing since.
    is_unreachable: bool,
    ejected_until: MonoMs,
    /// The failure rate at `rated_at`.
    failure_rate: f64,
    rated_at: MonoMs,
    unanswered: u32,
    /// The number of answers of which the head has arrived and which are not yet known to be sound.
    unproven: u32,
    silent_since: MonoMs,
    is_leaving: bool,
    pause: TargetPause,
}

impl TargetHealth {
    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: MonoMs) {
        if self.unanswered == 0 {
            self.silent_since = now;
        }
        self.unanswered += 1;
    }

    /// Records that the target sent bytes.
    pub fn record_received(&mut self, now: MonoMs) {
        self.silent_since = now;
        self.is_unreachable = false;
    }

    /// Records that the head of an answer has arrived; [`TargetHealth::record_answer_end`] follows.
    pub fn record_head(&mut self, now: MonoMs) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.unproven += 1;
        self.record_received(now);
    }

    /// Records the result of an attempt whose head has arrived.
    pub fn record_answer_end(&mut self, now: MonoMs, end: AttemptEnd) {
        self.unproven = self.unproven.saturating_sub(1);
        self.apply_end(now, end);
    }

    /// Records that a stream broke off after its first event.
    pub fn record_broken_stream(&mut self, now: MonoMs) {
        self.apply_end(now, AttemptEnd::BrokenOff);
    }

    /// Records the result of an attempt without the head of an answer, or with one that is no answer to it.
    pub fn record_end(&mut self, now: MonoMs, end: AttemptEnd) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.apply_end(now, end);
    }

    fn apply_end(&mut self, now: MonoMs, end: AttemptEnd) {
        match end {
            AttemptEnd::Unreachable => self.is_unreachable = true,
            AttemptEnd::Answered | AttemptEnd::Failed => self.is_unreachable = false,
            AttemptEnd::BrokenOff
            | AttemptEnd::Expired
            | AttemptEnd::Broken
            | AttemptEnd::Replaced
            | AttemptEnd::Neutral => {}
        }
        match end {
            AttemptEnd::Answered => {
                self.silent_since = now;
                self.consecutive_failures = 0;
                self.rate(now, 0.0);
                self.pause.record_accepted(now);
            }
            AttemptEnd::Failed => {
                self.silent_since = now;
                self.consecutive_failures = 0;
                self.rate(now, 1.0);
            }
            // The target has sent nothing, so it stays silent.
            AttemptEnd::Expired => {
                self.rate(now, 1.0);
            }
            // Answers that break off together, with the connections of a target, count as the first two of them.
            AttemptEnd::BrokenOff if now < self.ejected_until => {}
            AttemptEnd::BrokenOff => {
                self.consecutive_failures += 1;
                self.rate(now, 1.0);
                if self.consecutive_failures >= MIN_BROKEN_OFF {
                    self.eject(now, self.consecutive_failures - MIN_BROKEN_OFF);
                }
            }
            AttemptEnd::Unreachable | AttemptEnd::Broken => {
                self.consecutive_failures += 1;
                self.rate(now, 1.0);
                self.eject(now, self.consecutive_failures - 1);
            }
            AttemptEnd::Replaced => {
                self.ejected_until = now.plus_ms(REPLACED_EJECTION_MS);
            }
            AttemptEnd::Neutral => {}
        }
    }

    fn rate(&mut self, now: MonoMs, failure: f64) {
        let weight = 1.0 - rate_left(now.since_ms(self.rated_at));
        let weight = weight.clamp(MIN_RATE_WEIGHT, MAX_RATE_WEIGHT);
        let rate = self.failure_rate(now);
        self.failure_rate = rate + weight * (failure - rate);
        self.rated_at = now;
    }

    fn eject(&mut self, now: MonoMs, doublings: u32) {
        let ejection_ms = (INITIAL_EJECTION_MS << doublings.min(4)).min(MAX_EJECTION_MS);
        self.ejected_until = now.plus_ms(ejection_ms);
    }

    /// Records that the target has said in an answer that it is leaving. Returns false if that was known.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Returns whether the target has said that it is leaving. Its entry may still say otherwise.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Closes the target for as long as it has asked this host to stay away; `draw` is a random number from 0 to 1.
    /// Returns whether it was open before.
    pub fn record_pause(&mut self, now: MonoMs, pause_ms: u64, draw: f64) -> bool {
        self.pause.close(now, pause_ms, draw)
    }

    /// Returns when a target that has asked for a pause opens again.
    #[must_use]
    pub fn closed_until(&self, now: MonoMs) -> Option<MonoMs> {
        self.pause.closed_until(now)
    }

    /// Returns whether the target may receive a request during or after a pause.
    #[must_use]
    pub fn may_send(&self, now: MonoMs) -> bool {
        self.pause.may_send(now, self.unanswered)
    }

    /// Returns whether new requests should use other targets; `answer_ms` is the usual time to an answer.
    #[must_use]
    pub fn is_suspect(&self, now: MonoMs, answer_ms: f64) -> bool {
        // After consecutive failures, only one request at a time probes the target: otherwise an unreachable target
        // delays every request sent to it until the connection times out.
        let is_probe_pending =
            self.consecutive_failures > 0 && (self.unanswered > 0 || self.unproven > 0);
        now < self.ejected_until || is_probe_pending || self.is_silent(now, answer_ms)
    }

    /// Returns whether requests that wait for an answer should be tried elsewhere. A connection that broke says nothing
    /// about the other ones.
    #[must_use]
    pub fn is_given_up(&self, now: MonoMs, answer_ms: f64) -> bool {
        self.is_unreachable || self.is_silent(now, answer_ms)
    }

    /// Returns whether the target has sent nothing for a while, whether or not a request waits for it.
    #[must_use]
    pub fn is_quiet(&self, now: MonoMs) -> bool {
        now.since_ms(self.silent_since) as f64 > MIN_SILENCE_MS
    }

    fn is_silent(&self, now: MonoMs, answer_ms: f64) -> bool {
        let max_silence_ms = MIN_SILENCE_MS.max(answer_ms * SILENCE_ANSWER_MULTIPLE) as u64;
        self.unanswered > 0 && now.since_ms(self.silent_since) > max_silence_ms
    }

    /// Returns the share of recent answers that were failures.
    #[must_use]
    pub fn failure_rate(&self, now: MonoMs) -> f64 {
        self.failure_rate * rate_left(now.since_ms(self.rated_at))
    }
}

/// Returns the part of a failure rate that is left after this time without answers.
fn rate_left(elapsed_ms: u64) -> f64 {
    (-(elapsed_ms as f64) / RATE_HALF_LIFE_MS).exp2()
}
