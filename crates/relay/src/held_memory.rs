//! The memory that requests and answers take. Their bytes are counted until their last copy is dropped.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use lw_admit::{MemoryBudget, Room, RoomDecision, RoomRank, RoomRequest, RoomTicket};
use prometheus::{IntCounter, IntGauge};
use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

use crate::clock::HostClock;
use crate::metrics::HostMetrics;

/// The memory budget of a host. Bytes on their way to a connection belong to the HTTP library, which requires that they
/// can be sent between threads.
#[derive(Clone)]
pub(crate) struct HeldMemory(Arc<Shared>);

struct Shared {
    budget: Mutex<MemoryBudget>,
    clock: HostClock,
    /// Notified when room is freed or a request stops to wait for it.
    freed: Notify,
    held_bytes: IntGauge,
    waits: IntCounter,
    refusals: IntCounter,
}

impl Shared {
    fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update<T>(&self, update: impl FnOnce(&mut MemoryBudget) -> T) -> T {
        let mut budget = self.budget();
        let updated = update(&mut budget);
        let held_bytes = i64::try_from(budget.held_bytes()).unwrap_or(i64::MAX);
        self.held_bytes.set(held_bytes);
        updated
    }
}

/// A part of the budget that is returned when it is dropped.
pub(crate) struct HeldRoom {
    shared: Arc<Shared>,
    room: Option<Room>,
}

/// Bytes with their part of the budget.
struct HeldBytes<T> {
    bytes: T,
    _room: HeldRoom,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// A place in the queue for room that is given up when it is dropped.
struct WaitingRequest<'a> {
    shared: &'a Shared,
    ticket: Option<RoomTicket>,
}

impl WaitingRequest<'_> {
    fn give_up(&mut self) -> u64 {
        let Some(ticket) = self.ticket.take() else {
            return 0;
        };
        let now = self.shared.clock.now();
        let retry_after_ms = self.shared.budget().stop_waiting(now, ticket);
        self.shared.freed.notify_waiters();
        retry_after_ms
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.give_up();
    }
}

impl HeldMemory {
    pub(crate) fn new(budget_bytes: usize, clock: HostClock, metrics: &HostMetrics) -> Self {
        let limit_bytes = i64::try_from(budget_bytes).unwrap_or(i64::MAX);
        metrics.held_bytes_limit.set(limit_bytes);
        Self(Arc::new(Shared {
            budget: Mutex::new(MemoryBudget::new(budget_bytes)),
            clock,
            freed: Notify::new(),
            held_bytes: metrics.held_bytes.clone(),
            waits: metrics.room_waits.clone(),
            refusals: metrics.room_refusals.clone(),
        }))
    }

    /// Reserves room for a body, and waits for it if it is expected in time.
    ///
    /// # Errors
    ///
    /// Returns the retry delay for the caller, in milliseconds, when there is no room.
    pub(crate) async fn room_for_body(&self, request: &RoomRequest) -> Result<HeldRoom, u64> {
        let shared = &*self.0;
        let now = shared.clock.now();
        let ticket = match shared.update(|budget| budget.ask(now, request)) {
            RoomDecision::Granted(room) => return Ok(self.held(room)),
            RoomDecision::Wait(ticket) => ticket,
            RoomDecision::Refused { retry_after_ms } => {
                shared.refusals.inc();
                return Err(retry_after_ms);
            }
        };
        shared.waits.inc();
        let mut waiting = WaitingRequest {
            shared,
            ticket: Some(ticket),
        };
        let until = Instant::now() + Duration::from_millis(request.patience_ms);
        loop {
            let freed = shared.freed.notified();
            if let Some(room) = shared.update(|budget| budget.ask_again(ticket)) {
                waiting.ticket = None;
                // The room may suffice for the next one too.
                shared.freed.notify_waiters();
                return Ok(self.held(room));
            }
            if tokio::time::timeout_at(until, freed).await.is_err() {
                shared.refusals.inc();
                return Err(waiting.give_up());
            }
        }
    }

    /// Returns empty room for an answer. `declared_bytes` is zero if its size is not known.
    pub(crate) fn room_for_answer(&self, declared_bytes: usize) -> HeldRoom {
        let room = self.0.budget().empty_room(RoomRank::Answer, declared_bytes);
        self.held(room)
    }

    /// Counts a state for another host; returns `None` if there is no room for it.
    pub(crate) fn hold_state(&self, state: Vec<u8>) -> Option<Bytes> {
        let room = self.0.budget().empty_room(RoomRank::State, state.len());
        let mut room = self.held(room);
        room.try_grow(state.len()).then(|| room.hold(state))
    }

    fn held(&self, room: Room) -> HeldRoom {
        HeldRoom {
            shared: self.0.clone(),
            room: Some(room),
        }
    }
}

impl HeldRoom {
    /// Adds bytes that have arrived; returns false if there is no room for them.
    pub(crate) fn try_grow(&mut self, by_bytes: usize) -> bool {
        let Some(room) = &mut self.room else {
            return false;
        };
        self.shared.update(|budget| budget.grow(room, by_bytes))
    }

    /// Sets the bytes that are held; returns false, and changes nothing, if there is no room for more.
    pub(crate) fn try_resize(&mut self, to_bytes: usize) -> bool {
        let held_bytes = self.room.as_ref().map_or(0, Room::held_bytes);
        match (to_bytes.checked_sub(held_bytes), &mut self.room) {
            (Some(0), _) => true,
            (Some(more_bytes), _) => self.try_grow(more_bytes),
            (None, Some(room)) => {
                let by_bytes = held_bytes - to_bytes;
                self.shared.update(|budget| budget.shrink(room, by_bytes));
                self.shared.freed.notify_waiters();
                true
            }
            (None, None) => false,
        }
    }

    /// Adds bytes that have arrived, and waits for room until `until`. Returns false if there is none.
    pub(crate) async fn grow(&mut self, by_bytes: usize, until: Instant) -> bool {
        loop {
            let shared = self.shared.clone();
            let freed = shared.freed.notified();
            if self.try_grow(by_bytes) {
                return true;
            }
            if tokio::time::timeout_at(until, freed).await.is_err() {
                return false;
            }
        }
    }

    /// Gives up the room for declared bytes that have yet to arrive.
    pub(crate) fn withdraw_promise(&mut self) {
        if let Some(room) = &mut self.room {
            self.shared.update(|budget| budget.withdraw_promise(room));
            self.shared.freed.notify_waiters();
        }
    }

    /// Returns the retry delay for the caller of a body that cannot grow, in milliseconds.
    pub(crate) fn refuse(&self) -> u64 {
        self.shared.refusals.inc();
        let now = self.shared.clock.now();
        let budget = self.shared.budget();
        let room = self.room.as_ref();
        room.map_or(0, |room| budget.retry_after_ms(now, room))
    }

    /// Moves the bytes that the request itself takes to a room of their own.
    pub(crate) fn split_request(&mut self) -> Self {
        Self {
            shared: self.shared.clone(),
            room: self.room.as_mut().map(Room::split_request),
        }
    }

    /// Returns the room and leaves none.
    pub(crate) fn take(&mut self) -> Self {
        Self {
            shared: self.shared.clone(),
            room: self.room.take(),
        }
    }

    /// Returns the bytes, which take the room until their last copy is dropped.
    pub(crate) fn hold(mut self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        // A chunked body may be shorter than declared, and no more bytes follow.
        self.withdraw_promise();
        Bytes::from_owner(HeldBytes { bytes, _room: self })
    }
}

impl Drop for HeldRoom {
    fn drop(&mut self) {
        if let Some(room) = self.room.take() {
            let now = self.shared.clock.now();
            self.shared.update(|budget| budget.free(now, room));
            self.shared.freed.notify_waiters();
        }
    }
}
