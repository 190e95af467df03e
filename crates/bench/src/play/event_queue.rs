//! The event queue of a simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event of a simulation; requests are identified by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A request arrives.
    Arrive(u32),
    /// A forwarded request reaches the other region.
    Forwarded(u32),
    /// The rejection of a forwarded request reaches the forwarding host.
    Rejected(u32),
    /// A connection to a target failed.
    ConnectFailed(u32),
    /// A target completes a request that started in the given epoch.
    Done {
        target: u32,
        epoch: u32,
        request: u32,
    },
    /// A hedge is due if the request is still in its attempt number `attempts`.
    Hedge { request: u32, attempts: u32 },
    /// Load reports are collected from the targets.
    ReadReports,
    /// Collected load reports reach the hosts.
    DeliverReports,
    /// Region summaries of the previous exchange reach the hosts, and new ones are collected.
    ExchangeSummaries,
    /// Hosts adjust their concurrency limits and expire queued requests.
    Tick,
    /// The fault with this index of the scenario occurs.
    Fault(u32),
}

/// Orders events by time, and events of the same time by insertion.
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
