//! Partition of a region from the key-value service.

use std::sync::atomic::Ordering;
use std::time::Duration;

use lw_stand::LinkState;

use crate::faults::check::Check;
use crate::faults::schedule::PlannedFault;
use crate::faults::test_cluster::TestCluster;

/// Partitions all hosts of a region from the key-value service and checks that the region keeps answering lookups.
pub(crate) async fn cut_region(cluster: &TestCluster, planned: PlannedFault) -> String {
    let region = if planned.random_index.is_multiple_of(2) {
        "east"
    } else {
        "west"
    };
    // Long enough for several lookups in each region.
    let duration = Duration::from_millis(planned.duration_ms.max(3_000));
    set_links(cluster, region, LinkState::Down);
    cluster.cut_regions.lock().push(region);
    let before = cluster.complete_lookups(region).load(Ordering::Relaxed);
    tokio::time::sleep(duration).await;
    let answered = cluster.complete_lookups(region).load(Ordering::Relaxed) - before;
    let mut cut = cluster.cut_regions.lock();
    if let Some(at) = cut.iter().position(|cut| *cut == region) {
        cut.remove(at);
    }
    drop(cut);
    set_links(cluster, region, LinkState::Up);
    cluster
        .observations
        .check(Check::CutRegionServes, answered > 0, || {
            format!("{region} answered no lookup while it was cut off")
        });
    format!("{region} answered {answered} lookups")
}

fn set_links(cluster: &TestCluster, region: &str, state: LinkState) {
    for host in cluster.hosts.iter().filter(|host| host.region == region) {
        host.link.set(state);
    }
}
