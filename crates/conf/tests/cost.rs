//! The cost of a change in messages, bytes and calls to the key-value service.

mod support;

use support::sim::{BOUND_MS, Sim, pause, publish_at};
use support::{sample, with_customer};
use test_case::test_case;

/// Guards against a cost of a change per host that grows with the number of hosts; prints the measured cost.
#[test_case(8, 1)]
#[test_case(40, 5)]
#[test_case(380, 45)]
#[tokio::test(start_paused = true)]
async fn cost_of_a_change_per_host_is_bounded(hosts: usize, regions: usize) {
    let sim = Sim::start(21, hosts, regions);
    let mut document = sample();
    publish_at(&sim, "host-000", 1, document.clone()).await;
    sim.wait_for(BOUND_MS, "revision 1", |sim| sim.all_at(1))
        .await;
    pause(5_000).await;
    let counts = |sim: &Sim| {
        let (net, store) = (sim.net.lock(), sim.kv.0.lock());
        [net.messages, net.bytes, store.reads, store.writes]
    };
    let idle = counts(&sim);
    pause(20_000).await;
    let (start, changes, mut slowest_ms) = (counts(&sim), 10, 0);
    for number in 2..2 + changes {
        document = with_customer(&document, &format!("c-{number}"));
        publish_at(&sim, "host-000", number, document.clone()).await;
        let revision = u64::try_from(number).unwrap();
        slowest_ms = slowest_ms.max(
            sim.wait_for(BOUND_MS, "a change", |sim| sim.all_at(revision))
                .await,
        );
        pause(2_000 - slowest_ms.min(1_900)).await;
    }
    let end = counts(&sim);
    let per_change = |index: usize| (end[index] - start[index]) as f64 / 10.0;
    let [messages, bytes] = [0, 1].map(|index| per_change(index) / hosts as f64);
    println!(
        "{hosts} hosts in {regions} regions: {messages:.2} messages and {bytes:.0} bytes per change and host, \
         {:.1} reads and {:.1} writes on the service per change, idle reads {:.1}/s, slowest {slowest_ms} ms",
        per_change(2),
        per_change(3),
        (start[2] - idle[2]) as f64 / 20.0,
    );
    assert!(
        messages <= 4.0,
        "more messages than two push trees and some pulls"
    );
    // At 36,000 changes a day, against a budget of 12,000 bytes/s per host.
    assert!(
        bytes * 36_000.0 / 86_400.0 < 12_000.0 / 4.0,
        "more than a quarter of the control traffic budget"
    );
    assert_eq!(per_change(3), 2.0, "a change writes an entry and the head");
}
