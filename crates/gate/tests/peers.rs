//! Forwarding between hosts of two regions.

mod common;

use std::sync::Arc;

use common::{
    IDEMPOTENCY_KEY, header, loopback_address, portal_document, send_request, start_host,
    start_host_accepting,
};
use lw_base::{Invariant, Outcome, violation_count};
use lw_gate::{IdempotencyHooks, KeyedDecision};
use lw_idem::Ending;
use lw_stand::FakePlainService;
use parking_lot::Mutex;

/// Guards against a request that is not forwarded to the region of its targets, or is forwarded more than once.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_forwarded_to_the_region_of_its_target() {
    let fake_service = FakePlainService::default();
    let target = fake_service.start(loopback_address()).await.unwrap();
    let document = portal_document(target.address(), "").replace("ZONE", "west-1");
    let west = start_host(
        "west",
        &document,
        "one key for both",
        None,
        IdempotencyHooks::refuse_all(),
    );
    let address = west.peers.address();
    let east = start_host(
        "east",
        &document,
        "one key for both",
        Some(address),
        IdempotencyHooks::refuse_all(),
    );
    let reply = send_request(east.callers.address(), "GET", "/s/portal/x", &[]).await;
    assert_eq!(reply.status(), 200, "{:?}", reply.body());
    assert_eq!(header(&reply, "lacewingstile-outcome"), "complete");
    assert_eq!(fake_service.lookups(), 1);

    // A request that another region forwarded is not forwarded again (`Invariant::NoLoop`).
    let document = document.replace("west-1\", \"address", "east-1\", \"address");
    let west = start_host(
        "west",
        &document,
        "one key for both",
        Some(east.peers.address()),
        IdempotencyHooks::refuse_all(),
    );
    let back = document.replace("east-1\", \"address", "west-1\", \"address");
    let east = start_host(
        "east",
        &back,
        "one key for both",
        Some(west.peers.address()),
        IdempotencyHooks::refuse_all(),
    );
    let reply = send_request(east.callers.address(), "GET", "/s/portal/x", &[]).await;
    assert_eq!(
        (
            reply.status().as_u16(),
            header(&reply, "lacewingstile-error")
        ),
        (503, "no_target")
    );
    assert_eq!(header(&reply, "lacewingstile-outcome"), "not-run");
    assert_eq!(fake_service.lookups(), 1);
    assert_eq!(violation_count(Invariant::Residency), 0);
}

/// Guards against ignoring a newer, stricter residency rule of the receiving region (`Invariant::Residency`).
#[tokio::test(flavor = "multi_thread")]
async fn the_stricter_residency_rule_of_both_regions_applies() {
    let fake_service = FakePlainService::default();
    let target = fake_service.start(loopback_address()).await.unwrap();
    let open = portal_document(target.address(), "").replace("ZONE", "west-1");
    let strict = portal_document(target.address(), "\"east\"").replace("ZONE", "west-1");
    let west = start_host(
        "west",
        &strict,
        "one key for both",
        None,
        IdempotencyHooks::refuse_all(),
    );
    let address = west.peers.address();
    let east = start_host(
        "east",
        &open,
        "one key for both",
        Some(address),
        IdempotencyHooks::refuse_all(),
    );
    let reply = send_request(east.callers.address(), "GET", "/s/portal/x", &[]).await;
    assert_eq!(header(&reply, "lacewingstile-outcome"), "not-run");
    assert_eq!(fake_service.lookups(), 0);
}

/// Guards against accepting requests without a valid signature on the listener for other hosts.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_valid_signature_is_refused() {
    let fake_service = FakePlainService::default();
    let target = fake_service.start(loopback_address()).await.unwrap();
    let document = portal_document(target.address(), "").replace("ZONE", "west-1");
    let west = start_host(
        "west",
        &document,
        "one key",
        None,
        IdempotencyHooks::refuse_all(),
    );
    let address = west.peers.address();
    let east = start_host(
        "east",
        &document,
        "another key",
        Some(address),
        IdempotencyHooks::refuse_all(),
    );
    let reply = send_request(east.callers.address(), "GET", "/s/portal/x", &[]).await;
    assert_eq!(header(&reply, "lacewingstile-error"), "unauthorized");
    let reply = send_request(address, "GET", "/peer/forward/x", &[("lw-hop", "region")]).await;
    assert_eq!(reply.status(), 401);
    assert_eq!(fake_service.lookups(), 0);
    assert_eq!(west.gate.state().in_flight(), 0);
}

/// Guards against refusing forwarded requests while the peer key is rotated, and against accepting the old key
/// afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn old_and_new_peer_keys_are_accepted_during_rotation() {
    const OLD: &str = "the old key";
    const NEW: &str = "the new key";
    let fake_service = FakePlainService::default();
    let target = fake_service.start(loopback_address()).await.unwrap();
    let document = portal_document(target.address(), "").replace("ZONE", "west-1");
    let refuse_all = IdempotencyHooks::refuse_all;
    let west = start_host_accepting(
        "west",
        &document,
        OLD,
        &["a third key", NEW],
        None,
        refuse_all(),
    );
    let address = Some(west.peers.address());
    for (key, status) in [(OLD, 200), (NEW, 200), ("an unknown key", 401)] {
        let east = start_host("east", &document, key, address, refuse_all());
        let reply = send_request(east.callers.address(), "GET", "/s/portal/x", &[]).await;
        assert_eq!(reply.status(), status, "{key}: {:?}", reply.body());
    }
    let counted = west.gate.registry().gather().iter().any(|family| {
        let metrics = family.get_metric();
        family.name() == "lacewingstile_peer_refused_total"
            && metrics
                .iter()
                .any(|metric| metric.get_label()[0].value() == "wrong-tag")
    });
    assert!(counted);
    let after = start_host("west", &document, NEW, None, refuse_all());
    let east = start_host(
        "east",
        &document,
        OLD,
        Some(after.peers.address()),
        refuse_all(),
    );
    let reply = send_request(east.callers.address(), "GET", "/s/portal/x", &[]).await;
    assert_eq!(header(&reply, "lacewingstile-error"), "unauthorized");
    assert_eq!(fake_service.lookups(), 2);
}

/// Guards against running a request with the same key twice, and against a run whose end is not recorded.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_runs_a_key_once_and_replays_it() {
    let fake_service = FakePlainService::default();
    let target = fake_service.start(loopback_address()).await.unwrap();
    let document = portal_document(target.address(), "").replace("ZONE", "east-1");
    let record: Arc<Mutex<Option<Ending>>> = Arc::default();
    let stored_record = record.clone();
    let owner_hooks = IdempotencyHooks::new(move |request| {
        let stored_record = stored_record.clone();
        assert!(request.forwarded);
        async move {
            match stored_record.lock().clone() {
                Some(ending) => KeyedDecision::Replay(ending),
                None => {
                    let record = stored_record.clone();
                    KeyedDecision::Run(Box::new(move |ending| {
                        *record.lock() = Some(ending.clone());
                    }))
                }
            }
        }
    });
    let owner = start_host("east", &document, "one key", None, owner_hooks);
    let owner_address = owner.peers.address().to_string();
    let forward = IdempotencyHooks::new(move |_| {
        let decision = KeyedDecision::Forward {
            host: "owner".into(),
            address: owner_address.clone(),
        };
        async move { decision }
    });
    let entry = start_host("east", &document, "one key", None, forward);
    for replayed in ["", "true"] {
        let headers = [("idempotency-key", IDEMPOTENCY_KEY)];
        let reply =
            send_request(entry.callers.address(), "POST", "/s/portal/order", &headers).await;
        assert_eq!(reply.status(), 200, "{:?}", reply.body());
        assert_eq!(header(&reply, "lacewingstile-replayed"), replayed);
        assert_eq!(header(&reply, "lacewingstile-outcome"), "complete");
        assert_eq!(fake_service.runs_of(IDEMPOTENCY_KEY), 1);
    }
}

/// Guards against a wrong outcome when the owner is unreachable: only a first attempt is certain not to have run.
#[tokio::test(flavor = "multi_thread")]
async fn only_a_first_attempt_to_an_unreachable_owner_is_not_run() {
    let fake_service = FakePlainService::default();
    let target = fake_service.start(loopback_address()).await.unwrap();
    let document = portal_document(target.address(), "").replace("ZONE", "east-1");
    let closed = std::net::TcpListener::bind(loopback_address())
        .unwrap()
        .local_addr()
        .unwrap();
    let forward = IdempotencyHooks::new(move |_| async move {
        KeyedDecision::Forward {
            host: "owner".into(),
            address: closed.to_string(),
        }
    });
    let entry = start_host("east", &document, "one key", None, forward);
    for (attempt, outcome) in [("1", Outcome::NotRun), ("2", Outcome::Unknown)] {
        let headers = [
            ("idempotency-key", IDEMPOTENCY_KEY),
            ("lacewingstile-attempt", attempt),
        ];
        let reply =
            send_request(entry.callers.address(), "POST", "/s/portal/order", &headers).await;
        assert_eq!(header(&reply, "lacewingstile-error"), "owner_unreachable");
        assert_eq!(header(&reply, "lacewingstile-outcome"), outcome.as_str());
    }
    assert_eq!(fake_service.orders(), 0);
}

/// Guards against the outcome "not run" for a retry that a host rejects without knowing the outcome of the first
/// attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_retry_of_a_caller_has_an_unknown_outcome() {
    struct Case {
        name: &'static str,
        ready: bool,
        key: &'static str,
        attempt: &'static str,
        kind: &'static str,
        outcome: Outcome,
    }
    const OTHER_REGION: &str = "west.0190a0a0-a0a0-7000-8000-00000000000b";
    const FAR_AHEAD: &str = "east.ffffffff-ffff-7000-8000-00000000000c";
    let cases = [
        Case {
            name: "host without configuration, retry",
            ready: false,
            key: IDEMPOTENCY_KEY,
            attempt: "",
            kind: "not_ready",
            outcome: Outcome::Unknown,
        },
        Case {
            name: "host without configuration, first attempt",
            ready: false,
            key: IDEMPOTENCY_KEY,
            attempt: "1",
            kind: "not_ready",
            outcome: Outcome::NotRun,
        },
        Case {
            name: "key of another region, retry",
            ready: true,
            key: OTHER_REGION,
            attempt: "2",
            kind: "misdirected",
            outcome: Outcome::Unknown,
        },
        Case {
            name: "key of another region, first attempt",
            ready: true,
            key: OTHER_REGION,
            attempt: "1",
            kind: "misdirected",
            outcome: Outcome::NotRun,
        },
        Case {
            name: "key ahead of the local clock, retry",
            ready: true,
            key: FAR_AHEAD,
            attempt: "",
            kind: "key_malformed",
            outcome: Outcome::Unknown,
        },
        Case {
            name: "malformed key, which every host rejects",
            ready: true,
            key: "east.1",
            attempt: "",
            kind: "key_malformed",
            outcome: Outcome::NotRun,
        },
    ];
    let fake_service = FakePlainService::default();
    let target = fake_service.start(loopback_address()).await.unwrap();
    let document = portal_document(target.address(), "").replace("ZONE", "east-1");
    for case in cases {
        let entry = start_host(
            "east",
            &document,
            "one key",
            None,
            IdempotencyHooks::refuse_all(),
        );
        entry.gate.state().set_ready(case.ready);
        let headers = [
            ("idempotency-key", case.key),
            ("lacewingstile-attempt", case.attempt),
        ];
        let reply =
            send_request(entry.callers.address(), "POST", "/s/portal/order", &headers).await;
        assert_eq!(
            header(&reply, "lacewingstile-error"),
            case.kind,
            "{}",
            case.name
        );
        assert_eq!(
            header(&reply, "lacewingstile-outcome"),
            case.outcome.as_str(),
            "{}",
            case.name
        );
    }
    assert_eq!(fake_service.orders(), 0);
}

/// Guards against refusing a request that the next owner of its key could serve.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_owner_serves_a_request_when_the_first_is_unreachable() {
    let fake_service = FakePlainService::default();
    let target = fake_service.start(loopback_address()).await.unwrap();
    let document = portal_document(target.address(), "").replace("ZONE", "east-1");
    let closed = std::net::TcpListener::bind(loopback_address())
        .unwrap()
        .local_addr()
        .unwrap();
    let owner_is_lost = Arc::new(Mutex::new(true));
    let (deciding, waiting) = (owner_is_lost.clone(), owner_is_lost.clone());
    let hooks = IdempotencyHooks::new(move |_| {
        let decision = match *deciding.lock() {
            true => KeyedDecision::Forward {
                host: "lost".into(),
                address: closed.to_string(),
            },
            false => KeyedDecision::Run(Box::new(|_| ())),
        };
        async move { decision }
    });
    let hooks = hooks.with_owner_wait(move |_, former| {
        assert_eq!(&*former, "lost");
        *waiting.lock() = false;
        async { true }
    });
    let entry = start_host("east", &document, "one key", None, hooks);
    let headers = [("idempotency-key", IDEMPOTENCY_KEY)];
    let reply = send_request(entry.callers.address(), "POST", "/s/portal/order", &headers).await;
    assert_eq!(reply.status(), 200, "{:?}", reply.body());
    assert_eq!(fake_service.runs_of(IDEMPOTENCY_KEY), 1);
}
