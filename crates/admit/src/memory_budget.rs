//! The budget in bytes for what a host holds for others: request bodies and answers.

use std::collections::BTreeMap;

use lw_base::prelude::*;

/// Bodies and answers up to this size, in bytes, may use all of the budget, so that long ones do not keep them out.
const SMALL_BYTES: usize = 64 * 1024;
/// The bytes that a request takes besides its body: its head, its buffers and its task.
const REQUEST_BYTES: usize = 32 * 1024;
/// The bytes that a request whose body is left unread may take in the receive buffer of its connection.
const UNREAD_BYTES: usize = 128 * 1024;
/// The fraction of the budget that only small bodies and answers may use.
const SMALL_FRACTION: usize = 16;
/// The fraction of the budget that long bodies of less urgent requests may not use.
const URGENT_FRACTION: usize = 4;
/// The fraction of the budget that long answers may use, so that slow readers leave room for bodies.
const ANSWER_FRACTION: usize = 2;
/// The fraction of the budget that unread bodies may take in receive buffers.
const UNREAD_FRACTION: usize = 8;
/// The time constant of the rate at which room is freed, in milliseconds.
const FREED_DECAY_MS: f64 = 2_000.0;
/// The retry delay when the rate at which room is freed is not known, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 1_000;
/// The bounds of the retry delay, in milliseconds.
const RETRY_MS: std::ops::RangeInclusive<u64> = 50..=5_000;

/// What room is asked for, in the order in which it is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoomRank {
    /// The state of the platform for another host.
    State,
    /// The answer to a request that has run.
    Answer,
    /// The body of a request.
    Body {
        /// The urgency of the request; zero is the most urgent.
        urgency: u8,
    },
}

/// A request for room.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest {
    /// The declared size of the body in bytes; zero if it is not known.
    pub declared_bytes: usize,
    /// The rank of the request.
    pub rank: RoomRank,
    /// The longest time that the request may wait for room, in milliseconds.
    pub patience_ms: u64,
}

/// A part of the budget. It must be returned with [`MemoryBudget::free`].
#[derive(Debug)]
pub struct Room {
    rank: RoomRank,
    /// The declared size in bytes; zero if it is not known.
    declared_bytes: usize,
    /// The bytes that have arrived, and those that the request itself takes.
    held_bytes: usize,
    /// The declared bytes that have yet to arrive and for which room is kept.
    promised_bytes: usize,
}

impl Room {
    /// Returns the bytes that it holds.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Moves the bytes that the request itself takes to a room of their own, which outlives the body.
    #[must_use]
    pub fn split_request(&mut self) -> Self {
        let held_bytes = self.held_bytes.min(REQUEST_BYTES);
        self.held_bytes -= held_bytes;
        Self {
            rank: self.rank,
            declared_bytes: 0,
            held_bytes,
            promised_bytes: 0,
        }
    }
}

/// A place in the queue for room. It must be given up with [`MemoryBudget::stop_waiting`] unless room is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoomTicket {
    rank: RoomRank,
    number: u64,
}

/// The decision on a request for room.
#[derive(Debug)]
pub enum RoomDecision {
    /// The body may be read.
    Granted(Room),
    /// The body stays unread until room is freed.
    Wait(RoomTicket),
    /// The request is refused.
    Refused {
        /// When room is expected to be free, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The budget in bytes for what a host holds for others.
///
/// Load: bursts of long prompts, many slow senders, and many slow readers, beside usual requests. A body whose size is
/// declared is read only once there is room for all of it, so that a burst does not fill the budget with parts of
/// bodies. The promise is withdrawn from a slow sender, whose body then takes room as it grows.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    held_bytes: usize,
    /// The part of `held_bytes` that answers take.
    answer_bytes: usize,
    promised_bytes: usize,
    /// The requests that wait for room, with the bytes that they need.
    waiting: BTreeMap<RoomTicket, usize>,
    next_number: u64,
    freed_bytes_per_s: f64,
    freed_at: MonoMs,
}

impl MemoryBudget {
    /// Creates a budget of `limit_bytes`.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            held_bytes: 0,
            answer_bytes: 0,
            promised_bytes: 0,
            waiting: BTreeMap::new(),
            next_number: 0,
            freed_bytes_per_s: 0.0,
            freed_at: MonoMs::default(),
        }
    }

    /// Returns the bytes in use, without those that are only promised.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the size of the budget in bytes.
    #[must_use]
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Decides on a request for room: it is granted, waits if room is expected within its patience, or is refused.
    pub fn ask(&mut self, now: MonoMs, request: &RoomRequest) -> RoomDecision {
        let needed_bytes = request.declared_bytes.saturating_add(REQUEST_BYTES);
        let waiting_ahead = self.waiting.range(..=last_ticket(request.rank));
        let ahead_bytes: usize = waiting_ahead.map(|(_, bytes)| bytes).sum();
        let is_small = request.declared_bytes <= SMALL_BYTES;
        if (is_small || ahead_bytes == 0) && self.fits(request.rank, needed_bytes, needed_bytes) {
            return RoomDecision::Granted(self.grant(request.rank, request.declared_bytes));
        }
        let limit_bytes = self.limit_for(request.rank, needed_bytes);
        let free_bytes = limit_bytes.saturating_sub(self.held_bytes + self.promised_bytes);
        let missing_bytes = (ahead_bytes + needed_bytes).saturating_sub(free_bytes);
        let wait_ms = self.expected_wait_ms(now, missing_bytes);
        let unread_bytes = (self.waiting.len() + 1) * UNREAD_BYTES;
        let must_refuse = needed_bytes > limit_bytes
            || unread_bytes > self.limit_bytes / UNREAD_FRACTION
            || request.patience_ms == 0
            || wait_ms.is_some_and(|wait_ms| wait_ms > request.patience_ms);
        if must_refuse {
            return RoomDecision::Refused {
                retry_after_ms: retry_after_ms(wait_ms),
            };
        }
        let ticket = RoomTicket {
            rank: request.rank,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(ticket, needed_bytes);
        RoomDecision::Wait(ticket)
    }

    /// Grants room to a waiting request if it is the first one and there is room for it.
    pub fn ask_again(&mut self, ticket: RoomTicket) -> Option<Room> {
        let (first, needed_bytes) = self.waiting.first_key_value()?;
        let needed_bytes = *needed_bytes;
        if *first != ticket || !self.fits(ticket.rank, needed_bytes, needed_bytes) {
            return None;
        }
        self.waiting.remove(&ticket);
        Some(self.grant(ticket.rank, needed_bytes - REQUEST_BYTES))
    }

    /// Removes a waiting request. Returns the retry delay for its caller in milliseconds.
    pub fn stop_waiting(&mut self, now: MonoMs, ticket: RoomTicket) -> u64 {
        let needed_bytes = self.waiting.remove(&ticket).unwrap_or(0);
        retry_after_ms(self.expected_wait_ms(now, needed_bytes))
    }

    /// Returns empty room, which then grows. `declared_bytes` is zero if the size is not known.
    #[must_use]
    pub fn empty_room(&self, rank: RoomRank, declared_bytes: usize) -> Room {
        Room {
            rank,
            declared_bytes,
            held_bytes: 0,
            promised_bytes: 0,
        }
    }

    /// Adds bytes that have arrived. Returns false, and adds nothing, when there is no room for them.
    pub fn grow(&mut self, room: &mut Room, by_bytes: usize) -> bool {
        let promised_bytes = by_bytes.min(room.promised_bytes);
        let more_bytes = by_bytes - promised_bytes;
        let total_bytes = room.declared_bytes.max(room.held_bytes + by_bytes);
        if more_bytes > 0 && !self.fits(room.rank, total_bytes, more_bytes) {
            return false;
        }
        room.promised_bytes -= promised_bytes;
        self.promised_bytes -= promised_bytes;
        room.held_bytes += by_bytes;
        self.held_bytes += by_bytes;
        if room.rank == RoomRank::Answer {
            self.answer_bytes += by_bytes;
        }
        true
    }

    /// Takes bytes out of a room that are no longer held.
    pub fn shrink(&mut self, room: &mut Room, by_bytes: usize) {
        let by_bytes = by_bytes.min(room.held_bytes);
        room.held_bytes -= by_bytes;
        self.held_bytes -= by_bytes;
        if room.rank == RoomRank::Answer {
            self.answer_bytes -= by_bytes;
        }
    }

    /// Withdraws the promise of room for the bytes that have yet to arrive.
    pub fn withdraw_promise(&mut self, room: &mut Room) {
        self.promised_bytes -= std::mem::take(&mut room.promised_bytes);
    }

    /// Returns the retry delay, in milliseconds, for the caller of a body that cannot grow.
    #[must_use]
    pub fn retry_after_ms(&self, now: MonoMs, room: &Room) -> u64 {
        retry_after_ms(self.expected_wait_ms(now, room.held_bytes))
    }

    /// Returns room to the budget.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "the room must not be used again"
    )]
    pub fn free(&mut self, now: MonoMs, room: Room) {
        self.promised_bytes -= room.promised_bytes;
        self.held_bytes -= room.held_bytes;
        if room.rank == RoomRank::Answer {
            self.answer_bytes -= room.held_bytes;
        }
        let per_s = room.held_bytes as f64 * 1_000.0 / FREED_DECAY_MS;
        self.freed_bytes_per_s = self.freed_per_s(now) + per_s;
        self.freed_at = now;
    }

    fn grant(&mut self, rank: RoomRank, declared_bytes: usize) -> Room {
        self.held_bytes += REQUEST_BYTES;
        self.promised_bytes += declared_bytes;
        Room {
            rank,
            declared_bytes,
            held_bytes: REQUEST_BYTES,
            promised_bytes: declared_bytes,
        }
    }

    /// Returns whether a body or answer of `total_bytes` may get `more_bytes`.
    fn fits(&self, rank: RoomRank, total_bytes: usize, more_bytes: usize) -> bool {
        let is_small = total_bytes <= SMALL_BYTES + REQUEST_BYTES;
        let answer_bytes = self.answer_bytes.saturating_add(more_bytes);
        let answer_limit_bytes = self.limit_bytes / ANSWER_FRACTION;
        if rank == RoomRank::Answer && !is_small && answer_bytes > answer_limit_bytes {
            return false;
        }
        let used_bytes = self.held_bytes + self.promised_bytes;
        used_bytes.saturating_add(more_bytes) <= self.limit_for(rank, total_bytes)
    }

    fn limit_for(&self, rank: RoomRank, total_bytes: usize) -> usize {
        if total_bytes <= SMALL_BYTES + REQUEST_BYTES {
            return self.limit_bytes;
        }
        match rank {
            RoomRank::State => self.limit_bytes,
            RoomRank::Answer | RoomRank::Body { urgency: 0 } => {
                self.limit_bytes - self.limit_bytes / SMALL_FRACTION
            }
            RoomRank::Body { .. } => self.limit_bytes - self.limit_bytes / URGENT_FRACTION,
        }
    }

    fn freed_per_s(&self, now: MonoMs) -> f64 {
        let age_ms = now.since_ms(self.freed_at) as f64;
        self.freed_bytes_per_s * (-age_ms / FREED_DECAY_MS).exp()
    }

    /// Returns the time until `missing_bytes` are freed, in milliseconds; `None` if nothing was freed yet.
    fn expected_wait_ms(&self, now: MonoMs, missing_bytes: usize) -> Option<u64> {
        if self.freed_bytes_per_s == 0.0 {
            return None;
        }
        // The conversion saturates, so a rate near zero gives a long time.
        Some((missing_bytes as f64 * 1_000.0 / self.freed_per_s(now)) as u64)
    }
}

/// Returns the last possible ticket of a rank.
fn last_ticket(rank: RoomRank) -> RoomTicket {
    RoomTicket {
        rank,
        number: u64::MAX,
    }
}

fn retry_after_ms(wait_ms: Option<u64>) -> u64 {
    let wait_ms = wait_ms.unwrap_or(DEFAULT_RETRY_MS);
    wait_ms.clamp(*RETRY_MS.start(), *RETRY_MS.end())
}
