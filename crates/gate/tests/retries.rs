//! The retry budget.

mod common;

use common::{Host, call, header, host, local};
use lw_gate::IdempotencyHooks;
use lw_stand::PlainStand;

fn retries(host: &Host) -> f64 {
    let families = host.gate.registry().gather();
    let attempts = families
        .iter()
        .filter(|family| family.name() == "lacewingstile_attempts_total")
        .flat_map(prometheus::proto::MetricFamily::get_metric);
    attempts
        .filter(|metric| {
            metric
                .get_label()
                .iter()
                .any(|label| label.value() == "retry")
        })
        .map(|metric| metric.get_counter().get_value())
        .sum()
}

fn portal(targets: &[String]) -> Host {
    let target = |(index, address): (usize, &String)| {
        format!(
            r#""portal-{index}": {{"service": "portal", "zone": "east-1", "address": "{address}"}}"#
        )
    };
    let targets: Vec<String> = targets.iter().enumerate().map(target).collect();
    let document = format!(
        r#"{{"format": 1, "regions": {{"east": {{"zones": ["east-1"]}}}},
        "services": {{"portal": {{"kind": "plain", "priority": "lookup", "regions": ["east"], "deadline_ms": 3000}}}},
        "targets": {{{}}}}}"#,
        targets.join(", ")
    );
    host(
        "east",
        &document,
        "one key",
        None,
        IdempotencyHooks::refuse_all(),
    )
}

fn closed_address() -> String {
    let listener = std::net::TcpListener::bind(local()).unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Guards against retry tokens that are spent although no other target is left, and against callers that hear of the
/// retry budget instead of the failure of their attempt.
#[tokio::test(flavor = "multi_thread")]
async fn the_only_target_is_not_retried() {
    let host = portal(&[closed_address()]);
    for _ in 0..6 {
        let reply = call(host.callers.address(), "GET", "/s/portal/x", &[]).await;
        assert_eq!(header(&reply, "lacewingstile-error"), "connect_failed");
        assert_eq!(header(&reply, "lacewingstile-outcome"), "not-run");
    }
    assert_eq!(retries(&host), 0.0);
}

/// Guards against a retry that is not made although another target is left.
#[tokio::test(flavor = "multi_thread")]
async fn another_target_is_retried() {
    let stand = PlainStand::default();
    let target = stand.start(local()).await.unwrap();
    let host = portal(&[closed_address(), target.address().to_string()]);
    let mut calls = 0;
    while retries(&host) == 0.0 {
        let reply = call(host.callers.address(), "GET", "/s/portal/x", &[]).await;
        assert_eq!(reply.status(), 200, "{:?}", reply.body());
        calls += 1;
        assert!(calls < 100, "the closed target was never chosen");
    }
    assert_eq!(retries(&host), 1.0);
    assert_eq!(stand.lookups(), calls);
}
