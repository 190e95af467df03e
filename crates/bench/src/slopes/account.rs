//! The whole account of the key-value service and of a node's control bytes at the target size.

use serde::Serialize;

use crate::slopes::service::KvCalls;

/// The calls of one caller.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KvCallerLoad {
    /// The caller.
    pub name: &'static str,
    /// Calls per second at steady state, with 36,000 changes and 950 host events a day.
    pub steady: KvCalls,
    /// The same with ten times the rate of changes.
    pub peak: KvCalls,
    /// Calls in the worst second of a restart of the whole fleet, without a rate limit.
    pub restart: KvCalls,
    /// Calls in the worst second after an outage of the service.
    pub after_outage: KvCalls,
}

/// Control bytes of a node per second, sent and received.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ControlTraffic {
    /// What the bytes carry.
    pub name: &'static str,
    /// Bytes of a member of the largest region.
    pub member: f64,
    /// Bytes of a relay of the largest region.
    pub relay: f64,
}

/// What a node keeps in memory.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemoryItem {
    /// What is kept.
    pub name: &'static str,
    /// Its bytes at the target size.
    pub bytes: f64,
}

/// The account.
#[derive(Clone, Debug, Serialize)]
pub struct ResourceEstimate {
    /// Calls on the key-value service by caller.
    pub callers: Vec<KvCallerLoad>,
    /// Control bytes of a node.
    pub shares: Vec<ControlTraffic>,
    /// Control memory of a node.
    pub memory: Vec<MemoryItem>,
    /// Longest time until a change is in force, in milliseconds: at the mean rate and at ten times the mean.
    pub in_force_ms: [f64; 2],
    /// Seconds until every host is ready after a restart of the whole fleet, without a rate limit of the service.
    pub fleet_ready_s: f64,
    /// The same with the rate limits of the service; infinite when a host was not ready after a minute.
    pub limited_fleet_ready_s: f64,
    /// Frame bytes per second that a node sends and receives for non-idempotent requests, with kept answers of 512 B.
    pub request_bytes_per_s: f64,
    /// All configuration reads of that restart.
    pub fleet_start_reads: f64,
}

impl ResourceEstimate {
    /// Returns the sum over all callers of the calls that `column` picks.
    #[must_use]
    pub fn total(&self, column: impl Fn(&KvCallerLoad) -> KvCalls) -> KvCalls {
        let mut total = KvCalls::default();
        for caller in &self.callers {
            let calls = column(caller);
            total.reads += calls.reads;
            total.watches += calls.watches;
            total.writes += calls.writes;
        }
        total
    }

    /// Returns the control bytes per second of a member and of a relay of the largest region.
    #[must_use]
    pub fn control_bytes_per_s(&self) -> (f64, f64) {
        let member = self.shares.iter().map(|share| share.member).sum();
        let relay = self.shares.iter().map(|share| share.relay).sum();
        (member, relay)
    }

    /// Returns the control memory of a node in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> f64 {
        self.memory.iter().map(|memory| memory.bytes).sum()
    }
}
