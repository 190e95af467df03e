//! Permits to run a request with an idempotency key.

use bytes::Bytes;
use lw_idem::Ending;
use lw_node::SubmitDecision;

use crate::cluster::{Cluster, Reply};

async fn permit(cluster: &Cluster, id: uuid::Uuid) -> lw_node::RunPermit {
    match cluster.decide("a", id, true).await {
        SubmitDecision::Run(permit) => permit,
        other => panic!("a new key did not get a permit: {other:?}"),
    }
}

/// Guards against a dropped permit that leaves its key unclaimed or claimed forever, against repeats that run
/// concurrently with the first attempt, and against keys that stay claimed by a request that was dropped before it ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_way_to_end_a_permit_settles_its_key() {
    let cluster = Cluster::with_hosts(&["a", "b"]).await;
    let lost = cluster.new_key();
    drop(permit(&cluster, lost).await);
    let reply = cluster.request("b", lost, false).await;
    assert_eq!(reply, Reply::UNKNOWN, "a dropped permit may have run");

    let free = cluster.new_key();
    permit(&cluster, free).await.end(&Ending::NotRun);
    assert!(matches!(
        cluster.request("b", free, false).await,
        Reply::Done(_)
    ));

    let slow = cluster.new_key();
    let first = permit(&cluster, slow).await;
    let body = Bytes::from_static(b"late");
    let repeat = cluster.request("b", slow, false);
    let end = async {
        cluster.advance_ms(500).await;
        first.end(&Ending::complete(200, "text/plain", body.clone()));
    };
    let (reply, ()) = tokio::join!(repeat, end);
    assert_eq!(reply, Reply::Replayed(body), "the repeat waits");

    let dropped = cluster.new_key();
    let request = cluster.submit_request(dropped, true);
    // The cut keeps the acknowledgement of the backup from arriving before the future is dropped.
    cluster.fake_network.set_cut("a", &["b"], true);
    for host in &cluster.hosts {
        let mut submitted = Box::pin(host.node.submit(request));
        let polled = futures_util::poll!(submitted.as_mut());
        let forwarded = matches!(
            polled,
            std::task::Poll::Ready(SubmitDecision::Forward { .. })
        );
        assert!(polled.is_pending() || forwarded, "{polled:?}");
    }
    cluster.fake_network.set_cut("a", &["b"], false);
    cluster.advance_ms(500).await;
    assert!(matches!(
        cluster.request("a", dropped, false).await,
        Reply::Done(_)
    ));
}
