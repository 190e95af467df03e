//! The slots of the fake engine, assigned by priority and then in order of arrival.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// The free slots and the requests that wait for one; clones share one queue.
#[derive(Clone)]
pub(crate) struct SlotQueue {
    state: Arc<Mutex<State>>,
}

struct State {
    free: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(usize, u64), oneshot::Sender<Slot>>,
}

/// A slot in use; dropping it passes the slot to the next waiting request.
pub(crate) struct Slot {
    queue: Option<SlotQueue>,
}

impl SlotQueue {
    /// Creates a queue with `slots` free slots.
    pub(crate) fn new(slots: usize) -> Self {
        let state = State {
            free: slots,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Waits for a slot; requests with a lower `priority` value are served first.
    pub(crate) async fn acquire(&self, priority: usize) -> Slot {
        loop {
            let receiver = {
                let mut state = self.state.lock();
                if state.free > 0 {
                    state.free -= 1;
                    state.running += 1;
                    return self.slot();
                }
                let (sender, receiver) = oneshot::channel();
                state.arrivals += 1;
                let position = (priority, state.arrivals);
                state.waiting.insert(position, sender);
                receiver
            };
            if let Ok(slot) = receiver.await {
                return slot;
            }
        }
    }

    /// Returns the numbers of waiting and of running requests.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let mut state = self.state.lock();
        state.waiting.retain(|_, sender| !sender.is_closed());
        (state.waiting.len(), state.running)
    }

    fn slot(&self) -> Slot {
        Slot {
            queue: Some(self.clone()),
        }
    }

    fn release(&self) {
        loop {
            let next = {
                let mut state = self.state.lock();
                let Some((_, next)) = state.waiting.pop_first() else {
                    state.free += 1;
                    state.running -= 1;
                    return;
                };
                next
            };
            // If the request stopped waiting, `send` returns the slot; dropping that must not release it again.
            match next.send(self.slot()) {
                Ok(()) => return,
                Err(mut returned) => returned.queue = None,
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.release();
        }
    }
}
