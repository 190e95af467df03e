//! Measures the bytes of membership by region size, and of region summaries by number of regions.

use crate::slopes::member_fleet::MemberFleet;
use crate::slopes::slope::Slope;
use crate::slopes::target::{NODES, REGIONS, largest_region, region_sizes};

const REGION_SIZES: [usize; 4] = [2, 8, 22, 40];
const REGION_COUNTS: [usize; 4] = [5, 15, 30, REGIONS];
/// Time until every node knows every member and every region.
const WARM_UP_MS: u64 = 60_000;
const SPAN_MS: u64 = 30_000;
const AGE_STEP_MS: u64 = 500;

struct Summaries {
    busiest_bytes_per_s: f64,
    member_bytes_per_s: f64,
    oldest_ms: f64,
}

pub(crate) fn measure(seed: u64) -> Vec<Slope> {
    let per_s = 1_000.0 / SPAN_MS as f64;
    let quiet = REGION_SIZES.map(|size| {
        let mut fleet = MemberFleet::new(&[size], seed);
        fleet.run_for(WARM_UP_MS);
        fleet.reset_byte_counts();
        fleet.run_for(SPAN_MS);
        (size as f64, fleet.busiest_bytes().0 as f64 * per_s)
    });
    let start = REGION_SIZES.map(|size| {
        let mut fleet = MemberFleet::new(&[size], seed);
        fleet.run_for(SPAN_MS);
        (size as f64, fleet.busiest_bytes().0 as f64 * per_s)
    });
    let largest = largest_region() as f64;
    let probes = |id, what, points: [(f64, f64); 4]| {
        Slope::new(id, what, "bytes/s", "nodes of the region", points, largest)
    };
    let rows = REGION_COUNTS.map(|regions| (regions as f64, summaries(regions, seed)));
    let summary = |id, what, unit, value: &dyn Fn(&Summaries) -> f64| {
        let points = rows.iter().map(|(regions, row)| (*regions, value(row)));
        Slope::new(id, what, unit, "regions", points, REGIONS as f64)
    };
    vec![
        probes(
            "member.quiet_bytes_per_s",
            "probes and acknowledgements that the busiest node sends and receives",
            quiet,
        ),
        probes(
            "member.start_bytes_per_s",
            "the same in the first 30 s after all nodes started",
            start,
        ),
        summary(
            "summaries.relay_bytes_per_s",
            "digests and entries that the busiest relay sends and receives",
            "bytes/s",
            &|row| row.busiest_bytes_per_s,
        ),
        summary(
            "summaries.member_bytes_per_s",
            "entries that the busiest node sends and receives that is no relay",
            "bytes/s",
            &|row| row.member_bytes_per_s,
        ),
        summary(
            "summaries.oldest_ms",
            "age of the oldest summary at any node",
            "ms",
            &|row| row.oldest_ms,
        ),
    ]
}

/// Simulates the `regions` largest regions of the target size.
fn summaries(regions: usize, seed: u64) -> Summaries {
    let sizes = region_sizes(NODES, REGIONS);
    let mut fleet = MemberFleet::new(&sizes[REGIONS - regions..], seed);
    fleet.run_for(WARM_UP_MS);
    fleet.reset_byte_counts();
    let mut oldest_ms = 0;
    for _ in 0..SPAN_MS / AGE_STEP_MS {
        fleet.run_for(AGE_STEP_MS);
        let oldest = fleet.oldest_summary_ms(regions);
        oldest_ms = oldest_ms.max(oldest.expect("every node knows every region"));
    }
    let per_s = 1_000.0 / SPAN_MS as f64;
    Summaries {
        busiest_bytes_per_s: fleet.busiest_bytes().1 as f64 * per_s,
        member_bytes_per_s: fleet.busiest_member_bytes() as f64 * per_s,
        oldest_ms: oldest_ms as f64,
    }
}
