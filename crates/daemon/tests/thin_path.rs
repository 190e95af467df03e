//! A lookup through a host with a document file.

mod support;

use lw_stand::FakePlainService;
use support::{TestHost, document, local};

/// Guards against a daemon that starts but forwards no request.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_reaches_its_target() {
    let plain_service = FakePlainService::default();
    let target = plain_service.start(local()).await.unwrap();
    let host = TestHost::start(&document(&[("portal", target.address())], &[])).await;

    let reply = host.get("/s/portal/orders/7?full=1").await;

    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("lacewingstile-outcome"), "complete");
    assert!(
        reply.text().contains("/orders/7?full=1"),
        "{}",
        reply.text()
    );
    assert_eq!(plain_service.lookups(), 1);
    host.drain().await;
}
