//! Events of a run in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// The recorded request with this index arrives.
    Arrive(u32),
    /// A forwarded request reaches its region.
    Forwarded(u32),
    /// A region's rejection reaches the sender.
    Rejected(u32),
    /// A connection to a target failed.
    ConnectFailed(u32),
    /// A target completed a request in the given epoch.
    Done {
        target: u32,
        epoch: u32,
        request: u32,
    },
    /// The hedge of a request is due, if it still waits in the attempt of this number.
    Hedge { request: u32, attempts: u32 },
    /// Load reports are read.
    ReadReports,
    /// Load reports that were read reach the hosts.
    DeliverReports,
    /// Summaries are read; those read before reach the other regions.
    ExchangeSummaries,
    /// Hosts adjust their concurrency and expire waiting requests.
    Tick,
    /// The fault with this index of the scenario occurs.
    Fault(u32),
}

/// A queue of events; events of the same time occur in the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    added: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at_us: u64, event: Event) {
        self.added += 1;
        self.heap.push(Reverse((at_us, self.added, event)));
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap
            .pop()
            .map(|Reverse((at_us, _, event))| (at_us, event))
    }
}
