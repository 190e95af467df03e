//! Non-idempotent requests (orders) that are repeated with the same idempotency key and must not run twice.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use uuid::Uuid;

use crate::faults::caller::{complete_answer, pick_process};
use crate::faults::check::Check;
use crate::faults::client::{Call, Ending, send};
use crate::faults::host::Process;
use crate::faults::test_cluster::TestCluster;

const MAX_ATTEMPTS: usize = 4;

/// An order and the results of its attempts so far.
struct Order {
    key: String,
    path: String,
    /// Whether every attempt so far had the outcome `not-run`.
    all_not_run: bool,
    answer: Option<Bytes>,
}

/// Sends an order and repeats it with the same key through the same and other hosts.
pub(crate) async fn send_order(cluster: &TestCluster, process: &Process, rng: &mut ChaCha8Rng) {
    let key = format!("{}.{}", process.region, Uuid::now_v7());
    let mut order = Order {
        path: format!("/order/any/{}", cluster.next_number()),
        key,
        all_not_run: true,
        answer: None,
    };
    if rng.random_bool(0.15) {
        return send_concurrently(cluster, &order, process, rng).await;
    }
    let mut process = process.clone();
    for attempt in 0..MAX_ATTEMPTS {
        send_attempt(cluster, &mut order, &process, attempt == 0).await;
        let may_repeat = order.answer.is_none() || rng.random_bool(0.3);
        if !may_repeat || rng.random_bool(0.2) {
            break;
        }
        let pause_ms = rng.random_range(0..2_000);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let region = if rng.random_bool(0.9) {
            Some(process.region)
        } else {
            None
        };
        if rng.random_bool(0.7) {
            process = pick_process(cluster, region, rng).unwrap_or(process);
        }
    }
    if order.all_not_run {
        cluster.observations.not_run_keys.lock().push(order.key);
    }
}

/// Sends two attempts with the same key at the same time.
async fn send_concurrently(
    cluster: &TestCluster,
    order: &Order,
    process: &Process,
    rng: &mut ChaCha8Rng,
) {
    let other = pick_process(cluster, Some(process.region), rng).unwrap_or_else(|| process.clone());
    let call = order.call(false);
    let (first, second) = tokio::join!(
        send(&cluster.observations, process, &call),
        send(&cluster.observations, &other, &call)
    );
    for (process, ending) in [(process, first), (&other, second)] {
        if let Some(answer) = complete_answer(cluster, process, &call, ending) {
            order.check_answer(cluster, &answer.body.unwrap_or_default());
        }
    }
}

async fn send_attempt(cluster: &TestCluster, order: &mut Order, process: &Process, is_first: bool) {
    let call = order.call(is_first);
    let ending = send(&cluster.observations, process, &call).await;
    let not_run = match &ending {
        Ending::Answer(answer) => answer.header("lacewingstile-outcome") == "not-run",
        Ending::NotConnected => true,
        Ending::Lost => false,
    };
    order.all_not_run &= not_run;
    if order.all_not_run {
        cluster.observations.check(
            Check::NotRunIsTrue,
            cluster.observations.runs_of(&order.key) == 0,
            || format!("{} ran and was answered not-run", order.key),
        );
    }
    let Some(answer) = complete_answer(cluster, process, &call, ending) else {
        return;
    };
    let body = answer.body.unwrap_or_default();
    order.check_answer(cluster, &body);
    if let Some(first) = &order.answer {
        cluster
            .observations
            .check(Check::WholeAnswer, *first == body, || {
                format!(
                    "{} was answered with {first:?}, then with {body:?}",
                    order.key
                )
            });
    }
    order.answer = Some(body);
}

impl Order {
    fn call(&self, is_first: bool) -> Call {
        let mut headers = vec![("idempotency-key", self.key.clone())];
        if is_first {
            headers.push(("lacewingstile-attempt", "1".to_owned()));
        }
        Call {
            kind: "order",
            method: Method::POST,
            path: format!("/s/portal{}", self.path),
            headers,
            body: "one drum".to_owned(),
            deadline_ms: 4_000,
        }
    }

    fn check_answer(&self, cluster: &TestCluster, body: &[u8]) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let is_for_order = body["key"] == self.key.as_str() && body["path"] == self.path.as_str();
        let runs = cluster.observations.runs_of(&self.key);
        cluster
            .observations
            .check(Check::WholeAnswer, is_for_order && runs >= 1, || {
                format!("{} ran {runs} times and was answered with {body}", self.key)
            });
    }
}
