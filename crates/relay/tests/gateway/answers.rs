//! Targets that misbehave.

use std::time::Duration;

use test_case::test_case;
use tokio::io::AsyncWriteExt;

use crate::support::*;

struct Case {
    kind: Kind,
    first: Vec<Act>,
    /// The answers of the second target; `None` when there is only one.
    second: Option<Vec<Act>>,
    status: u16,
    body: Option<&'static str>,
    /// The requests that reach both targets together.
    arrivals: usize,
}

fn send(text: impl Into<String>) -> Act {
    Act::Send(text.into())
}

fn not_run() -> Vec<Act> {
    vec![send(
        "HTTP/1.1 503 Busy\r\nx-attempt: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    )]
}

fn failure() -> Vec<Act> {
    vec![send(
        "HTTP/1.1 500 Error\r\nx-attempt: {id}\r\nx-seal: s\r\ncontent-length: 3\r\n\r\nbad",
    )]
}

fn crossed() -> Vec<Act> {
    let other = good("other").replace("{id}", "zz");
    vec![send(other)]
}

// Guards against a request that runs twice, a false "not run", and an answer that is not the target's own.
#[test_case(Case { kind: ONCE, first: vec![send(good("hello"))], second: None, status: 200, body: Some("hello"), arrivals: 1 }; "a good answer")]
#[test_case(Case { kind: ONCE, first: vec![Act::Reset], second: Some(vec![Act::Reset]), status: 502, body: None, arrivals: 1 }; "a lost answer is not asked for again")]
#[test_case(Case { kind: ONCE, first: not_run(), second: Some(vec![send(good("hello"))]), status: 200, body: Some("hello"), arrivals: 2 }; "a request that did not run goes elsewhere")]
#[test_case(Case { kind: ONCE, first: not_run(), second: None, status: 503, body: None, arrivals: 1 }; "a request that did not run is refused as such")]
#[test_case(Case { kind: ONCE, first: failure(), second: Some(failure()), status: 500, body: Some("bad"), arrivals: 1 }; "a failure that ran is passed on")]
#[test_case(Case { kind: ONCE, first: crossed(), second: Some(crossed()), status: 502, body: None, arrivals: 1 }; "an answer to another request")]
#[test_case(Case { kind: ONCE, first: vec![send(good("hello").replace("x-seal: s\r\n", ""))], second: None, status: 502, body: None, arrivals: 1 }; "a success without a seal")]
#[test_case(Case { kind: ONCE, first: vec![send(good("hello").replace("length: 5", "length: 9")), Act::Close], second: None, status: 502, body: None, arrivals: 1 }; "a cut body")]
#[test_case(Case { kind: ONCE, first: vec![send("nonsense\r\n\r\n"), Act::Close], second: None, status: 502, body: None, arrivals: 1 }; "bytes that are no answer")]
#[test_case(Case { kind: ONCE, first: vec![send(good("hello").replace("content-length: 5\r\n", "")), Act::Close], second: None, status: 200, body: Some("hello"), arrivals: 1 }; "an answer that ends with its connection")]
#[test_case(Case { kind: ONCE, first: vec![Act::Wait(4_000)], second: None, status: 504, body: None, arrivals: 1 }; "no answer until the deadline")]
#[test_case(Case { kind: REPEATABLE, first: vec![Act::Reset], second: Some(vec![send(good("hello"))]), status: 200, body: Some("hello"), arrivals: 2 }; "a lost answer is asked for again")]
#[test_case(Case { kind: REPEATABLE, first: vec![Act::Reset], second: Some(not_run()), status: 502, body: None, arrivals: 2 }; "a request that may have run is not refused as not run")]
#[test_case(Case { kind: REPEATABLE, first: failure(), second: Some(vec![send(good("hello"))]), status: 200, body: Some("hello"), arrivals: 2 }; "a failure is spared the caller")]
#[test_case(Case { kind: REPEATABLE, first: failure(), second: Some(failure()), status: 500, body: Some("bad"), arrivals: 2 }; "runs are limited")]
#[test_case(Case { kind: STREAM, first: vec![Act::Reset], second: Some(vec![Act::Reset]), status: 502, body: None, arrivals: 1 }; "a stream that must not repeat")]
fn answers_are_the_targets_own_or_honest(case: Case) {
    on_one_thread(async move {
        let first = ScriptTarget::start(vec![case.first]).await;
        let mut targets = vec![first];
        if let Some(second) = case.second {
            targets.push(ScriptTarget::start(vec![second]).await);
        }
        let host = start_host(case.kind, &targets).await;
        // The first target is preferred.
        if let Some(second) = targets.get(1) {
            let plan = host.plan();
            plan.targets[0][1].load.borrow_mut().running = 1;
            assert_ne!(second.address, targets[0].address);
        }
        let answer = call(host.settings.caller_address, &request("a1")).await;
        assert_eq!(answer.status, case.status, "{answer:?}");
        assert!(answer.whole, "{answer:?}");
        if let Some(body) = case.body {
            assert_eq!(answer.body, body);
        }
        let is_refusal = answer.status == 503;
        assert_eq!(header(&answer.head, "retry-after").is_some(), is_refusal);
        let arrivals: usize = targets
            .iter()
            .map(|target| target.heads.borrow().len())
            .sum();
        assert_eq!(arrivals, case.arrivals);
    });
}

/// Guards against an extra answer that is taken for the next one on a kept connection.
#[test]
fn an_extra_answer_belongs_to_nobody() {
    on_one_thread(async {
        let extra = format!("{}{}", good("one"), good("late"));
        let target = ScriptTarget::start(vec![vec![send(extra)], vec![send(good("two"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let first = call(host.settings.caller_address, &request("a1")).await;
        assert_eq!(first.body, "one");
        let second = call(host.settings.caller_address, &request("a2")).await;
        assert_eq!((second.status, &*second.body), (200, "two"));
    });
}

/// Guards against lost or doubled events, and against a stream that goes on with half an event.
#[test]
fn a_cut_stream_is_resumed_at_another_target() {
    on_one_thread(async {
        let head = stream_head();
        let half = "id: 3\ndata: pi";
        let first = vec![
            send(format!("{head}{}{}", chunk(&event(1)), chunk(&event(2)))),
            Act::Wait(50),
            send(chunk(half)),
            Act::Reset,
        ];
        let rest = format!("{head}{}{}0\r\n\r\n", chunk(&event(3)), chunk(&event(4)));
        let targets = [
            ScriptTarget::start(vec![first]).await,
            ScriptTarget::start(vec![vec![send(rest)]]).await,
        ];
        let host = start_host(RESUMABLE, &targets).await;
        host.plan().targets[0][1].load.borrow_mut().running = 1;
        let answer = call(host.settings.caller_address, &request("a1")).await;
        assert!(answer.whole, "{answer:?}");
        for id in 1..=4 {
            let piece = format!("piece {id}\n");
            assert_eq!(answer.body.matches(&piece).count(), 1, "{answer:?}");
        }
        assert!(!answer.body.contains("data: piid"));
        let resumed = targets[1].heads.borrow()[0].clone();
        assert_eq!(header(&resumed, "last-event-id").as_deref(), Some("2"));
    });
}

/// Guards against a cut stream that looks complete to its caller.
#[test]
fn a_cut_stream_that_must_not_repeat_is_cut_for_the_caller() {
    on_one_thread(async {
        let acts = vec![
            send(format!("{}{}", stream_head(), chunk(&event(1)))),
            Act::Reset,
        ];
        let target = ScriptTarget::start(vec![acts]).await;
        let host = start_host(STREAM, std::slice::from_ref(&target)).await;
        let answer = call(host.settings.caller_address, &request("a1")).await;
        assert!(!answer.whole, "{answer:?}");
        assert!(answer.body.contains("piece 1"));
        assert_eq!(target.heads.borrow().len(), 1);
    });
}

/// Guards against requests that reach another incarnation, carry a caller's reserved headers or change on the way.
#[test]
fn the_target_gets_the_request_unchanged_and_pinned() {
    on_one_thread(async {
        let target = ScriptTarget::start(vec![vec![send(good("x"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let request = request("a1").replace(
            "x-remaining",
            "x-hold: h\r\nx-target: other\r\nconnection: x-private\r\nx-private: 1\r\nx-public: 2\r\nx-remaining",
        );
        call(host.settings.caller_address, &request).await;
        let head = target.heads.borrow()[0].clone();
        assert!(head.starts_with("POST /x/1?q=%20a HTTP/1.1"), "{head}");
        assert_eq!(header(&head, "host").as_deref(), Some("a.example"));
        assert_eq!(header(&head, "x-target").as_deref(), Some("t0"));
        assert_eq!(header(&head, "x-public").as_deref(), Some("2"));
        assert_eq!(header(&head, "x-hold"), None);
        assert_eq!(header(&head, "x-private"), None);
        let remaining = header(&head, "x-remaining").and_then(|text| text.parse::<u64>().ok());
        assert!(
            remaining.is_some_and(|remaining| remaining <= 1_500),
            "{head}"
        );
    });
}

#[derive(Clone, Copy)]
struct LimitCase {
    request: &'static str,
    status: u16,
}

// Guards against requests that exceed the limits, cannot be framed in one way, or have no route.
#[test_case(LimitCase { request: "POST /x/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 20000\r\n\r\n", status: 413 }; "a declared body that is too large")]
#[test_case(LimitCase { request: "POST /x/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", status: 400 }; "a chunk that cannot be read")]
#[test_case(LimitCase { request: "GET /y/1 HTTP/1.1\r\nhost: a.example\r\n\r\n", status: 404 }; "no route")]
#[test_case(LimitCase { request: "GET /x/1 HTTP/1.1\r\nhost: b.example\r\n\r\n", status: 404 }; "no such host")]
fn requests_outside_the_limits_are_refused(case: LimitCase) {
    on_one_thread(async move {
        let target = ScriptTarget::start(vec![vec![send(good("x"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let answer = call(host.settings.caller_address, case.request).await;
        assert_eq!(answer.status, case.status, "{answer:?}");
        assert!(target.heads.borrow().is_empty());
    });
}

/// Guards against headers that are larger than the configuration allows.
#[test]
fn headers_that_are_too_large_are_refused() {
    on_one_thread(async {
        let target = ScriptTarget::start(vec![vec![send(good("x"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let large = "v".repeat(3_000);
        let request =
            request("a1").replace("x-remaining", &format!("x-large: {large}\r\nx-remaining"));
        let answer = call(host.settings.caller_address, &request).await;
        assert_eq!(answer.status, 431);
    });
}

/// Guards against targets that work on for a caller who has left.
#[test]
fn a_caller_that_leaves_ends_the_work() {
    on_one_thread(async {
        let target = ScriptTarget::start(vec![vec![Act::Wait(3_000), send(good("x"))]]).await;
        let host = start_host(ONCE, std::slice::from_ref(&target)).await;
        let mut caller = tokio::net::TcpStream::connect(host.settings.caller_address)
            .await
            .expect("the host listens");
        let sent = caller.write_all(request("a1").as_bytes()).await;
        sent.expect("the host reads");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(target.heads.borrow().len(), 1);
        drop(caller);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(target.left.get(), 1);
        assert_eq!(host.requests(), 0);
    });
}

/// Guards against a stop that hangs or cuts a stream: both happened when the stop channel stayed locked and when a
/// request counted as ended with its head.
#[test]
fn a_planned_stop_lets_a_stream_end() {
    on_one_thread(async {
        let mut acts = vec![send(format!("{}{}", stream_head(), chunk(&event(1))))];
        acts.push(Act::Wait(500));
        acts.push(send(format!("{}0\r\n\r\n", chunk(&event(2)))));
        let target = ScriptTarget::start(vec![acts]).await;
        let host = start_host(STREAM, std::slice::from_ref(&target)).await;
        let address = host.settings.caller_address;
        let caller = tokio::task::spawn_local(async move { call(address, &request("a1")).await });
        tokio::time::sleep(Duration::from_millis(200)).await;
        for step in [
            lw_relay::StopStep::Announce,
            lw_relay::StopStep::CloseIdle,
            lw_relay::StopStep::CloseListener,
        ] {
            host.stop_at(step);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(host.requests(), 1);
        assert!(tokio::net::TcpStream::connect(address).await.is_err());
        let ready = call(
            host.settings.ready_address,
            "GET /ready HTTP/1.1\r\nhost: h\r\n\r\n",
        )
        .await;
        assert_eq!(ready.status, 503);
        let answer = caller.await.expect("the caller ends");
        assert!(answer.whole, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!((host.requests(), host.connections()), (0, 0));
    });
}

/// Guards against a directory that names a host before it knows a configuration, and against false readiness.
#[test]
fn a_host_without_a_configuration_is_not_ready() {
    on_one_thread(async {
        let host = start_host(ONCE, &[]).await;
        let ask = "GET /entry?name=a.example&region=north&zone=z HTTP/1.1\r\nhost: h\r\n\r\n";
        let answer = call(host.settings.directory_address, ask).await;
        assert_eq!(answer.status, 200);
        assert!(
            answer
                .body
                .contains(&host.settings.caller_address.to_string())
        );
        host.stop_at(lw_relay::StopStep::Announce);
        let answer = call(host.settings.directory_address, ask).await;
        assert_eq!(answer.status, 503);
    });
}

/// Returns the beat of a host that says it has room.
fn beat_with_room(host: &lw_relay::Host) -> lw_mesh::Heartbeat {
    lw_mesh::Heartbeat {
        address: lw_mesh::HostAddress {
            host: host.settings.host.clone(),
            ip: host.settings.ip,
            zone: host.settings.zone.clone(),
            region: host.settings.region.clone(),
            started_ms: 1,
        },
        status: lw_mesh::HostStatus {
            stage: lw_mesh::Stage::Ready,
            as_of: 0,
            platform_age_ms: 0,
            capacity_permille: 250,
            services: vec![lw_mesh::ServiceUsage {
                service: 1,
                wait_ms: 0,
                targets: 1,
                free_slots: 8,
            }],
        },
        targets: Vec::new(),
        placed: Vec::new(),
    }
}

struct TwoHostsCase {
    acts: Vec<Act>,
    status: u16,
    arrivals: usize,
}

// Guards against a second host that sends a request to the target on which the first one has tried it: a recorded day
// showed both sends at the same target.
#[test_case(TwoHostsCase { acts: failure(), status: 500, arrivals: 1 }; "a failure")]
#[test_case(TwoHostsCase { acts: not_run(), status: 503, arrivals: 1 }; "a rejection")]
fn a_second_host_does_not_try_the_same_target(case: TwoHostsCase) {
    on_one_thread(async move {
        let target = ScriptTarget::start(vec![case.acts]).await;
        let targets = std::slice::from_ref(&target);
        let first = start_host(REPEATABLE, targets).await;
        let second = start_host(REPEATABLE, targets).await;
        let heard = first
            .hosts
            .borrow_mut()
            .record_heartbeat(first.clock.now(), &beat_with_room(&second));
        assert!(heard);
        let answer = call(first.settings.caller_address, &request("a1")).await;
        assert_eq!(answer.status, case.status, "{answer:?}");
        assert_eq!(target.heads.borrow().len(), case.arrivals);
    });
}

/// Guards against a host without a budget: it covers no target of the service, and the hosts that cover them counted its
/// requests. A tenth of the lookups of a quiet day ended with a failure that another target would have spared them.
#[test]
fn a_host_without_targets_may_repeat() {
    on_one_thread(async {
        let broken = ScriptTarget::start(vec![failure()]).await;
        let sound = ScriptTarget::start(vec![vec![send(good("x"))]]).await;
        let first = start_host(REPEATABLE, &[]).await;
        let others = [
            start_host(REPEATABLE, std::slice::from_ref(&broken)).await,
            start_host(REPEATABLE, std::slice::from_ref(&sound)).await,
        ];
        first.bounds.set(lw_relay::Bounds {
            retry_ratio: 2.0,
            retry_extra: 0.0,
            ..first.bounds.get()
        });
        for id in 0..8 {
            for other in &others {
                let beat = beat_with_room(other);
                first
                    .hosts
                    .borrow_mut()
                    .record_heartbeat(first.clock.now(), &beat);
            }
            let answer = call(first.settings.caller_address, &request(&format!("a{id}"))).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        assert!(!broken.heads.borrow().is_empty(), "no request was repeated");
    });
}

/// Guards against repeats that no host counts: those through another host were free, and on a day with crashing targets
/// 571 repeats were sent where 568 were allowed.
#[test]
fn repeats_through_another_host_use_the_budget() {
    on_one_thread(async {
        let broken = ScriptTarget::start(vec![vec![Act::Reset]]).await;
        let other = ScriptTarget::start(vec![vec![send(good("x"))]]).await;
        let first = start_host(REPEATABLE, std::slice::from_ref(&broken)).await;
        // The second host also knows the target that the first one has tried.
        let second = start_host(REPEATABLE, &[broken, other.clone()]).await;
        let bounds = lw_relay::Bounds {
            retry_ratio: 0.0,
            retry_extra: 12.0,
            ..first.bounds.get()
        };
        first.bounds.set(bounds);
        second.bounds.set(bounds);
        let mut statuses = Vec::new();
        for id in 0..8 {
            let heard = first
                .hosts
                .borrow_mut()
                .record_heartbeat(first.clock.now(), &beat_with_room(&second));
            assert!(heard || id > 0);
            first.plan().targets[0][0].load.borrow_mut().health = lw_relay::TargetHealth::default();
            let answer = call(first.settings.caller_address, &request(&format!("a{id}"))).await;
            statuses.push(answer.status);
        }
        // A young host takes an eighth of 12 repeats, and gives out 0.7 of that: one.
        assert_eq!(other.heads.borrow().len(), 1, "{statuses:?}");
        assert_eq!(statuses.iter().filter(|status| **status == 502).count(), 7);
    });
}
