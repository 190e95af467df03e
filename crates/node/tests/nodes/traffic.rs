//! Control traffic at the size of a large region.

use std::sync::Arc;

use lw_admit::{CustomerId, EXCHANGED_CUSTOMERS};

use crate::bed::{Bed, SPEED};
use crate::exchange::{Polls, engines};

/// The target of the design for one node, in bytes per second.
const BYTES_PER_S: u64 = 12_000;

/// Three times the mean of 380 hosts in 45 regions.
const HOSTS: usize = 24;

/// Guards against control traffic that grows with the region beyond its target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_of_a_large_region_stays_within_its_control_traffic() {
    let mut bed = Bed::new();
    let polls = Polls::default();
    bed.customize = Some(Box::new(move |parts| {
        parts.engines = Some(engines(&polls));
        parts.usage.take_local_rates = Arc::new(|now| {
            let customers = (0..EXCHANGED_CUSTOMERS as u64).map(|number| number << 40);
            let rates = customers.map(|number| (CustomerId(now.0.reverse_bits() ^ number), 3.5));
            rates.collect()
        });
    }));
    for number in 0..HOSTS {
        bed.start(&format!("host-{number:02}"));
    }
    bed.until("all members", |bed| {
        bed.hosts
            .iter()
            .all(|host| host.status().alive_members == HOSTS - 1)
    })
    .await;
    bed.publish_first().await;
    bed.settle().await;
    let before: Vec<_> = bed.hosts.iter().map(crate::bed::Host::status).collect();
    let began = bed.clock.mono();
    bed.pass_ms(20_000).await;
    let span_ms = bed.clock.mono().since_ms(began);
    let mut most = 0;
    for (host, before) in bed.hosts.iter().zip(&before) {
        let after = host.status();
        let sent = (after.sent_bytes - before.sent_bytes) * 1_000 / span_ms;
        let received = (after.received_bytes - before.received_bytes) * 1_000 / span_ms;
        // The clocks of the nodes are faster than the work, which takes real time.
        let busy = (after.busy_us - before.busy_us) as f64 / (span_ms * 1_000) as f64;
        println!(
            "{}: {sent} B/s sent, {received} B/s received, {busy:.4} of a core at {SPEED}x",
            host.name
        );
        most = most.max(sent).max(received);
    }
    assert!(most <= BYTES_PER_S, "{most} B/s");
}
