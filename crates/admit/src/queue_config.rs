//! Bounds of a queue.

use lw_base::prelude::*;
use lw_doc::Service;

/// The share of the slots and queue entries that only lookups may use.
const LOOKUP_RESERVE: f64 = 0.2;
/// The share of the queue entries that each class below the first class of the service leaves free.
const ENTRIES_LEFT_PER_CLASS: f64 = 0.2;
/// No request waits longer, whatever its deadline; above the default batch deadline of 10 min.
const LONGEST_WAIT_MS: u64 = 660_000;

/// The bounds of the queue of one service on one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueConfig {
    /// The class of the service; requests may only lower it.
    pub highest_class: PriorityClass,
    /// How many requests this host runs at once.
    pub concurrency: u32,
    /// How many requests may wait.
    pub queue_entries: u32,
    /// How many bytes may wait.
    pub queue_bytes: u64,
    /// How long a request may wait, in milliseconds.
    pub max_wait_ms: u64,
}

impl QueueConfig {
    /// Returns the bounds that the document sets, with the given concurrency of this host.
    #[must_use]
    pub fn of_service(service: &Service, concurrency: u32) -> Self {
        Self {
            highest_class: service.priority,
            concurrency,
            queue_entries: service.queue_entries,
            queue_bytes: service.queue_bytes,
            max_wait_ms: LONGEST_WAIT_MS,
        }
    }

    /// Returns the slots that only lookups may use.
    ///
    /// Requests may only lower the class of their service, so a service of a lower class never sees a lookup and
    /// keeps nothing back. A host with a single slot keeps nothing back either, or other classes would never start.
    #[must_use]
    pub fn reserved_slots(&self) -> u32 {
        if self.highest_class != PriorityClass::Lookup || self.concurrency < 2 {
            return 0;
        }
        ((f64::from(self.concurrency) * LOOKUP_RESERVE).ceil() as u32).max(1)
    }

    /// Returns how many requests may wait in total for a request of `class` to be queued.
    #[must_use]
    pub(crate) fn entries_for(&self, class: PriorityClass) -> u32 {
        let below = class.index().saturating_sub(self.highest_class.index()) as f64;
        let share = 1.0 - ENTRIES_LEFT_PER_CLASS * below;
        (f64::from(self.queue_entries) * share) as u32
    }
}
