//! Retries, and when the retry budget is charged for them.

mod common;

use common::{Host, header, loopback_address, send_request, start_host};
use lw_gate::IdempotencyHooks;
use lw_stand::FakePlainService;

fn retry_count(host: &Host) -> f64 {
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

fn start_portal_host(targets: &[String]) -> Host {
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
    start_host(
        "east",
        &document,
        "one key",
        None,
        IdempotencyHooks::refuse_all(),
    )
}

fn refusing_address() -> String {
    let listener = std::net::TcpListener::bind(loopback_address()).unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Guards against taking retries from the budget when no other target is left: callers would then receive
/// `retry_budget_spent` instead of the failure of their attempt.
#[tokio::test(flavor = "multi_thread")]
async fn no_retry_is_taken_when_no_other_target_is_left() {
    let host = start_portal_host(&[refusing_address()]);
    for _ in 0..6 {
        let reply = send_request(host.callers.address(), "GET", "/s/portal/x", &[]).await;
        assert_eq!(header(&reply, "lacewingstile-error"), "connect_failed");
        assert_eq!(header(&reply, "lacewingstile-outcome"), "not-run");
    }
    assert_eq!(retry_count(&host), 0.0);
}

/// Guards against a failed attempt that is not retried although another target is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_attempt_is_retried_at_another_target() {
    let fake_service = FakePlainService::default();
    let target = fake_service.start(loopback_address()).await.unwrap();
    let host = start_portal_host(&[refusing_address(), target.address().to_string()]);
    let mut calls = 0;
    while retry_count(&host) == 0.0 {
        let reply = send_request(host.callers.address(), "GET", "/s/portal/x", &[]).await;
        assert_eq!(reply.status(), 200, "{:?}", reply.body());
        calls += 1;
        assert!(
            calls < 100,
            "the target that refuses connections was never chosen"
        );
    }
    assert_eq!(retry_count(&host), 1.0);
    assert_eq!(fake_service.lookups(), calls);
}
