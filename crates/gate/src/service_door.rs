//! The admission queue and the retry budget of one service.

use std::sync::Arc;

use lw_admit::{Offer, QueueConfig, RetryBudget, ServiceQueue, Ticket, Verdict};
use lw_base::prelude::*;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// What ends a wait in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wake {
    /// The request starts and holds a slot.
    Start,
    /// The deadline came, or the longest wait passed.
    Expired,
}

#[derive(Debug)]
struct Waiting {
    queue: ServiceQueue,
    wakers: FastMap<Ticket, oneshot::Sender<Wake>>,
}

/// The admission queue and the retry budget of one service.
#[derive(Debug)]
pub(crate) struct ServiceDoor {
    waiting: Mutex<Waiting>,
    retries: Mutex<RetryBudget>,
}

/// A slot of a service; dropping it lets the next request start.
#[derive(Debug)]
pub(crate) struct Slot {
    door: Arc<ServiceDoor>,
    ticket: Ticket,
    clock: Clock,
}

/// A place in the queue; dropping it gives the place up.
#[derive(Debug)]
pub(crate) struct Place {
    door: Arc<ServiceDoor>,
    ticket: Ticket,
    clock: Clock,
    wake: oneshot::Receiver<Wake>,
    settled: bool,
}

/// What became of an offer.
#[derive(Debug)]
pub(crate) enum Entry {
    /// The request starts.
    Slot(Slot),
    /// The request waits.
    Place(Place),
    /// The request is refused.
    Refused {
        kind: ErrorKind,
        retry_after_ms: u64,
    },
}

impl ServiceDoor {
    pub(crate) fn new(config: QueueConfig, hosts: u32) -> Self {
        let waiting = Waiting {
            queue: ServiceQueue::new(config),
            wakers: FastMap::default(),
        };
        Self {
            waiting: Mutex::new(waiting),
            retries: Mutex::new(RetryBudget::new(hosts)),
        }
    }

    /// Offers a request to the queue.
    pub(crate) fn enter(self: &Arc<Self>, clock: Clock, offer: Offer) -> Entry {
        let mut waiting = self.waiting.lock();
        match waiting.queue.offer(clock.mono(), offer) {
            Verdict::Start(ticket) => Entry::Slot(Slot {
                door: self.clone(),
                ticket,
                clock,
            }),
            Verdict::Queued(ticket) => {
                let (waker, wake) = oneshot::channel();
                waiting.wakers.insert(ticket, waker);
                Entry::Place(Place {
                    door: self.clone(),
                    ticket,
                    clock,
                    wake,
                    settled: false,
                })
            }
            Verdict::Refuse {
                kind,
                retry_after_ms,
            } => Entry::Refused {
                kind,
                retry_after_ms,
            },
        }
    }

    /// Returns the wait that a new request has to expect, in milliseconds.
    pub(crate) fn expected_wait_ms(&self, class: PriorityClass) -> f64 {
        self.waiting.lock().queue.expected_wait_ms(class)
    }

    /// Counts a first attempt for the retry budget.
    pub(crate) fn count_request(&self, now: MonoMs) {
        self.retries.lock().request(now);
    }

    /// Takes a retry from the budget.
    pub(crate) fn take_retry(&self, now: MonoMs) -> bool {
        self.retries.lock().try_retry(now)
    }

    /// Takes new bounds, ends waits whose deadline has come and starts what may start.
    pub(crate) fn tick(&self, now: MonoMs, config: QueueConfig, hosts: u32) {
        self.retries.lock().set_hosts(hosts);
        let mut waiting = self.waiting.lock();
        waiting.queue.set_concurrency(config.concurrency);
        waiting.queue.set_config(config);
        let mut expired = Vec::new();
        waiting.queue.expire(now, &mut expired);
        for ticket in expired {
            if let Some(waker) = waiting.wakers.remove(&ticket) {
                let _ = waker.send(Wake::Expired);
            }
        }
        waiting.start_next(now);
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.lock().queue.waiting()
    }
}

impl Waiting {
    fn start_next(&mut self, now: MonoMs) {
        let mut starts = Vec::new();
        loop {
            self.queue.next_starts(now, &mut starts);
            let mut given_back = false;
            for ticket in starts.drain(..) {
                let waker = self.wakers.remove(&ticket);
                let started = waker.is_some_and(|waker| waker.send(Wake::Start).is_ok());
                if !started {
                    self.queue.cancel(ticket);
                    given_back = true;
                }
            }
            if !given_back {
                return;
            }
        }
    }
}

impl Place {
    /// Waits until the request starts or its wait ends.
    pub(crate) async fn wait(mut self) -> Result<Slot, Self> {
        match (&mut self.wake).await {
            Ok(Wake::Start) => {
                self.settled = true;
                Ok(Slot {
                    door: self.door.clone(),
                    ticket: self.ticket,
                    clock: self.clock,
                })
            }
            Ok(Wake::Expired) | Err(_) => {
                self.settled = true;
                Err(self)
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut waiting = self.door.waiting.lock();
        let still_waits = waiting.wakers.remove(&self.ticket).is_some();
        if still_waits || self.wake.try_recv() == Ok(Wake::Start) {
            waiting.queue.cancel(self.ticket);
            waiting.start_next(self.clock.mono());
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.clock.mono();
        let mut waiting = self.door.waiting.lock();
        waiting.queue.finished(now, self.ticket);
        waiting.start_next(now);
    }
}
