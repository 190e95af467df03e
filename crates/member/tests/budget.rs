//! Bytes that a host sends and receives, and the age of region summaries.

mod harness;

use harness::{Simulation, WALL_START};
use lw_member::{RegionLoad, ServiceUse};
use test_case::test_case;

/// The budget of a host for all control traffic, of which membership must leave a part to other messages.
const BUDGET_BYTES_PER_S: u64 = 12_000;

fn busiest_bytes_per_s(sim: &mut Simulation, seconds: u64) -> u64 {
    for node in &mut sim.nodes {
        (node.sent_bytes, node.received_bytes) = (0, 0);
    }
    sim.run_for(seconds * 1_000);
    let total = |node: &harness::Node| (node.sent_bytes + node.received_bytes) / seconds;
    sim.nodes.iter().map(total).max().unwrap()
}

/// Guards against traffic that exceeds the budget of a host in a large region.
#[test_case(8)]
#[test_case(40)]
#[test_case(100)]
fn membership_of_one_region_fits_the_budget(hosts: usize) {
    let mut sim = Simulation::new(1, hosts, 11);
    sim.run_for(40_000);
    assert!(sim.all_alive());
    let without_failure = busiest_bytes_per_s(&mut sim, 30);
    sim.nodes[hosts / 2].running = false;
    let with_failure = busiest_bytes_per_s(&mut sim, 30);
    println!(
        "{hosts} hosts: busiest host {without_failure} B/s, with a lost host {with_failure} B/s"
    );
    assert!(without_failure.max(with_failure) < BUDGET_BYTES_PER_S);
}

/// Returns the load of five services, three with models and two without, as at the target size.
fn five_services() -> RegionLoad {
    let service = |number: u8| ServiceUse {
        service: [number.wrapping_mul(47); 8],
        slots: 700 + u32::from(number),
        load_permille: 850 + u16::from(number),
    };
    RegionLoad {
        capacity_slots: 3_600,
        load_permille: 850,
        services: (1..=5).map(service).collect(),
    }
}

/// Guards against region summaries that become too old or exceed the budget of a relay, with 45 regions and in large
/// regions.
#[test_case(45, 4)]
#[test_case(45, 8)]
#[test_case(12, 30)]
fn summaries_of_many_regions_are_recent_and_fit_the_budget(regions: usize, hosts: usize) {
    let mut sim = Simulation::new(regions, hosts, 12);
    for node in &mut sim.nodes {
        node.membership.set_load(five_services());
    }
    sim.run_for(60_000);
    let mut oldest = 0;
    let mut busiest = 0;
    for _ in 0..10 {
        busiest = busiest.max(busiest_bytes_per_s(&mut sim, 3));
        let wall = WALL_START + sim.now;
        for node in &sim.nodes {
            let mut known = 0;
            for summary in node.membership.region_summaries() {
                known += 1;
                oldest = oldest.max(wall - summary.version);
            }
            assert_eq!(known, regions);
        }
    }
    println!(
        "{regions} regions of {hosts}: busiest host {busiest} B/s, oldest summary {oldest} ms"
    );
    assert!(busiest < BUDGET_BYTES_PER_S);
    assert!(oldest < 15_000);
}
