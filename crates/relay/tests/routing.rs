//! Routes, the classification of answers, the steps of a planned stop, and the capacity of a host.

use http::StatusCode;
use lw_base::prelude::*;
use lw_flow::AttemptFailure;
use lw_relay::{
    AnswerForm, HeadFacts, HeadVerdict, Route, RouteTable, RunPolicy, StopStep, WeightedService,
    classify_head, stop_step, takes_request,
};
use test_case::test_case;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        services: Vec::new(),
        run_policy: RunPolicy::Once,
        form: AnswerForm::Whole,
        max_runs: 1,
        timeout_ms: 1_000,
        latency_goal_ms: 500,
        urgency: 0,
        allowed_regions: Vec::new(),
    }
}

struct RouteCase {
    host: &'static str,
    path: &'static str,
    found: Option<&'static str>,
}

// Guards against requests that run on the service of a shorter prefix or of another host name.
#[test_case(&RouteCase { host: "a.example", path: "/x/1", found: Some("short") }; "a prefix")]
#[test_case(&RouteCase { host: "a.example", path: "/x/y/1", found: Some("long") }; "the longest prefix")]
#[test_case(&RouteCase { host: "A.Example:8080", path: "/x/1", found: Some("short") }; "host names ignore case and port")]
#[test_case(&RouteCase { host: "a.example", path: "/x", found: None }; "a path without the final slash of the prefix")]
#[test_case(&RouteCase { host: "b.example", path: "/x/1", found: Some("other") }; "another host")]
#[test_case(&RouteCase { host: "c.example", path: "/x/1", found: None }; "an unknown host")]
fn requests_match_the_longest_prefix_of_their_host(case: &RouteCase) {
    let table = RouteTable::new([
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ]);
    let found = table.find(case.host, case.path);
    assert_eq!(found.map(|route| &*route.name), case.found);
}

/// Guards against a split that omits a service or sends it too many requests.
#[test]
fn a_split_follows_its_weights() {
    let weighted = |service, weight| WeightedService {
        service: ServiceKey(service),
        weight,
    };
    let route = Route {
        services: vec![weighted(0, 90.0), weighted(1, 10.0), weighted(2, 0.0)],
        ..route("split", "a", "/")
    };
    let mut counts = [0; 3];
    for step in 0..1_000 {
        let draw = f64::from(step) / 1_000.0;
        let service = route.service(draw).expect("there are services");
        counts[service.index()] += 1;
    }
    assert_eq!(counts, [900, 100, 0]);
}

const VALID: HeadFacts = HeadFacts {
    status: StatusCode::OK,
    same_attempt: Some(true),
    sealed: true,
    not_run: false,
    encoded: false,
    reused: true,
    joined: false,
};

struct HeadCase {
    head: HeadFacts,
    verdict: HeadVerdict,
}

const CROSSED: HeadVerdict = HeadVerdict::AttemptFailed(AttemptFailure::CrossedAnswer);
const INCOMPLETE: HeadVerdict = HeadVerdict::AttemptFailed(AttemptFailure::AnswerIncomplete);
const REFUSED: HeadVerdict = HeadVerdict::AttemptFailed(AttemptFailure::TargetRefused);

// Guards against answers of other requests, successes without a seal, and "not run" without proof.
#[test_case(&HeadCase { head: VALID, verdict: HeadVerdict::Answer }; "a sealed answer to the attempt")]
#[test_case(&HeadCase { head: HeadFacts { same_attempt: Some(false), ..VALID }, verdict: CROSSED }; "the answer to another attempt")]
#[test_case(&HeadCase { head: HeadFacts { same_attempt: None, ..VALID }, verdict: CROSSED }; "a success without an id")]
#[test_case(&HeadCase { head: HeadFacts { sealed: false, ..VALID }, verdict: CROSSED }; "a success without a seal")]
#[test_case(&HeadCase { head: HeadFacts { encoded: true, ..VALID }, verdict: CROSSED }; "an encoded body")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::INTERNAL_SERVER_ERROR, ..VALID }, verdict: HeadVerdict::TargetError }; "a failure of the target")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::from_u16(600).expect("three digits"), ..VALID }, verdict: INCOMPLETE }; "a status that HTTP does not define")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::BAD_REQUEST, ..VALID }, verdict: HeadVerdict::Answer }; "a client error of the request")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::BAD_REQUEST, same_attempt: None, ..VALID }, verdict: CROSSED }; "a client error without an id on a used connection")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::BAD_REQUEST, same_attempt: None, reused: false, ..VALID }, verdict: HeadVerdict::Answer }; "a client error without an id on a new connection")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::INTERNAL_SERVER_ERROR, same_attempt: None, ..VALID }, verdict: CROSSED }; "a failure without an id on a used connection")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::SERVICE_UNAVAILABLE, not_run: true, sealed: false, ..VALID }, verdict: REFUSED }; "a full target")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::SERVICE_UNAVAILABLE, not_run: true, sealed: false, same_attempt: None, reused: false, ..VALID }, verdict: REFUSED }; "a full target on a new connection, without an id")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::SERVICE_UNAVAILABLE, not_run: true, sealed: false, same_attempt: None, ..VALID }, verdict: CROSSED }; "a full target on a used connection, without an id")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::SERVICE_UNAVAILABLE, not_run: true, sealed: false, same_attempt: Some(false), ..VALID }, verdict: CROSSED }; "a full target, to another attempt")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::MISDIRECTED_REQUEST, sealed: false, same_attempt: Some(true), ..VALID }, verdict: REFUSED }; "another incarnation")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::MISDIRECTED_REQUEST, sealed: false, same_attempt: None, reused: false, ..VALID }, verdict: REFUSED }; "another incarnation on a new connection")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::MISDIRECTED_REQUEST, sealed: false, same_attempt: None, ..VALID }, verdict: CROSSED }; "a rejection without an id on a used connection")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::SERVICE_UNAVAILABLE, not_run: true, joined: true, reused: false, ..VALID }, verdict: CROSSED }; "a rejection that breaks off in its head")]
#[test_case(&HeadCase { head: HeadFacts { status: StatusCode::SERVICE_UNAVAILABLE, ..VALID }, verdict: HeadVerdict::TargetError }; "a 503 without the proof may have run")]
fn heads_are_accepted_only_with_proof(case: &HeadCase) {
    assert_eq!(classify_head(case.head), case.verdict);
}

// Guards against answers that are joined with an earlier one, and against usual header values that are taken for such.
#[test_case("1HTTP/1.1 200 OK", true; "after a value")]
#[test_case("BuHTTP/1.0 503", true; "at the end of a reason")]
#[test_case("HTTP/1.1 proxy.example", false; "a proxy")]
#[test_case("HTTP/1.1", false; "a version")]
#[test_case("HTTP/1.1 20", false; "a part")]
#[test_case("", false; "no text")]
fn status_lines_are_found_in_texts(text: &str, is_found: bool) {
    assert_eq!(lw_relay::holds_status_line(text.as_bytes()), is_found);
}

struct StopCase {
    stopped_ms: u64,
    requests: u32,
    connections: u32,
    step: StopStep,
}

// Guards against aborted requests, and against a process that is killed because it does not exit in time.
#[test_case(&StopCase { stopped_ms: 0, requests: 0, connections: 0, step: StopStep::Announce }; "the stop is announced first")]
#[test_case(&StopCase { stopped_ms: 2_500, requests: 9, connections: 9, step: StopStep::CloseIdle }; "idle connections close next")]
#[test_case(&StopCase { stopped_ms: 5_000, requests: 1, connections: 1, step: StopStep::CloseListener }; "a running request completes")]
#[test_case(&StopCase { stopped_ms: 3_100, requests: 0, connections: 0, step: StopStep::Exit }; "no request is left")]
#[test_case(&StopCase { stopped_ms: 3_100, requests: 0, connections: 2, step: StopStep::CloseListener }; "connections without a request are left")]
#[test_case(&StopCase { stopped_ms: 4_100, requests: 0, connections: 2, step: StopStep::Exit }; "connections stay without a request")]
#[test_case(&StopCase { stopped_ms: 7_705, requests: 5, connections: 5, step: StopStep::CloseListener }; "a request ends at its deadline")]
#[test_case(&StopCase { stopped_ms: 7_720, requests: 5, connections: 5, step: StopStep::EndRequests }; "open requests are answered")]
#[test_case(&StopCase { stopped_ms: 7_720, requests: 0, connections: 5, step: StopStep::Exit }; "all answers are written")]
#[test_case(&StopCase { stopped_ms: 7_800, requests: 5, connections: 5, step: StopStep::Exit }; "the grace period ends")]
fn a_planned_stop_follows_its_steps(case: &StopCase) {
    assert_eq!(
        stop_step(case.stopped_ms, 8_000, case.requests, case.connections),
        case.step
    );
}

/// Guards against a step of a stop that is taken late: each call to `next_step_ms` reaches the next step.
#[test]
fn the_steps_of_a_planned_stop_are_taken_in_time() {
    const GRACE_MS: u64 = 8_000;
    let mut stopped_ms = 0;
    let mut steps = vec![(0, stop_step(0, GRACE_MS, 1, 1))];
    while let Some((_, last)) = steps.last()
        && *last != StopStep::Exit
    {
        stopped_ms += lw_relay::next_step_ms(stopped_ms, GRACE_MS);
        let step = stop_step(stopped_ms, GRACE_MS, 1, 1);
        if step != *last {
            steps.push((stopped_ms, step));
        }
    }
    let expected = [
        (0, StopStep::Announce),
        (2_000, StopStep::CloseIdle),
        (3_000, StopStep::CloseListener),
        (7_710, StopStep::EndRequests),
        (7_750, StopStep::Exit),
    ];
    assert_eq!(steps, expected);
}

struct LastRequestCase {
    stopped_ms: u64,
    remaining_ms: u64,
    is_taken: bool,
}

// Guards against a stopping host that takes a request which it cannot complete, and against one that refuses requests of
// callers who could not know of the stop. The grace period is 8 s.
#[test_case(&LastRequestCase { stopped_ms: 0, remaining_ms: 12_000, is_taken: true }; "the stop begins")]
#[test_case(&LastRequestCase { stopped_ms: 1_999, remaining_ms: 12_000, is_taken: true }; "the stop is being announced")]
#[test_case(&LastRequestCase { stopped_ms: 2_000, remaining_ms: 12_000, is_taken: false }; "a long request after the announcement")]
#[test_case(&LastRequestCase { stopped_ms: 2_000, remaining_ms: 5_700, is_taken: true }; "a request that ends in time")]
#[test_case(&LastRequestCase { stopped_ms: 3_500, remaining_ms: 4_000, is_taken: true }; "a last request that ends in time")]
#[test_case(&LastRequestCase { stopped_ms: 3_500, remaining_ms: 4_300, is_taken: false }; "a last request that may not end in time")]
#[test_case(&LastRequestCase { stopped_ms: 9_000, remaining_ms: 10, is_taken: false }; "after the grace period")]
fn a_stopping_host_takes_requests_that_end_in_time(case: &LastRequestCase) {
    let is_taken = takes_request(case.stopped_ms, 8_000, case.remaining_ms);
    assert_eq!(is_taken, case.is_taken);
}

struct CapacityCase {
    cores: f64,
    link_mbps: f64,
    permille: u16,
}

// Guards against a host with a slow link that receives requests according to its processor alone.
#[test_case(&CapacityCase { cores: 0.5, link_mbps: 200.0, permille: 500 }; "limited by the processor")]
#[test_case(&CapacityCase { cores: 0.5, link_mbps: 10.0, permille: 150 }; "limited by the link")]
#[test_case(&CapacityCase { cores: 0.12, link_mbps: 1_000.0, permille: 120 }; "a small host")]
fn capacity_is_limited_by_processor_and_link(case: &CapacityCase) {
    assert_eq!(
        lw_relay::capacity_permille(case.cores, case.link_mbps),
        case.permille
    );
}
