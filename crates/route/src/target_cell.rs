//! The state of one target, kept across revisions.

use lw_base::prelude::*;
use lw_base::violate;
use lw_doc::Target;
use parking_lot::Mutex;

use crate::ejection::{Ejection, Gate, Pass};
use crate::explain::ExclusionReason;
use crate::load_estimate::LoadEstimate;
use crate::load_report::LoadReport;
use crate::query::Now;
use crate::stop_state::StopState;

/// A target that is new or came back reaches its full share after this time.
const SLOW_START_MS: u64 = 30_000;
/// The share at the begin of the slow start.
const SLOW_START_SHARE: f64 = 0.05;
/// A stopped target may receive no work after this time (I7).
const STOP_LIMIT_MS: u64 = 3_000;

/// What a decision reads of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetView {
    pub(crate) ruled_out: Option<ExclusionReason>,
    /// The target is ejected and the request would probe it.
    pub(crate) probe: bool,
    pub(crate) requests: f64,
    pub(crate) slots: f64,
    pub(crate) speed_tokens_per_s: Option<f64>,
    /// The share of the slow start, 1 when it is over.
    pub(crate) share: f64,
}

#[derive(Debug)]
struct TargetState {
    slots: u32,
    load: LoadEstimate,
    ejection: Ejection,
    stops: StopState,
    /// True for an engine that drains, stands by or lacks the model.
    not_serving: bool,
    slow_since: Option<MonoMs>,
    /// What the target adds to the load of its service, in thousandths of a request.
    counted_milli: i64,
    /// The target left the service; requests in flight no longer count.
    detached: bool,
}

/// One shard of the load state; each target has its own lock.
#[derive(Debug)]
pub(crate) struct TargetCell {
    state: Mutex<TargetState>,
}

impl TargetCell {
    /// Creates the state of a target; `slow` when it joins targets that are already in service.
    pub(crate) fn new(now: MonoMs, slow: bool) -> Self {
        Self {
            state: Mutex::new(TargetState {
                slots: 1,
                load: LoadEstimate::default(),
                ejection: Ejection::default(),
                stops: StopState::default(),
                not_serving: false,
                slow_since: slow.then_some(now),
                counted_milli: 0,
                detached: false,
            }),
        }
    }

    /// Takes over what the document says about the target.
    pub(crate) fn configure(&self, now: MonoMs, target: &Target) {
        let mut state = self.state.lock();
        state.slots = target.slots.max(1);
        state.stops.set_windows(now, &target.stops);
    }

    pub(crate) fn set_leaving(&self, now: MonoMs, leaving: bool) {
        self.state.lock().stops.set_leaving(now, leaving);
    }

    /// Notes whether the engine serves its model; one that serves again has a cold cache.
    pub(crate) fn set_serving(&self, now: MonoMs, serving: bool) {
        let mut state = self.state.lock();
        if serving && state.not_serving {
            state.slow_since = Some(now);
        }
        state.not_serving = !serving;
    }

    /// Returns what a decision reads; an ejection lasts `longest_ms` at most.
    pub(crate) fn view(&self, now: Now, longest_ms: u64) -> TargetView {
        let state = self.state.lock();
        let gate = state.ejection.gate(now.mono, longest_ms);
        let ruled_out = if state.stops.stopped_for_ms(now).is_some() {
            Some(ExclusionReason::Stopped)
        } else if state.not_serving {
            Some(ExclusionReason::NotServing)
        } else if gate == Gate::Closed {
            Some(ExclusionReason::Ejected)
        } else {
            None
        };
        TargetView {
            ruled_out,
            probe: gate == Gate::Probe,
            requests: state.load.requests(now.mono),
            slots: f64::from(state.slots),
            speed_tokens_per_s: state.load.speed(now.mono),
            share: state.share(now.mono),
        }
    }

    /// Counts a request; returns how it was admitted, or `None` when the target takes no new work.
    ///
    /// With `last_resort` the request passes an ejection.
    pub(crate) fn begin(
        &self,
        now: Now,
        longest_ms: u64,
        last_resort: bool,
        total_milli: &mut impl FnMut(i64),
    ) -> Option<Pass> {
        let mut state = self.state.lock();
        if state.stops.stopped_for_ms(now).is_some() || state.not_serving {
            return None;
        }
        let pass = match state.ejection.gate(now.mono, longest_ms) {
            Gate::Open => Pass::Normal,
            Gate::Probe => {
                state.ejection.claim_probe();
                Pass::Probe
            }
            Gate::Closed if last_resort => Pass::LastResort,
            Gate::Closed => return None,
        };
        state.load.started();
        total_milli(state.recount(now.mono));
        Some(pass)
    }

    /// Notes that a request is sent now and checks I7.
    pub(crate) fn sent(&self, now: Now) {
        let state = self.state.lock();
        let stopped_for_ms = state.stops.stopped_for_ms(now);
        if stopped_for_ms.is_some_and(|span_ms| span_ms > STOP_LIMIT_MS) {
            violate(
                Invariant::LeavingTargetIdle,
                "a stopped target received a request",
            );
        }
    }

    pub(crate) fn stopped(&self, now: Now) -> bool {
        self.state.lock().stops.stopped_for_ms(now).is_some()
    }

    /// Ends a request; returns the change in the number of ejected targets.
    pub(crate) fn end(
        &self,
        now: MonoMs,
        pass: Pass,
        longest_ms: u64,
        success: Option<bool>,
        total_milli: &mut impl FnMut(i64),
    ) -> i64 {
        let mut state = self.state.lock();
        let was_ejected = state.ejection.is_ejected();
        state.load.ended();
        match success {
            Some(true) => state.succeeded(now, pass),
            Some(false) => {
                state.ejection.failed(now, pass, longest_ms);
            }
            None if pass == Pass::Probe => state.ejection.release_probe(),
            None => {}
        }
        total_milli(state.recount(now));
        if state.detached {
            return 0;
        }
        i64::from(state.ejection.is_ejected()) - i64::from(was_ejected)
    }

    pub(crate) fn report(
        &self,
        now: MonoMs,
        report: &LoadReport,
        total_milli: &mut impl FnMut(i64),
    ) {
        let mut state = self.state.lock();
        state.load.reported(now, report);
        total_milli(state.recount(now));
    }

    /// Ends the counting of a target that left the service; returns its load and whether it is ejected.
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
    fn succeeded(&mut self, now: MonoMs, pass: Pass) {
        let returned = self.ejection.succeeded(now, pass);
        if returned {
            self.slow_since = Some(now);
        }
    }

    fn share(&self, now: MonoMs) -> f64 {
        let Some(since) = self.slow_since else {
            return 1.0;
        };
        let progress = now.since_ms(since) as f64 / SLOW_START_MS as f64;
        progress.clamp(SLOW_START_SHARE, 1.0)
    }

    /// Returns by how much the load changed since it was last counted.
    fn recount(&mut self, now: MonoMs) -> i64 {
        if self.detached {
            return 0;
        }
        let milli = (self.load.requests(now) * 1_000.0) as i64;
        let change = milli - self.counted_milli;
        self.counted_milli = milli;
        change
    }
}
