//! A region that is cut off from the key-value service.

use std::sync::atomic::Ordering;
use std::time::Duration;

use lw_stand::LinkState;

use crate::faults::check::Check;
use crate::faults::schedule::Planned;
use crate::faults::world::World;

/// Cuts all hosts of a region off from the service and checks that the region keeps answering lookups.
pub(crate) async fn cut_region(world: &World, planned: Planned) -> String {
    let region = if planned.pick.is_multiple_of(2) {
        "east"
    } else {
        "west"
    };
    // Long enough for several lookups in each region.
    let lasts = Duration::from_millis(planned.lasts_ms.max(3_000));
    set_links(world, region, LinkState::Down);
    world.cut_regions.lock().push(region);
    let before = world.served(region).load(Ordering::Relaxed);
    tokio::time::sleep(lasts).await;
    let answered = world.served(region).load(Ordering::Relaxed) - before;
    let mut cut = world.cut_regions.lock();
    if let Some(at) = cut.iter().position(|cut| *cut == region) {
        cut.remove(at);
    }
    drop(cut);
    set_links(world, region, LinkState::Up);
    world
        .ledger
        .check(Check::CutRegionServes, answered > 0, || {
            format!("{region} answered no lookup while it was cut off")
        });
    format!("{region} answered {answered} lookups")
}

fn set_links(world: &World, region: &str, state: LinkState) {
    for host in world.hosts.iter().filter(|host| host.region == region) {
        host.link.set(state);
    }
}
