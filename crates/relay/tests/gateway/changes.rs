//! Requests that are open while the plan changes.

use std::time::Duration;

use lw_base::prelude::*;
use lw_relay::{Plan, Route, RouteTable};
use test_case::test_case;

use crate::support::*;

/// How long the first target works before it fails, in milliseconds; the plan changes half-way.
const FAILS_AFTER_MS: u64 = 200;

struct Case {
    kind: Kind,
    /// What the first target does before it resets the connection.
    sends: Option<String>,
    change: fn(&mut Plan),
    /// The requests that reach the second target.
    repeats: usize,
}

fn no_change(_: &mut Plan) {}

fn drain_second(plan: &mut Plan) {
    plan.targets[0][1].takes_work = false;
}

fn remove_second(plan: &mut Plan) {
    plan.targets[0].truncate(1);
}

fn evacuate(plan: &mut Plan) {
    plan.evacuated.insert("z".into());
}

fn move_homes(plan: &mut Plan) {
    let routes: Vec<Route> = plan
        .routes
        .of_host("a.example")
        .map(|route| Route {
            allowed_regions: vec!["south".into()],
            ..(**route).clone()
        })
        .collect();
    plan.routes = RouteTable::new(routes);
}

fn remove_service(plan: &mut Plan) {
    plan.services = NamedArena::default();
    plan.targets = Vec::new();
}

/// Puts another service in front of the request's, so that its key becomes another one.
fn renumber_services(plan: &mut Plan) {
    let former = std::mem::take(&mut plan.services);
    let service = former[ServiceKey(0)].clone();
    let mut other = service.clone();
    other.name = "other".into();
    other.hash = 2;
    plan.services.push("other", other);
    plan.services.push("s", service);
    plan.targets.insert(0, Vec::new());
}

fn stream_start() -> Option<String> {
    Some(format!(
        "{}{}{}",
        stream_head(),
        chunk(&event(1)),
        chunk(&event(2))
    ))
}

// Guards against repeats and resumes by the plan of a request's arrival: they reached targets that had announced that
// they leave, zones that were evacuated and regions that were no home any more.
#[test_case(&Case { kind: REPEATABLE, sends: None, change: no_change, repeats: 1 }; "a repeat without a change")]
#[test_case(&Case { kind: REPEATABLE, sends: None, change: drain_second, repeats: 0 }; "a repeat after the target announced its stop")]
#[test_case(&Case { kind: REPEATABLE, sends: None, change: remove_second, repeats: 0 }; "a repeat after the target left")]
#[test_case(&Case { kind: REPEATABLE, sends: None, change: evacuate, repeats: 0 }; "a repeat after an evacuation")]
#[test_case(&Case { kind: REPEATABLE, sends: None, change: move_homes, repeats: 0 }; "a repeat after a stricter home")]
#[test_case(&Case { kind: REPEATABLE, sends: None, change: remove_service, repeats: 0 }; "a repeat after the service was removed")]
#[test_case(&Case { kind: REPEATABLE, sends: None, change: renumber_services, repeats: 1 }; "a repeat after services moved")]
#[test_case(&Case { kind: RESUMABLE, sends: stream_start(), change: no_change, repeats: 1 }; "a resume without a change")]
#[test_case(&Case { kind: RESUMABLE, sends: stream_start(), change: drain_second, repeats: 0 }; "a resume after the target announced its stop")]
#[test_case(&Case { kind: RESUMABLE, sends: stream_start(), change: evacuate, repeats: 0 }; "a resume after an evacuation")]
#[test_case(&Case { kind: RESUMABLE, sends: stream_start(), change: move_homes, repeats: 0 }; "a resume after a stricter home")]
fn a_repeat_follows_the_present_plan(case: &Case) {
    on_one_thread(async {
        let mut acts: Vec<Act> = case.sends.iter().cloned().map(Act::Send).collect();
        acts.extend([Act::Wait(FAILS_AFTER_MS), Act::Reset]);
        let again = match case.sends {
            Some(_) => format!("{}{}0\r\n\r\n", stream_head(), chunk(&event(3))),
            None => good("again"),
        };
        let targets = [
            ScriptTarget::start(vec![acts]).await,
            ScriptTarget::start(vec![vec![Act::Send(again)]]).await,
        ];
        let host = start_host(case.kind, &targets).await;
        // The first target is preferred.
        host.plan().targets[0][1].load.borrow_mut().running = 1;
        let address = host.settings.caller_address;
        let caller = tokio::task::spawn_local(async move { call(address, &request("a1")).await });
        tokio::time::sleep(Duration::from_millis(FAILS_AFTER_MS / 2)).await;
        let mut plan = (*host.plan()).clone();
        (case.change)(&mut plan);
        host.set_plan(plan);
        let answer = caller.await.expect("the caller ends");
        let is_served = answer.status == 200 && answer.whole;
        assert_eq!(is_served, case.repeats > 0, "{answer:?}");
        assert_eq!(targets[1].heads.borrow().len(), case.repeats);
    });
}

struct WaitCase {
    change: fn(&mut Plan),
    status: u16,
}

fn free_first(plan: &mut Plan) {
    plan.targets[0][0].load.borrow_mut().running = 0;
}

fn free_and_drain_first(plan: &mut Plan) {
    free_first(plan);
    plan.targets[0][0].takes_work = false;
}

// Guards against a waiting request that takes a place at a target which has announced its stop meanwhile.
#[test_case(&WaitCase { change: free_first, status: 200 }; "a place becomes free")]
#[test_case(&WaitCase { change: free_and_drain_first, status: 503 }; "the target announces its stop")]
fn a_waiting_request_follows_the_present_plan(case: &WaitCase) {
    on_one_thread(async {
        let target = ScriptTarget::start(vec![vec![Act::Send(good("x"))]]).await;
        let kind = Kind {
            // The wait is a part of the aim.
            latency_goal_ms: 4_000,
            ..ONCE
        };
        let host = start_host(kind, std::slice::from_ref(&target)).await;
        host.plan().targets[0][0].load.borrow_mut().running = 1_000;
        let address = host.settings.caller_address;
        let caller = tokio::task::spawn_local(async move { call(address, &request("a1")).await });
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut plan = (*host.plan()).clone();
        (case.change)(&mut plan);
        host.set_plan(plan);
        let answer = caller.await.expect("the caller ends");
        assert_eq!(answer.status, case.status, "{answer:?}");
    });
}
