//! The estimated load on the key-value service and control traffic and memory of a node at the target size.

use serde::Serialize;

use crate::slopes::kv_service::KvCalls;

/// The calls of one kind of caller on the key-value service, per second.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KvCallerLoad {
    /// The kind of caller.
    pub name: &'static str,
    /// Calls at steady state, with 36,000 changes and 950 host events a day.
    pub steady: KvCalls,
    /// Calls with ten times that rate of changes.
    pub peak: KvCalls,
    /// Calls in the worst second of a restart of the whole fleet, without a rate limit.
    pub restart: KvCalls,
    /// Calls in the worst second after an outage of the service.
    pub after_outage: KvCalls,
}

/// Control traffic of one kind, in bytes per second that a node sends and receives.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ControlTraffic {
    /// The kind of control traffic.
    pub name: &'static str,
    /// Bytes per second of a member of the largest region.
    pub member: f64,
    /// Bytes per second of a relay of the largest region.
    pub relay: f64,
}

/// One kind of control data in the memory of a node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemoryItem {
    /// The kind of data.
    pub name: &'static str,
    /// Bytes at the target size.
    pub bytes: f64,
}

/// The estimate of resource use at the target size.
#[derive(Clone, Debug, Serialize)]
pub struct ResourceEstimate {
    /// Calls on the key-value service by kind of caller.
    pub callers: Vec<KvCallerLoad>,
    /// Control traffic of a node by kind.
    pub shares: Vec<ControlTraffic>,
    /// Control memory of a node by kind of data.
    pub memory: Vec<MemoryItem>,
    /// Longest time until a change is in force, in milliseconds: at the mean rate and at ten times the mean.
    pub in_force_ms: [f64; 2],
    /// Seconds until every host is ready after a restart of the whole fleet, without a rate limit of the service.
    pub fleet_ready_s: f64,
    /// The same with the rate limits of the service; infinite if a host was not ready after a minute.
    pub limited_fleet_ready_s: f64,
    /// Frame bytes per second that a node sends and receives for non-idempotent requests, with stored answers of 512 B.
    pub request_bytes_per_s: f64,
    /// Configuration reads of a restart of the whole fleet.
    pub fleet_start_reads: f64,
}

impl ResourceEstimate {
    /// Returns the sum over all callers of the calls that `column` selects.
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
