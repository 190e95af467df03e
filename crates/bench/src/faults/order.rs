//! Orders, which must not run twice, with repeats of their keys.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use uuid::Uuid;

use crate::faults::caller::{pick, whole};
use crate::faults::check::Check;
use crate::faults::client::{Call, Ending, send};
use crate::faults::host::Process;
use crate::faults::world::World;

const ATTEMPTS: usize = 4;

/// One key and what its attempts have told so far.
struct Order {
    key: String,
    path: String,
    /// Whether each attempt so far was answered "not run".
    certain: bool,
    answer: Option<Bytes>,
}

/// Sends an order, and repeats its key through the same and other hosts.
pub(crate) async fn order(world: &World, process: &Process, rng: &mut ChaCha8Rng) {
    let key = format!("{}.{}", process.region, Uuid::now_v7());
    let mut order = Order {
        path: format!("/order/any/{}", world.next()),
        key,
        certain: true,
        answer: None,
    };
    if rng.random_bool(0.15) {
        return together(world, &order, process, rng).await;
    }
    let mut process = process.clone();
    for attempt in 0..ATTEMPTS {
        try_once(world, &mut order, &process, attempt == 0).await;
        let repeats = order.answer.is_none() || rng.random_bool(0.3);
        if !repeats || rng.random_bool(0.2) {
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
            process = pick(world, region, rng).unwrap_or(process);
        }
    }
    if order.certain {
        world.ledger.unrun_keys.lock().push(order.key);
    }
}

/// Sends two attempts with the same key at the same time.
async fn together(world: &World, order: &Order, process: &Process, rng: &mut ChaCha8Rng) {
    let other = pick(world, Some(process.region), rng).unwrap_or_else(|| process.clone());
    let call = order.call(false);
    let (first, second) = tokio::join!(
        send(&world.ledger, process, &call),
        send(&world.ledger, &other, &call)
    );
    for (process, ending) in [(process, first), (&other, second)] {
        if let Some(answer) = whole(world, process, &call, ending) {
            order.check_answer(world, &answer.body.unwrap_or_default());
        }
    }
}

async fn try_once(world: &World, order: &mut Order, process: &Process, is_first: bool) {
    let call = order.call(is_first);
    let ending = send(&world.ledger, process, &call).await;
    let not_run = match &ending {
        Ending::Answer(answer) => answer.header("lacewingstile-outcome") == "not-run",
        Ending::NotConnected => true,
        Ending::Lost => false,
    };
    order.certain &= not_run;
    if order.certain {
        world.ledger.check(
            Check::NotRunIsTrue,
            world.ledger.runs_of(&order.key) == 0,
            || format!("{} ran and was answered not-run", order.key),
        );
    }
    let Some(answer) = whole(world, process, &call, ending) else {
        return;
    };
    let body = answer.body.unwrap_or_default();
    order.check_answer(world, &body);
    if let Some(first) = &order.answer {
        world.ledger.check(Check::WholeAnswer, *first == body, || {
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

    fn check_answer(&self, world: &World, body: &[u8]) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let is_own = body["key"] == self.key.as_str() && body["path"] == self.path.as_str();
        let runs = world.ledger.runs_of(&self.key);
        world
            .ledger
            .check(Check::WholeAnswer, is_own && runs >= 1, || {
                format!("{} ran {runs} times and was answered with {body}", self.key)
            });
    }
}
