//! Requests that are in flight while the plan changes.

use std::time::Duration;

use lw_base::prelude::*;
use lw_relay::{Plan, Route, RouteTable};
use test_case::test_case;

use crate::support::*;

/// The time until the first target resets the connection, in milliseconds; the plan changes after half of it.
const RESET_AFTER_MS: u64 = 200;

struct Case {
    options: RouteOptions,
    /// What the first target sends before it resets the connection.
    first_sends: Option<String>,
    change: fn(&mut Plan),
    /// The number of requests that reach the second target.
    retries: usize,
}

fn no_change(_: &mut Plan) {}

fn drain_second(plan: &mut Plan) {
    plan.targets[0][1].is_in_service = false;
}

fn remove_second(plan: &mut Plan) {
    plan.targets[0].truncate(1);
}

fn evacuate_zone(plan: &mut Plan) {
    plan.evacuated.insert("z".into());
}

fn disallow_region(plan: &mut Plan) {
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

/// Inserts another service before the request's service, so that the key of the latter changes.
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

// Guards against retries and resumes that use the plan from the arrival of the request: they reached targets that had
// announced their stop, evacuated zones, and regions that the route no longer allowed.
#[test_case(&Case { options: REPEATABLE, first_sends: None, change: no_change, retries: 1 }; "a retry without a change")]
#[test_case(&Case { options: REPEATABLE, first_sends: None, change: drain_second, retries: 0 }; "a retry after the target announced its stop")]
#[test_case(&Case { options: REPEATABLE, first_sends: None, change: remove_second, retries: 0 }; "a retry after the target was removed")]
#[test_case(&Case { options: REPEATABLE, first_sends: None, change: evacuate_zone, retries: 0 }; "a retry after the evacuation of the zone")]
#[test_case(&Case { options: REPEATABLE, first_sends: None, change: disallow_region, retries: 0 }; "a retry after the region was disallowed")]
#[test_case(&Case { options: REPEATABLE, first_sends: None, change: remove_service, retries: 0 }; "a retry after the service was removed")]
#[test_case(&Case { options: REPEATABLE, first_sends: None, change: renumber_services, retries: 1 }; "a retry after the key of the service changed")]
#[test_case(&Case { options: RESUMABLE, first_sends: stream_start(), change: no_change, retries: 1 }; "a resume without a change")]
#[test_case(&Case { options: RESUMABLE, first_sends: stream_start(), change: drain_second, retries: 0 }; "a resume after the target announced its stop")]
#[test_case(&Case { options: RESUMABLE, first_sends: stream_start(), change: evacuate_zone, retries: 0 }; "a resume after the evacuation of the zone")]
#[test_case(&Case { options: RESUMABLE, first_sends: stream_start(), change: disallow_region, retries: 0 }; "a resume after the region was disallowed")]
fn a_retry_uses_the_current_plan(case: &Case) {
    on_one_thread(async {
        let mut actions: Vec<Action> = case.first_sends.iter().cloned().map(Action::Send).collect();
        actions.extend([Action::Wait(RESET_AFTER_MS), Action::Reset]);
        let again = match case.first_sends {
            Some(_) => format!("{}{}0\r\n\r\n", stream_head(), chunk(&event(3))),
            None => ok_response("again"),
        };
        let targets = [
            ScriptedTarget::start(vec![actions]).await,
            ScriptedTarget::start(vec![vec![Action::Send(again)]]).await,
        ];
        let host = start_host(case.options, &targets).await;
        // The load on the second target makes the first one preferred.
        host.plan().targets[0][1].load.borrow_mut().running = 1;
        let address = host.settings.caller_address;
        let caller = tokio::task::spawn_local(async move { call(address, &request("a1")).await });
        tokio::time::sleep(Duration::from_millis(RESET_AFTER_MS / 2)).await;
        let mut plan = (*host.plan()).clone();
        (case.change)(&mut plan);
        host.set_plan(plan);
        let answer = caller.await.expect("the caller task completes");
        let is_served = answer.status == 200 && answer.is_complete;
        assert_eq!(is_served, case.retries > 0, "{answer:?}");
        assert_eq!(targets[1].request_heads.borrow().len(), case.retries);
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
    plan.targets[0][0].is_in_service = false;
}

// Guards against a queued request that takes a slot at a target that has announced its stop meanwhile.
#[test_case(&WaitCase { change: free_first, status: 200 }; "a slot becomes free")]
#[test_case(&WaitCase { change: free_and_drain_first, status: 503 }; "the target announces its stop")]
fn a_waiting_request_uses_the_current_plan(case: &WaitCase) {
    on_one_thread(async {
        let target = ScriptedTarget::start(vec![vec![Action::Send(ok_response("x"))]]).await;
        let options = RouteOptions {
            // The longest wait is a fraction of `latency_goal_ms`.
            latency_goal_ms: 4_000,
            ..ONCE
        };
        let host = start_host(options, std::slice::from_ref(&target)).await;
        host.plan().targets[0][0].load.borrow_mut().running = 1_000;
        let address = host.settings.caller_address;
        let caller = tokio::task::spawn_local(async move { call(address, &request("a1")).await });
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut plan = (*host.plan()).clone();
        (case.change)(&mut plan);
        host.set_plan(plan);
        let answer = caller.await.expect("the caller task completes");
        assert_eq!(answer.status, case.status, "{answer:?}");
    });
}

/// Guards against a host that was suspended while a request waited, and sends it after its deadline.
#[test]
fn a_request_is_not_sent_after_its_deadline() {
    on_one_thread(async {
        let target = ScriptedTarget::start(vec![vec![Action::Send(ok_response("x"))]]).await;
        let options = RouteOptions {
            latency_goal_ms: 4_000,
            ..ONCE
        };
        let host = start_host(options, std::slice::from_ref(&target)).await;
        let load = host.plan().targets[0][0].load.clone();
        load.borrow_mut().running = 1_000;
        let address = host.settings.caller_address;
        let caller = tokio::task::spawn_local(async move { call(address, &request("a1")).await });
        tokio::time::sleep(Duration::from_millis(100)).await;
        load.borrow_mut().running = 0;
        // The request may take 1,500 ms.
        std::thread::sleep(Duration::from_millis(1_600));
        let answer = caller.await.expect("the caller task completes");
        assert_eq!(answer.status, 503, "{answer:?}");
        assert_eq!(target.request_heads.borrow().len(), 0);
    });
}
