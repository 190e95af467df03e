//! Whether a host takes requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use lw_base::ErrorKind;
use tokio_util::sync::CancellationToken;

/// Switches that the daemon sets, and the count of requests in flight.
#[derive(Debug, Default)]
pub struct GateState {
    ready: AtomicBool,
    isolated: AtomicBool,
    leaving: AtomicBool,
    planned_stop: AtomicBool,
    closed: AtomicBool,
    in_flight: AtomicUsize,
    halted: CancellationToken,
}

/// Counts a request as in flight while it lives.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    state: Arc<GateState>,
}

impl GateState {
    /// Marks whether the host has a configuration.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Marks whether the host is cut off from its region and from the key-value service.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Release);
    }

    /// Starts to tell callers that the host is leaving; requests are still served.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Marks whether a planned stop of the configuration covers the host now; it tells callers the same.
    pub fn set_planned_stop(&self, planned: bool) {
        self.planned_stop.store(planned, Ordering::Release);
    }

    /// Rejects further requests.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Notes that the process ends now, with requests in flight.
    pub fn halt(&self) {
        self.halted.cancel();
    }

    /// Returns true when the host tells callers that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.planned_stop.load(Ordering::Acquire)
    }

    /// Returns true when the host serves requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.refusal().is_none()
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    pub(crate) fn is_halted(&self) -> bool {
        self.halted.is_cancelled()
    }

    /// Returns why the host rejects every request now.
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

    pub(crate) fn begin(self: &Arc<Self>) -> InFlightGuard {
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
