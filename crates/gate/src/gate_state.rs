//! Whether a host accepts requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use lw_base::ErrorKind;
use tokio_util::sync::CancellationToken;

/// The conditions that the daemon sets, and the number of in-flight requests.
#[derive(Debug, Default)]
pub struct GateState {
    ready: AtomicBool,
    isolated: AtomicBool,
    leaving: AtomicBool,
    planned_stop: AtomicBool,
    closed: AtomicBool,
    in_flight: AtomicUsize,
    halted: CancellationToken,
    ending: CancellationToken,
}

/// Counts a request as in flight until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    state: Arc<GateState>,
}

impl GateState {
    /// Sets whether the host has a configuration.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Sets whether the host can reach neither its region nor the key-value service.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Release);
    }

    /// Marks responses with `Lacewingstile-Leaving` from now on; requests are still served.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Sets whether a planned stop of the configuration covers the host now; responses are then marked as by
    /// [`GateState::set_leaving`].
    pub fn set_planned_stop(&self, planned: bool) {
        self.planned_stop.store(planned, Ordering::Release);
    }

    /// Rejects all further requests.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Records that the process is exiting, so that in-flight requests may be dropped.
    pub fn halt(&self) {
        self.halted.cancel();
    }

    /// Answers the in-flight requests of callers whose response has not begun, because the process exits soon.
    pub fn end_requests(&self) {
        self.ending.cancel();
    }

    /// Completes when in-flight requests must end.
    pub(crate) async fn must_end_requests(&self) {
        self.ending.cancelled().await;
    }

    /// Returns true when responses are marked with `Lacewingstile-Leaving`.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.planned_stop.load(Ordering::Acquire)
    }

    /// Returns true when the host accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.refusal().is_none()
    }

    /// Returns the number of in-flight requests.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    pub(crate) fn is_halted(&self) -> bool {
        self.halted.is_cancelled()
    }

    /// Returns the error kind with which the host rejects all requests now, or `None` when it accepts them.
    pub(crate) fn refusal(&self) -> Option<ErrorKind> {
        if self.closed.load(Ordering::Acquire) {
            return Some(ErrorKind::Leaving);
        }
        if !self.ready.load(Ordering::Acquire) {
            return Some(ErrorKind::NotReady);
        }
        if self.isolated.load(Ordering::Acquire) {
            return Some(ErrorKind::Isolated);
        }
        None
    }

    pub(crate) fn begin_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            state: self.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
