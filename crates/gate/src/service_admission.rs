//! The admission queue and the retry budget of one service.

use std::sync::Arc;

use lw_admit::{AdmissionTicket, Offer, QueueConfig, RetryBudget, ServiceQueue, Verdict};
use lw_base::prelude::*;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// How the wait of a request in the queue ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wake {
    /// The request has a slot.
    Start,
    /// The deadline or the maximum wait of the queue passed.
    Expired,
}

#[derive(Debug)]
struct QueueState {
    queue: ServiceQueue,
    wakers: FastMap<AdmissionTicket, oneshot::Sender<Wake>>,
}

/// The admission queue and the retry budget of one service.
#[derive(Debug)]
pub(crate) struct ServiceAdmission {
    state: Mutex<QueueState>,
    retries: Mutex<RetryBudget>,
}

/// A slot of a service. Dropping it releases the slot to the next request.
#[derive(Debug)]
pub(crate) struct Slot {
    admission: Arc<ServiceAdmission>,
    ticket: AdmissionTicket,
    clock: Clock,
}

/// The position of a request in the queue. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct QueuePosition {
    admission: Arc<ServiceAdmission>,
    ticket: AdmissionTicket,
    clock: Clock,
    wake: oneshot::Receiver<Wake>,
    resolved: bool,
}

/// Result of offering a request to the queue.
#[derive(Debug)]
pub(crate) enum AdmissionResult {
    /// The request has a slot.
    Admitted(Slot),
    /// The request is queued.
    Queued(QueuePosition),
    /// The request is refused.
    Refused {
        kind: ErrorKind,
        retry_after_ms: u64,
    },
}

impl ServiceAdmission {
    pub(crate) fn new(config: QueueConfig, live_hosts: u32) -> Self {
        let state = QueueState {
            queue: ServiceQueue::new(config),
            wakers: FastMap::default(),
        };
        Self {
            state: Mutex::new(state),
            retries: Mutex::new(RetryBudget::new(live_hosts)),
        }
    }

    /// Offers a request to the queue.
    pub(crate) fn admit(self: &Arc<Self>, clock: Clock, offer: Offer) -> AdmissionResult {
        let mut state = self.state.lock();
        match state.queue.offer(clock.mono(), offer) {
            Verdict::Start(ticket) => AdmissionResult::Admitted(Slot {
                admission: self.clone(),
                ticket,
                clock,
            }),
            Verdict::Queued(ticket) => {
                let (waker, wake) = oneshot::channel();
                state.wakers.insert(ticket, waker);
                AdmissionResult::Queued(QueuePosition {
                    admission: self.clone(),
                    ticket,
                    clock,
                    wake,
                    resolved: false,
                })
            }
            Verdict::Refuse {
                kind,
                retry_after_ms,
            } => AdmissionResult::Refused {
                kind,
                retry_after_ms,
            },
        }
    }

    /// Returns the expected queue wait of a new request, in milliseconds.
    pub(crate) fn expected_wait_ms(&self, class: PriorityClass) -> f64 {
        self.state.lock().queue.expected_wait_ms(class)
    }

    /// Counts a request towards the retry budget.
    pub(crate) fn count_request(&self, now: MonoMs) {
        self.retries.lock().request(now);
    }

    /// Takes a retry from the retry budget; returns false when it is exhausted.
    pub(crate) fn take_retry(&self, now: MonoMs) -> bool {
        self.retries.lock().try_retry(now)
    }

    /// Updates limits and concurrency, expires queued requests and starts the requests that now have a slot.
    pub(crate) fn tick(&self, now: MonoMs, config: QueueConfig, live_hosts: u32) {
        self.retries.lock().set_hosts(live_hosts);
        let mut state = self.state.lock();
        state.queue.set_concurrency(config.concurrency);
        state.queue.set_config(config);
        let mut expired = Vec::new();
        state.queue.expire(now, &mut expired);
        for ticket in expired {
            if let Some(waker) = state.wakers.remove(&ticket) {
                let _ = waker.send(Wake::Expired);
            }
        }
        state.start_next(now);
    }

    /// Returns the number of queued requests.
    pub(crate) fn queued_requests(&self) -> usize {
        self.state.lock().queue.waiting()
    }
}

impl QueueState {
    /// Starts the queued requests that now have a slot. The slot of a request that stopped waiting goes to the next.
    fn start_next(&mut self, now: MonoMs) {
        let mut starts = Vec::new();
        loop {
            self.queue.next_starts(now, &mut starts);
            let mut slot_released = false;
            for ticket in starts.drain(..) {
                let waker = self.wakers.remove(&ticket);
                let started = waker.is_some_and(|waker| waker.send(Wake::Start).is_ok());
                if !started {
                    self.queue.cancel(ticket);
                    slot_released = true;
                }
            }
            if !slot_released {
                return;
            }
        }
    }
}

impl QueuePosition {
    /// Waits until the request has a slot; returns the position as an error when the wait expired.
    pub(crate) async fn wait(mut self) -> Result<Slot, Self> {
        match (&mut self.wake).await {
            Ok(Wake::Start) => {
                self.resolved = true;
                Ok(Slot {
                    admission: self.admission.clone(),
                    ticket: self.ticket,
                    clock: self.clock,
                })
            }
            Ok(Wake::Expired) | Err(_) => {
                self.resolved = true;
                Err(self)
            }
        }
    }
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let mut state = self.admission.state.lock();
        let is_queued = state.wakers.remove(&self.ticket).is_some();
        if is_queued || self.wake.try_recv() == Ok(Wake::Start) {
            state.queue.cancel(self.ticket);
            state.start_next(self.clock.mono());
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.clock.mono();
        let mut state = self.admission.state.lock();
        state.queue.finished(now, self.ticket);
        state.start_next(now);
    }
}
