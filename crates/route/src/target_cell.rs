//! The state of one target, kept across revisions.

use lw_base::prelude::*;
use lw_base::report_violation;
use lw_doc::Target;
use parking_lot::Mutex;

use crate::ejection::{AdmissionMode, Ejection, EjectionStatus};
use crate::explain::ExclusionReason;
use crate::load_estimate::LoadEstimate;
use crate::load_report::LoadReport;
use crate::query::Now;
use crate::stop_state::StopState;

/// The duration of the slow start of a target that is new or returns to service.
const SLOW_START_MS: u64 = 30_000;
/// The share of requests at the beginning of the slow start.
const SLOW_START_SHARE: f64 = 0.05;
/// The time after the start of a stop from which the target must not receive requests ([`Invariant::LeavingTargetIdle`]).
const STOP_LIMIT_MS: u64 = 3_000;

/// The state of a target that a decision reads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetView {
    pub(crate) ruled_out: Option<ExclusionReason>,
    /// The next request to the target is a probe.
    pub(crate) probe: bool,
    pub(crate) requests: f64,
    pub(crate) slots: f64,
    pub(crate) speed_tokens_per_s: Option<f64>,
    /// The share of requests that the target accepts during slow start; 1 when slow start is over.
    pub(crate) slow_start_share: f64,
}

#[derive(Debug)]
struct TargetState {
    slots: u32,
    load: LoadEstimate,
    ejection: Ejection,
    stops: StopState,
    /// True for an engine that drains, is on standby or has not loaded the model.
    not_serving: bool,
    slow_start_since: Option<MonoMs>,
    /// The contribution of this target to the load of its service, in thousandths of a request.
    counted_milli: i64,
    /// True when the target was removed from the service; its in-flight requests no longer count.
    detached: bool,
}

/// The state of one target behind its own lock.
#[derive(Debug)]
pub(crate) struct TargetCell {
    state: Mutex<TargetState>,
}

impl TargetCell {
    /// Creates the state of a target. With `slow_start`, the target begins in slow start, because it joins a service
    /// that is already running.
    pub(crate) fn new(now: MonoMs, slow_start: bool) -> Self {
        Self {
            state: Mutex::new(TargetState {
                slots: 1,
                load: LoadEstimate::default(),
                ejection: Ejection::default(),
                stops: StopState::default(),
                not_serving: false,
                slow_start_since: slow_start.then_some(now),
                counted_milli: 0,
                detached: false,
            }),
        }
    }

    /// Applies the configuration of the target.
    pub(crate) fn configure(&self, now: MonoMs, target: &Target) {
        let mut state = self.state.lock();
        state.slots = target.slots.max(1);
        state.stops.set_windows(now, &target.stops);
    }

    pub(crate) fn set_leaving(&self, now: MonoMs, leaving: bool) {
        self.state.lock().stops.set_leaving(now, leaving);
    }

    /// Records whether the engine serves its model. An engine that serves again has a cold cache and begins in slow
    /// start.
    pub(crate) fn set_serving(&self, now: MonoMs, serving: bool) {
        let mut state = self.state.lock();
        if serving && state.not_serving {
            state.slow_start_since = Some(now);
        }
        state.not_serving = !serving;
    }

    /// Returns the state that a decision reads; an ejection lasts at most `max_ms`.
    pub(crate) fn view(&self, now: Now, max_ms: u64) -> TargetView {
        let state = self.state.lock();
        let status = state.ejection.status(now.mono, max_ms);
        let ruled_out = if state.stops.stopped_for_ms(now).is_some() {
            Some(ExclusionReason::Stopped)
        } else if state.not_serving {
            Some(ExclusionReason::NotServing)
        } else if status == EjectionStatus::Ejected {
            Some(ExclusionReason::Ejected)
        } else {
            None
        };
        TargetView {
            ruled_out,
            probe: status == EjectionStatus::ProbeDue,
            requests: state.load.requests(now.mono),
            slots: f64::from(state.slots),
            speed_tokens_per_s: state.load.speed(now.mono),
            slow_start_share: state.slow_start_share(now.mono),
        }
    }

    /// Admits a request and counts it; returns `None` when the target accepts no new requests.
    ///
    /// With `last_resort`, the request is admitted in spite of an ejection.
    pub(crate) fn begin(
        &self,
        now: Now,
        max_ms: u64,
        last_resort: bool,
        add_load_milli: &mut impl FnMut(i64),
    ) -> Option<AdmissionMode> {
        let mut state = self.state.lock();
        if state.stops.stopped_for_ms(now).is_some() || state.not_serving {
            return None;
        }
        let mode = match state.ejection.status(now.mono, max_ms) {
            EjectionStatus::InService => AdmissionMode::Normal,
            EjectionStatus::ProbeDue => {
                state.ejection.claim_probe();
                AdmissionMode::Probe
            }
            EjectionStatus::Ejected if last_resort => AdmissionMode::LastResort,
            EjectionStatus::Ejected => return None,
        };
        state.load.started();
        add_load_milli(state.update_counted_load(now.mono));
        Some(mode)
    }

    /// Reports a violation of [`Invariant::LeavingTargetIdle`] if a request is sent more than [`STOP_LIMIT_MS`] after the
    /// target stopped.
    pub(crate) fn sent(&self, now: Now) {
        let state = self.state.lock();
        let stopped_for_ms = state.stops.stopped_for_ms(now);
        if stopped_for_ms.is_some_and(|span_ms| span_ms > STOP_LIMIT_MS) {
            report_violation(
                Invariant::LeavingTargetIdle,
                "a stopped target received a request",
            );
        }
    }

    pub(crate) fn stopped(&self, now: Now) -> bool {
        self.state.lock().stops.stopped_for_ms(now).is_some()
    }

    /// Ends a request; returns the change in the number of ejected targets.
    ///
    /// `success` is `None` when the request has no result for the target.
    pub(crate) fn end(
        &self,
        now: MonoMs,
        mode: AdmissionMode,
        max_ms: u64,
        success: Option<bool>,
        add_load_milli: &mut impl FnMut(i64),
    ) -> i64 {
        let mut state = self.state.lock();
        let was_ejected = state.ejection.is_ejected();
        state.load.ended();
        match success {
            Some(true) => state.record_success(now, mode),
            Some(false) => {
                state.ejection.record_failure(now, mode, max_ms);
            }
            None if mode == AdmissionMode::Probe => state.ejection.release_probe(),
            None => {}
        }
        add_load_milli(state.update_counted_load(now));
        if state.detached {
            return 0;
        }
        i64::from(state.ejection.is_ejected()) - i64::from(was_ejected)
    }

    pub(crate) fn report(
        &self,
        now: MonoMs,
        report: &LoadReport,
        add_load_milli: &mut impl FnMut(i64),
    ) {
        let mut state = self.state.lock();
        state.load.reported(now, report);
        add_load_milli(state.update_counted_load(now));
    }

    /// Stops counting a target that was removed from its service; returns its load in thousandths of a request and
    /// whether it is ejected.
    pub(crate) fn detach(&self) -> (i64, bool) {
        let mut state = self.state.lock();
        state.detached = true;
        (
            std::mem::take(&mut state.counted_milli),
            state.ejection.is_ejected(),
        )
    }
}

impl TargetState {
    fn record_success(&mut self, now: MonoMs, mode: AdmissionMode) {
        let returned = self.ejection.record_success(now, mode);
        if returned {
            self.slow_start_since = Some(now);
        }
    }

    fn slow_start_share(&self, now: MonoMs) -> f64 {
        let Some(since) = self.slow_start_since else {
            return 1.0;
        };
        let progress = now.since_ms(since) as f64 / SLOW_START_MS as f64;
        progress.clamp(SLOW_START_SHARE, 1.0)
    }

    /// Returns the change of the load since the last call, in thousandths of a request.
    fn update_counted_load(&mut self, now: MonoMs) -> i64 {
        if self.detached {
            return 0;
        }
        let milli = (self.load.requests(now) * 1_000.0) as i64;
        let change = milli - self.counted_milli;
        self.counted_milli = milli;
        change
    }
}
