//! Control traffic at the size of a large region.

use std::sync::Arc;

use lw_admit::{CustomerId, MAX_REPORTED_CUSTOMERS};

use crate::cluster::{Cluster, SPEED};
use crate::exchange::{PollCounts, counting_engines};

/// The control traffic budget of one node in each direction, in bytes per second.
const BYTES_PER_S: u64 = 12_000;

/// The hosts of the region: about three times the mean of 380 hosts in 45 regions.
const HOSTS: usize = 24;

/// Guards against control traffic that exceeds its budget in a large region.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_of_a_large_region_stays_within_its_control_traffic() {
    let mut cluster = Cluster::new();
    let polls = PollCounts::default();
    cluster.customize = Some(Box::new(move |parts| {
        parts.engines = Some(counting_engines(&polls));
        parts.usage.take_local_rates = Arc::new(|now| {
            let customers = (0..MAX_REPORTED_CUSTOMERS as u64).map(|number| number << 40);
            let rates = customers.map(|number| (CustomerId(now.0.reverse_bits() ^ number), 3.5));
            rates.collect()
        });
    }));
    for number in 0..HOSTS {
        cluster.start(&format!("host-{number:02}"));
    }
    cluster
        .wait_until("all members", |cluster| {
            cluster
                .hosts
                .iter()
                .all(|host| host.status().alive_members == HOSTS - 1)
        })
        .await;
    cluster.publish_first_revision().await;
    cluster.wait_until_settled().await;
    let before: Vec<_> = cluster
        .hosts
        .iter()
        .map(crate::cluster::Host::status)
        .collect();
    let began = cluster.clock.mono();
    cluster.advance_ms(20_000).await;
    let span_ms = cluster.clock.mono().since_ms(began);
    let mut most = 0;
    for (host, before) in cluster.hosts.iter().zip(&before) {
        let after = host.status();
        let sent = (after.sent_bytes - before.sent_bytes) * 1_000 / span_ms;
        let received = (after.received_bytes - before.received_bytes) * 1_000 / span_ms;
        // The work takes real time while the clocks of the nodes run faster, so the share appears larger than it is.
        let busy = (after.busy_us - before.busy_us) as f64 / (span_ms * 1_000) as f64;
        println!(
            "{}: {sent} B/s sent, {received} B/s received, {busy:.4} of a core at {SPEED}x",
            host.name
        );
        most = most.max(sent).max(received);
    }
    assert!(most <= BYTES_PER_S, "{most} B/s");
}
