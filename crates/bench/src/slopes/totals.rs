//! Combines the slopes into the resource estimate at the target size.

use lw_admit::MAX_TRACKED_CUSTOMERS;

use crate::slopes::distribution::Distribution;
use crate::slopes::kv_service::KvCalls;
use crate::slopes::resource_estimate::{
    ControlTraffic, KvCallerLoad, MemoryItem, ResourceEstimate,
};
use crate::slopes::shards::{per_second, record_bytes, records_per_host};
use crate::slopes::slope::Slope;
use crate::slopes::start_up::StartUp;
use crate::slopes::target::{
    CHANGES_PER_DAY, HOST_EVENTS_PER_DAY, NODES, NON_IDEMPOTENT_SHARE, REGIONS, REQUESTS_PER_S,
    region_sizes,
};

/// Peak rate of changes relative to the daily mean.
const PEAK_FACTOR: f64 = 10.0;
/// Number of snapshots per revision.
const SNAPSHOT_SHARE: f64 = 1.0 / lw_conf::REVISIONS_PER_SNAPSHOT as f64;
/// Maximum size of the encoded entries that a host keeps.
const HISTORY_BYTES: f64 = 4.0 * 1024.0 * 1024.0;
/// Default queue limit of the document for 3 models, in requests.
const QUEUED_REQUESTS: f64 = 3.0 * 1_024.0;
/// Default queue limit of the document for 3 models, in bytes.
const QUEUED_BODY_BYTES: f64 = 3.0 * 16.0 * 1024.0 * 1024.0;
/// A host reads the shard map every 3 s.
const MAP_READS_PER_S: f64 = 1.0 / 3.0;

/// Builds the resource estimate from the measurements.
pub(crate) fn estimate(
    slopes: &[Slope],
    distribution: &Distribution,
    start: &StartUp,
) -> ResourceEstimate {
    let builder = EstimateBuilder { slopes };
    ResourceEstimate {
        callers: vec![
            builder.relays(distribution, start),
            builder.publishing(distribution),
            builder.shard_maps(),
            builder.leases(),
        ],
        shares: builder.shares(),
        memory: builder.memory(),
        in_force_ms: [
            builder.at_target("distribution.in_force_ms"),
            builder.at_target("distribution.in_force_ms_by_rate"),
        ],
        fleet_ready_s: start.fleet.ready_s,
        limited_fleet_ready_s: start.limited.ready_s,
        request_bytes_per_s: builder.request_bytes_per_s(),
        fleet_start_reads: builder.fleet_start_reads(start),
    }
}

struct EstimateBuilder<'a> {
    slopes: &'a [Slope],
}

impl EstimateBuilder<'_> {
    fn slope(&self, id: &str) -> &Slope {
        let found = self.slopes.iter().find(|slope| slope.id == id);
        found.unwrap_or_else(|| panic!("there is no slope {id}"))
    }

    fn at_target(&self, id: &str) -> f64 {
        self.slope(id).at_target
    }

    /// Returns the sum of the fitted values of all regions, by their sizes.
    fn sum_over_regions(&self, id: &str) -> f64 {
        let fit = self.slope(id).fit;
        let sizes = region_sizes(NODES, REGIONS).into_iter();
        sizes.map(|size| fit.value_at(size as f64).max(0.0)).sum()
    }

    fn relays(&self, distribution: &Distribution, start: &StartUp) -> KvCallerLoad {
        let reads = |reads| KvCalls {
            reads,
            ..KvCalls::default()
        };
        KvCallerLoad {
            name: "configuration relays and starting hosts",
            steady: distribution.relays_per_s,
            peak: distribution.relays_peak_per_s,
            restart: reads(self.at_target("kv.start_peak_reads_per_s")),
            after_outage: reads(start.after_outage.peak_reads_per_s),
        }
    }

    /// Returns the reads of a fleet start with all snapshot parts of the target document instead of one part.
    fn fleet_start_reads(&self, start: &StartUp) -> f64 {
        let loads = start.fleet.reads / (start.entries_read + 1.0);
        start.fleet.reads + loads * (self.at_target("conf.snapshot_parts") - 1.0)
    }

    fn publishing(&self, distribution: &Distribution) -> KvCallerLoad {
        let mut per_change = distribution.publishing_per_change;
        per_change.writes += self.at_target("conf.snapshot_parts") * SNAPSHOT_SHARE;
        let mean = per_second(CHANGES_PER_DAY);
        KvCallerLoad {
            name: "publishing with audit entries and snapshots",
            steady: per_change.scaled(mean),
            peak: per_change.scaled(mean * PEAK_FACTOR),
            // Assumes that operators publish at the peak rate during a restart and after an outage.
            restart: per_change.scaled(mean * PEAK_FACTOR),
            after_outage: per_change.scaled(mean * PEAK_FACTOR),
        }
    }

    fn shard_maps(&self) -> KvCallerLoad {
        let reads = self.sum_over_regions("kv.map_reads_per_s");
        let per_event = self
            .at_target("kv.map_writes_per_loss")
            .max(self.at_target("kv.map_writes_per_return"));
        // Each host event is a loss and a return.
        let writes = 2.0 * per_event * per_second(HOST_EVENTS_PER_DAY);
        let steady = KvCalls {
            reads,
            watches: 0.0,
            writes,
        };
        KvCallerLoad {
            name: "shard maps",
            steady,
            peak: steady,
            restart: KvCalls {
                reads: self.sum_over_regions("kv.map_start_peak_reads_per_s"),
                watches: 0.0,
                writes: self.sum_over_regions("kv.map_start_peak_writes_per_s"),
            },
            // Reads resume at their steady rate, but may all fall into one second after the service was slow.
            after_outage: KvCalls {
                reads: NODES as f64,
                ..steady
            },
        }
    }

    fn leases(&self) -> KvCallerLoad {
        let steady = KvCalls {
            reads: self.sum_over_regions("kv.lease_reads_per_s"),
            watches: 0.0,
            writes: self.sum_over_regions("kv.lease_writes_per_s"),
        };
        let peak_calls = |reads, writes| KvCalls {
            reads: self.sum_over_regions(reads),
            watches: 0.0,
            writes: self.sum_over_regions(writes),
        };
        KvCallerLoad {
            name: "leases, with every host of a region as a contender",
            steady,
            peak: steady,
            restart: peak_calls(
                "kv.lease_start_peak_reads_per_s",
                "kv.lease_start_peak_writes_per_s",
            ),
            after_outage: peak_calls(
                "kv.lease_outage_peak_reads_per_s",
                "kv.lease_outage_peak_writes_per_s",
            ),
        }
    }

    fn shares(&self) -> Vec<ControlTraffic> {
        let without_customers = self.at_target("load.board_bytes_per_s");
        let same_for_both = |name, bytes| ControlTraffic {
            name,
            member: bytes,
            relay: bytes,
        };
        vec![
            same_for_both(
                "probes and acknowledgements",
                self.at_target("member.quiet_bytes_per_s"),
            ),
            ControlTraffic {
                name: "region summaries",
                member: self.at_target("summaries.member_bytes_per_s"),
                relay: self.at_target("summaries.relay_bytes_per_s"),
            },
            same_for_both("load messages, without active customers", without_customers),
            same_for_both(
                "9 active customers in each load message",
                self.at_target("load.full_bytes_per_s") - without_customers,
            ),
            same_for_both(
                "configuration changes, busiest node",
                self.at_target("distribution.busiest_bytes_per_s"),
            ),
            same_for_both(
                "reads of the shard map",
                self.at_target("idem.map_bytes") * MAP_READS_PER_S,
            ),
        ]
    }

    /// Returns the frame bytes per second of a node; each frame counts at its sender and its receiver.
    fn request_bytes_per_s(&self) -> f64 {
        let per_request = self.slope("request.key_bytes").fit.value_at(512.0);
        2.0 * per_request * REQUESTS_PER_S * NON_IDEMPOTENT_SHARE / NODES as f64
    }

    fn memory(&self) -> Vec<MemoryItem> {
        let memory = |name, bytes| MemoryItem { name, bytes };
        vec![
            memory(
                "two revisions of the document, compiled",
                2.0 * self.at_target("conf.memory_bytes"),
            ),
            memory("entries for repairs", HISTORY_BYTES),
            memory(
                "canonical bytes while a peer fetches them or a publisher checks them",
                self.at_target("conf.document_bytes"),
            ),
            memory(
                "idempotency records with 4 KiB answers, after the loss of one of two hosts",
                2.0 * records_per_host() * record_bytes(10_000, 4_096),
            ),
            memory(
                "customer buckets",
                MAX_TRACKED_CUSTOMERS as f64 * self.at_target("admit.bucket_bytes"),
            ),
            memory(
                "queued requests of 3 models, without bodies",
                QUEUED_REQUESTS * self.at_target("admit.queued_bytes"),
            ),
            memory("bodies of queued requests of 3 models", QUEUED_BODY_BYTES),
        ]
    }
}
