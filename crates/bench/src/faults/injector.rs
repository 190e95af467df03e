//! Injects the faults of a schedule.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lw_stand::LinkState;

use crate::faults::injector_config::{operators_race, stop_target, stop_zone, stricter_residency};
use crate::faults::injector_host::{kill_host, replace_host};
use crate::faults::injector_region::cut_region;
use crate::faults::injector_target::inject_target_fault;
use crate::faults::schedule::{Fault, PlannedFault};
use crate::faults::test_cluster::TestCluster;

/// Added delay of each call while the key-value service is slow.
const SLOW_CALL_MS: u64 = 800;
const LOST_REPLIES: u32 = 3;
const LOST_WRITES: usize = 3;

/// Injects all faults of the schedule at their times and returns when the last one has ended.
pub(crate) async fn inject_schedule(cluster: &Arc<TestCluster>, plan: Vec<PlannedFault>) {
    let start = Instant::now();
    let mut running = Vec::new();
    for planned in plan {
        let due = start + Duration::from_millis(planned.at_ms);
        tokio::time::sleep_until(due.into()).await;
        let cluster = cluster.clone();
        running.push(tokio::spawn(async move {
            let result = inject_fault(&cluster, planned).await;
            let line = format!(
                "{:>6} ms {:?} for {} ms: {result}",
                planned.at_ms, planned.fault, planned.duration_ms
            );
            cluster.observations.injected.lock().push(line);
        }));
    }
    for fault in running {
        let _ = fault.await;
    }
}

/// Injects a fault, waits until it ends, and returns a description of what it affected.
async fn inject_fault(cluster: &TestCluster, planned: PlannedFault) -> String {
    let duration = Duration::from_millis(planned.duration_ms);
    match planned.fault {
        Fault::ServiceOutage => {
            cluster.kv.set_outage(true);
            tokio::time::sleep(duration).await;
            cluster.kv.set_outage(false);
        }
        Fault::ServiceSlow => {
            cluster.kv.set_delay_ms(SLOW_CALL_MS);
            tokio::time::sleep(duration).await;
            cluster.kv.set_delay_ms(0);
        }
        Fault::ServiceLosesReplies => cluster.kv.drop_replies(LOST_REPLIES),
        Fault::ServiceLosesWrites => cluster.kv.revert_last_writes(LOST_WRITES),
        Fault::HostCut => return cut_host(cluster, planned, LinkState::Down).await,
        Fault::HostRepliesLost => return cut_host(cluster, planned, LinkState::RepliesLost).await,
        Fault::RegionCut => return cut_region(cluster, planned).await,
        Fault::HostKilled => return kill_host(cluster, planned).await,
        Fault::HostReplaced => return replace_host(cluster, planned).await,
        Fault::TargetSlow | Fault::TargetRefuses | Fault::TargetBreaks | Fault::TargetMislabels => {
            return inject_target_fault(cluster, planned).await;
        }
        Fault::OperatorsRace => return operators_race(cluster).await,
        Fault::StopTarget => return stop_target(cluster, planned).await,
        Fault::StopZone => return stop_zone(cluster, planned).await,
        Fault::StricterResidency => return stricter_residency(cluster, planned).await,
    }
    "done".to_owned()
}

async fn cut_host(cluster: &TestCluster, planned: PlannedFault, state: LinkState) -> String {
    let host = &cluster.hosts[planned.random_index % cluster.hosts.len()];
    host.link.set(state);
    tokio::time::sleep(Duration::from_millis(planned.duration_ms)).await;
    host.link.set(LinkState::Up);
    host.name.clone()
}
