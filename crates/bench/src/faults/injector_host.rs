//! Faults that kill or replace hosts.

use std::time::Duration;

use lw_daemon::Exit;

use crate::faults::check::Check;
use crate::faults::host::ProcessState;
use crate::faults::schedule::PlannedFault;
use crate::faults::test_cluster::TestCluster;

/// How long callers keep using a draining host after its drain starts; the host gives them 2 s to switch.
const CALLER_SWITCH_DELAY: Duration = Duration::from_millis(1_000);

/// Kills a host and starts a new process under the same name when the fault ends.
pub(crate) async fn kill_host(cluster: &TestCluster, planned: PlannedFault) -> String {
    let Some(number) = pick_replaceable_host(cluster, planned) else {
        return "skipped: too few hosts are running".to_owned();
    };
    let host = &cluster.hosts[number];
    let Some(daemon) = host.daemon.lock().take() else {
        return "skipped: the host is down".to_owned();
    };
    if let Some(process) = host.process.lock().take() {
        process.set_state(ProcessState::Killed);
    }
    daemon.kill().await;
    tokio::time::sleep(Duration::from_millis(planned.duration_ms)).await;
    restart(cluster, number).await
}

/// Drains a host and then starts a new process under the same name.
pub(crate) async fn replace_host(cluster: &TestCluster, planned: PlannedFault) -> String {
    let Some(number) = pick_replaceable_host(cluster, planned) else {
        return "skipped: too few hosts are running".to_owned();
    };
    let host = &cluster.hosts[number];
    let Some(daemon) = host.daemon.lock().take() else {
        return "skipped: the host is down".to_owned();
    };
    if let Some(process) = &*host.process.lock() {
        process.set_state(ProcessState::Leaving);
    }
    let switch_callers = async {
        tokio::time::sleep(CALLER_SWITCH_DELAY).await;
        *host.process.lock() = None;
    };
    let (exit, ()) = tokio::join!(daemon.drain(), switch_callers);
    cluster
        .observations
        .check(Check::GracefulStop, exit == Exit::Ok, || {
            format!("{} ended its planned stop with {exit:?}", host.name)
        });
    restart(cluster, number).await
}

/// Picks a host, or returns `None` if its region has fewer than three running hosts.
fn pick_replaceable_host(cluster: &TestCluster, planned: PlannedFault) -> Option<usize> {
    let number = planned.random_index % cluster.hosts.len();
    let region = cluster.hosts[number].region;
    let live = cluster
        .processes()
        .into_iter()
        .filter(|process| process.region == region);
    (live.count() > 2).then_some(number)
}

async fn restart(cluster: &TestCluster, number: usize) -> String {
    let name = &cluster.hosts[number].name;
    match cluster.start_host(number).await {
        Ok(()) => name.clone(),
        Err(error) => format!("{name} did not restart: {error}"),
    }
}
