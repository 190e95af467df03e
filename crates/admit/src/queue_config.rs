//! Limits of an admission queue.

use lw_base::prelude::*;
use lw_doc::Service;

/// The fraction of the slots that only lookups may use.
const LOOKUP_RESERVE: f64 = 0.2;
/// The fraction of the queue entries that stay free for higher classes, for each level by which a request is below the
/// highest class of the service.
const ENTRIES_RESERVED_PER_CLASS: f64 = 0.2;
/// The maximum time in the queue, whatever the deadline. It exceeds the default batch deadline of 10 min.
const MAX_WAIT_MS: u64 = 660_000;

/// The limits of the queue of one service on one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueConfig {
    /// The priority class of the service; a request may lower its class but not raise it.
    pub highest_class: PriorityClass,
    /// The maximum number of concurrent requests on this host.
    pub concurrency: u32,
    /// The maximum number of waiting requests.
    pub queue_entries: u32,
    /// The maximum size of all waiting requests, in bytes.
    pub queue_bytes: u64,
    /// The maximum time that a request waits, in milliseconds.
    pub max_wait_ms: u64,
}

impl QueueConfig {
    /// Returns the limits that the configuration document sets for a service, with the given concurrency.
    #[must_use]
    pub fn of_service(service: &Service, concurrency: u32) -> Self {
        Self {
            highest_class: service.priority,
            concurrency,
            queue_entries: service.queue_entries,
            queue_bytes: service.queue_bytes,
            max_wait_ms: MAX_WAIT_MS,
        }
    }

    /// Returns the number of slots that only lookups may use.
    ///
    /// A request cannot raise the class of its service, so a service of a lower class receives no lookups and reserves
    /// nothing. A host with a single slot reserves nothing either, because other classes would never start.
    #[must_use]
    pub fn reserved_slots(&self) -> u32 {
        if self.highest_class != PriorityClass::Lookup || self.concurrency < 2 {
            return 0;
        }
        ((f64::from(self.concurrency) * LOOKUP_RESERVE).ceil() as u32).max(1)
    }

    /// Returns the number of waiting requests, over all classes, at which further requests of `class` are rejected.
    #[must_use]
    pub(crate) fn max_waiting_for(&self, class: PriorityClass) -> u32 {
        let levels_below = class.index().saturating_sub(self.highest_class.index()) as f64;
        let share = 1.0 - ENTRIES_RESERVED_PER_CLASS * levels_below;
        (f64::from(self.queue_entries) * share) as u32
    }
}
