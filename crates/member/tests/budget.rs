//! Bytes per node, and the age of region summaries.

mod harness;

use harness::{WALL_START, World};
use lw_member::{RegionLoad, ServiceUse};
use test_case::test_case;

/// The budget of all control traffic; membership has to leave room for the other messages.
const BUDGET_BYTES_PER_S: u64 = 12_000;

fn busiest_bytes_per_s(world: &mut World, seconds: u64) -> u64 {
    for node in &mut world.nodes {
        (node.sent_bytes, node.received_bytes) = (0, 0);
    }
    world.run_for(seconds * 1_000);
    let total = |node: &harness::Node| (node.sent_bytes + node.received_bytes) / seconds;
    world.nodes.iter().map(total).max().unwrap()
}

/// Guards against traffic that grows with the region beyond the budget of a node.
#[test_case(8)]
#[test_case(40)]
#[test_case(100)]
fn one_region(hosts: usize) {
    let mut world = World::new(1, hosts, 11);
    world.run_for(40_000);
    assert!(world.all_alive());
    let calm = busiest_bytes_per_s(&mut world, 30);
    world.nodes[hosts / 2].running = false;
    let failing = busiest_bytes_per_s(&mut world, 30);
    println!("{hosts} hosts: busiest node {calm} B/s, with a lost host {failing} B/s");
    assert!(calm.max(failing) < BUDGET_BYTES_PER_S);
}

/// Three models and two plain services, as at the target size.
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

/// Guards against region summaries that get old or cost a relay its budget, at 45 regions and in a large region.
#[test_case(45, 4)]
#[test_case(45, 8)]
#[test_case(12, 30)]
fn many_regions(regions: usize, hosts: usize) {
    let mut world = World::new(regions, hosts, 12);
    for node in &mut world.nodes {
        node.membership.set_load(five_services());
    }
    world.run_for(60_000);
    let mut oldest = 0;
    let mut busiest = 0;
    for _ in 0..10 {
        busiest = busiest.max(busiest_bytes_per_s(&mut world, 3));
        let wall = WALL_START + world.now;
        for node in &world.nodes {
            let mut known = 0;
            for summary in node.membership.region_summaries() {
                known += 1;
                oldest = oldest.max(wall - summary.version);
            }
            assert_eq!(known, regions);
        }
    }
    println!(
        "{regions} regions of {hosts}: busiest node {busiest} B/s, oldest summary {oldest} ms"
    );
    assert!(busiest < BUDGET_BYTES_PER_S);
    assert!(oldest < 15_000);
}
