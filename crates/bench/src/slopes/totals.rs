//! Adds the slopes up to the account of the target size.

use lw_admit::MAX_TRACKED_CUSTOMERS;

use crate::slopes::account::{ControlTraffic, KvCallerLoad, MemoryItem, ResourceEstimate};
use crate::slopes::distribution::Distribution;
use crate::slopes::service::KvCalls;
use crate::slopes::shards::{per_second, record_bytes, records_per_host};
use crate::slopes::slope::Slope;
use crate::slopes::start_up::StartUp;
use crate::slopes::target::{
    CHANGES_PER_DAY, HOST_EVENTS_PER_DAY, NODES, NON_IDEMPOTENT_SHARE, REGIONS, REQUESTS_PER_S,
    region_sizes,
};

/// A change that is ten times as frequent as on average over the day.
const PEAK: f64 = 10.0;
/// Snapshots per revision.
const SNAPSHOT_SHARE: f64 = 1.0 / lw_conf::SNAPSHOT_INTERVAL as f64;
/// The most bytes of encoded entries that a host keeps.
const HISTORY_BYTES: f64 = 4.0 * 1024.0 * 1024.0;
/// The document allows this many waiting requests per model by default.
const QUEUED: f64 = 3.0 * 1_024.0;
/// The document allows this many bytes of waiting requests per model by default.
const QUEUED_BODY_BYTES: f64 = 3.0 * 16.0 * 1024.0 * 1024.0;
/// A host reads the map every 3 s.
const MAP_READS_PER_S: f64 = 1.0 / 3.0;

/// Adds everything up.
pub(crate) fn account(
    slopes: &[Slope],
    distribution: &Distribution,
    start: &StartUp,
) -> ResourceEstimate {
    let book = Book { slopes };
    ResourceEstimate {
        callers: vec![
            book.relays(distribution, start),
            book.publishing(distribution),
            book.shard_maps(),
            book.leases(),
        ],
        shares: book.shares(),
        memory: book.memory(),
        in_force_ms: [
            book.at("distribution.in_force_ms"),
            book.at("distribution.in_force_ms_by_rate"),
        ],
        fleet_ready_s: start.fleet.ready_s,
        limited_fleet_ready_s: start.limited.ready_s,
        request_bytes_per_s: book.request_bytes_per_s(),
        fleet_start_reads: book.fleet_start_reads(start),
    }
}

struct Book<'a> {
    slopes: &'a [Slope],
}

impl Book<'_> {
    fn slope(&self, id: &str) -> &Slope {
        let found = self.slopes.iter().find(|slope| slope.id == id);
        found.unwrap_or_else(|| panic!("there is no slope {id}"))
    }

    fn at(&self, id: &str) -> f64 {
        self.slope(id).at_target
    }

    /// Returns the sum of the fitted value over all regions.
    fn over_regions(&self, id: &str) -> f64 {
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
            restart: reads(self.at("kv.start_peak_reads_per_s")),
            after_outage: reads(start.after_outage.peak_reads_per_s),
        }
    }

    /// The reads of a start with the snapshot parts of the target document instead of one part.
    fn fleet_start_reads(&self, start: &StartUp) -> f64 {
        let loads = start.fleet.reads / (start.entries_read + 1.0);
        start.fleet.reads + loads * (self.at("conf.snapshot_parts") - 1.0)
    }

    fn publishing(&self, distribution: &Distribution) -> KvCallerLoad {
        let mut per_change = distribution.publishing_per_change;
        per_change.writes += self.at("conf.snapshot_parts") * SNAPSHOT_SHARE;
        let mean = per_second(CHANGES_PER_DAY);
        KvCallerLoad {
            name: "publishing with audit entries and snapshots",
            steady: per_change.times(mean),
            peak: per_change.times(mean * PEAK),
            // Operators publish at the peak rate during a restart, and all waiting ones after an outage.
            restart: per_change.times(mean * PEAK),
            after_outage: per_change.times(mean * PEAK),
        }
    }

    fn shard_maps(&self) -> KvCallerLoad {
        let reads = self.over_regions("kv.map_reads_per_s");
        let per_event = self
            .at("kv.map_writes_per_loss")
            .max(self.at("kv.map_writes_per_return"));
        // Each event is a loss and a return.
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
                reads: self.over_regions("kv.map_start_peak_reads_per_s"),
                watches: 0.0,
                writes: self.over_regions("kv.map_start_peak_writes_per_s"),
            },
            // Reads come back at their steady rate, but within one second when the service was slow.
            after_outage: KvCalls {
                reads: NODES as f64,
                ..steady
            },
        }
    }

    fn leases(&self) -> KvCallerLoad {
        let steady = KvCalls {
            reads: self.over_regions("kv.lease_reads_per_s"),
            watches: 0.0,
            writes: self.over_regions("kv.lease_writes_per_s"),
        };
        let worst = |reads, writes| KvCalls {
            reads: self.over_regions(reads),
            watches: 0.0,
            writes: self.over_regions(writes),
        };
        KvCallerLoad {
            name: "leases, with every host of a region as a contender",
            steady,
            peak: steady,
            restart: worst(
                "kv.lease_start_peak_reads_per_s",
                "kv.lease_start_peak_writes_per_s",
            ),
            after_outage: worst(
                "kv.lease_outage_peak_reads_per_s",
                "kv.lease_outage_peak_writes_per_s",
            ),
        }
    }

    fn shares(&self) -> Vec<ControlTraffic> {
        let board = self.at("load.board_bytes_per_s");
        let both = |name, bytes| ControlTraffic {
            name,
            member: bytes,
            relay: bytes,
        };
        vec![
            both(
                "probes and acknowledgements",
                self.at("member.quiet_bytes_per_s"),
            ),
            ControlTraffic {
                name: "region summaries",
                member: self.at("summaries.member_bytes_per_s"),
                relay: self.at("summaries.relay_bytes_per_s"),
            },
            both("load messages, without active customers", board),
            both(
                "9 active customers in each load message",
                self.at("load.full_bytes_per_s") - board,
            ),
            both(
                "configuration changes, busiest node",
                self.at("distribution.busiest_bytes_per_s"),
            ),
            both(
                "reads of the shard map",
                self.at("idem.map_bytes") * MAP_READS_PER_S,
            ),
        ]
    }

    /// Each frame is sent by one node and received by another.
    fn request_bytes_per_s(&self) -> f64 {
        let per_request = self.slope("request.key_bytes").fit.value_at(512.0);
        2.0 * per_request * REQUESTS_PER_S * NON_IDEMPOTENT_SHARE / NODES as f64
    }

    fn memory(&self) -> Vec<MemoryItem> {
        let memory = |name, bytes| MemoryItem { name, bytes };
        vec![
            memory(
                "two revisions of the document, compiled",
                2.0 * self.at("conf.memory_bytes"),
            ),
            memory("entries for repairs", HISTORY_BYTES),
            memory(
                "canonical bytes while a peer fetches them or a publisher checks them",
                self.at("conf.document_bytes"),
            ),
            memory(
                "idempotency records with 4 KiB answers, after the loss of one of two hosts",
                2.0 * records_per_host() * record_bytes(10_000, 4_096),
            ),
            memory(
                "customer buckets",
                MAX_TRACKED_CUSTOMERS as f64 * self.at("admit.bucket_bytes"),
            ),
            memory(
                "queued requests of 3 models, without bodies",
                QUEUED * self.at("admit.queued_bytes"),
            ),
            memory("bodies of queued requests of 3 models", QUEUED_BODY_BYTES),
        ]
    }
}
