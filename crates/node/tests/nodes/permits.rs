//! Permits to run a key.

use bytes::Bytes;
use lw_idem::Ending;
use lw_node::SubmitDecision;

use crate::bed::{Bed, Told};

async fn permit(bed: &Bed, id: uuid::Uuid) -> lw_node::RunPermit {
    match bed.decide("a", id, true).await {
        SubmitDecision::Run(permit) => permit,
        other => panic!("a new key runs: {other:?}"),
    }
}

/// Guards against a permit that is lost in a fault and leaves its key free or claimed for ever, against repeats that
/// run beside the first attempt, and against keys that stay claimed by a request that went away before it ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_permit_ends_once_in_every_way() {
    let bed = Bed::with_hosts(&["a", "b"]).await;
    let lost = bed.key();
    drop(permit(&bed, lost).await);
    let told = bed.ask("b", lost, false).await;
    assert_eq!(told, Told::UNKNOWN, "a dropped permit may have run");

    let free = bed.key();
    permit(&bed, free).await.end(&Ending::NotRun);
    assert!(matches!(bed.ask("b", free, false).await, Told::Done(_)));

    let slow = bed.key();
    let first = permit(&bed, slow).await;
    let body = Bytes::from_static(b"late");
    let repeat = bed.ask("b", slow, false);
    let end = async {
        bed.pass_ms(500).await;
        first.end(&Ending::complete(200, "text/plain", body.clone()));
    };
    let (told, ()) = tokio::join!(repeat, end);
    assert_eq!(told, Told::Replayed(body), "the repeat waits");

    let gone = bed.key();
    let ask = bed.ask_of(gone, true);
    // No acknowledgement of the backup arrives before the future is dropped.
    bed.wires.set_cut("a", &["b"], true);
    for host in &bed.hosts {
        let mut submitted = Box::pin(host.node.submit(ask));
        let polled = futures_util::poll!(submitted.as_mut());
        let forwarded = matches!(
            polled,
            std::task::Poll::Ready(SubmitDecision::Forward { .. })
        );
        assert!(polled.is_pending() || forwarded, "{polled:?}");
    }
    bed.wires.set_cut("a", &["b"], false);
    bed.pass_ms(500).await;
    assert!(matches!(bed.ask("a", gone, false).await, Told::Done(_)));
}
