//! Simulated callers that send requests of every kind and check the responses.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use lw_stand::whole_answer;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde_json::{Value, json};

use crate::faults::check::Check;
use crate::faults::client::{Answer, Call, Ending, send};
use crate::faults::host::{Process, ProcessState};
use crate::faults::order::send_order;
use crate::faults::test_cluster::TestCluster;

/// Tokens of a response; enough that faults occur in the middle of a stream.
const TOKENS: usize = 24;
/// Maximum pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 120;

/// Sends random requests until the run stops.
pub(crate) async fn run_caller(cluster: Arc<TestCluster>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !cluster.is_stopped() {
        let Some(process) = pick_process(&cluster, None, &mut rng) else {
            continue;
        };
        match rng.random_range(0..100) {
            0..30 => send_lookup(&cluster, &process, "portal", &mut rng).await,
            30..45 => send_lookup(&cluster, &process, "stock", &mut rng).await,
            45..60 => send_chat(&cluster, &process, "chat", 5_000, &mut rng).await,
            60..72 => send_chat(&cluster, &process, "review", 8_000, &mut rng).await,
            _ => send_order(&cluster, &process, &mut rng).await,
        }
        let pause_ms = rng.random_range(0..MAX_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Picks a random process that accepts callers, optionally in one region.
///
/// A draining process is no longer picked once callers have had time to switch to another host.
pub(crate) fn pick_process(
    cluster: &TestCluster,
    region: Option<&str>,
    rng: &mut ChaCha8Rng,
) -> Option<Process> {
    let mut processes = cluster.processes();
    processes.retain(|process| region.is_none_or(|region| process.region == region));
    processes.choose(rng).cloned()
}

/// Returns the headers of a random customer and the customer name to put into the path or prompt.
fn random_customer(rng: &mut ChaCha8Rng) -> (Vec<(&'static str, String)>, &'static str) {
    let name = match rng.random_range(0..5) {
        0 => "bound-east",
        1 => "bound-west",
        2 => "mover",
        _ => return (Vec::new(), "any"),
    };
    (vec![("x-customer", name.to_owned())], name)
}

async fn send_lookup(
    cluster: &TestCluster,
    process: &Process,
    service: &'static str,
    rng: &mut ChaCha8Rng,
) {
    let (headers, name) = random_customer(rng);
    let text = format!("/look/{name}/{}", cluster.next_number());
    let call = Call {
        kind: service,
        method: Method::GET,
        path: format!("/s/{service}{text}"),
        headers,
        body: String::new(),
        deadline_ms: 3_000,
    };
    let ending = send(&cluster.observations, process, &call).await;
    let Some(answer) = complete_answer(cluster, process, &call, ending) else {
        return;
    };
    cluster
        .complete_lookups(process.region)
        .fetch_add(1, Ordering::Relaxed);
    let body: Value = serde_json::from_str(&answer.text()).unwrap_or_default();
    cluster
        .observations
        .check(Check::WholeAnswer, body["path"] == text.as_str(), || {
            format!("{text} was answered with {body}")
        });
}

async fn send_chat(
    cluster: &TestCluster,
    process: &Process,
    service: &'static str,
    deadline_ms: u64,
    rng: &mut ChaCha8Rng,
) {
    let (headers, name) = random_customer(rng);
    let prompt = format!("prompt of {name} number {}", cluster.next_number());
    let stream = rng.random_bool(0.5);
    let call = Call {
        kind: if stream { "stream" } else { service },
        method: Method::POST,
        path: "/v1/chat/completions".to_owned(),
        headers,
        body: json!({
            "model": service, "messages": [{"role": "user", "content": prompt}],
            "max_tokens": TOKENS, "stream": stream,
        })
        .to_string(),
        deadline_ms,
    };
    let ending = send(&cluster.observations, process, &call).await;
    let Some(answer) = complete_answer(cluster, process, &call, ending) else {
        return;
    };
    let text = answer.text();
    let content = if stream {
        stream_content(&text)
    } else {
        completion_content(&text)
    };
    cluster.observations.check(
        Check::WholeAnswer,
        content == whole_answer(&prompt, TOKENS),
        || format!("{prompt} was answered with {text}"),
    );
}

fn completion_content(text: &str) -> String {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    let content = body["choices"][0]["message"]["content"].as_str();
    content.unwrap_or("").to_owned()
}

fn stream_content(text: &str) -> String {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    chunks
        .filter_map(|chunk| {
            let content = chunk["choices"][0]["delta"]["content"].as_str();
            content.map(str::to_owned)
        })
        .collect()
}

/// Counts how a request ended, checks that it has exactly one outcome, and returns the answer if it is complete.
pub(crate) fn complete_answer(
    cluster: &TestCluster,
    process: &Process,
    call: &Call,
    ending: Ending,
) -> Option<Answer> {
    let observations = &cluster.observations;
    let Ending::Answer(answer) = ending else {
        let name = if matches!(ending, Ending::Lost) {
            "lost"
        } else {
            "not connected"
        };
        observations.count_ending(call.kind, name.to_owned());
        return None;
    };
    check_partitioned_region(cluster, process, call, &answer);
    let outcome = answer.header("lacewingstile-outcome").to_owned();
    let is_stream = answer.header("content-type") == "text/event-stream";
    if answer.body.is_none() || (is_stream && answer.text().contains("event: error")) {
        observations.check(
            Check::OneOutcome,
            is_stream || process.state() == ProcessState::Killed,
            || format!("{} {} got an aborted body", call.kind, call.path),
        );
        observations.count_ending(call.kind, "cut with an error".to_owned());
        return None;
    }
    if answer.status == 200 {
        observations.check(
            Check::OneOutcome,
            is_stream || outcome == "complete",
            || {
                format!(
                    "{} {} has status 200 and outcome {outcome:?}",
                    call.kind, call.path
                )
            },
        );
        observations.count_ending(call.kind, "complete".to_owned());
        return Some(answer);
    }
    let kind = answer.header("lacewingstile-error");
    let is_valid_rejection = ["not-run", "unknown"].contains(&outcome.as_str()) && !kind.is_empty();
    observations.check(Check::OneOutcome, is_valid_rejection, || {
        format!(
            "{} {} has status {} and outcome {outcome:?}",
            call.kind, call.path, answer.status
        )
    });
    observations.count_ending(call.kind, format!("{outcome} {kind}"));
    None
}

/// Checks that a host does not reject requests because its region is partitioned from the key-value service.
fn check_partitioned_region(
    cluster: &TestCluster,
    process: &Process,
    call: &Call,
    answer: &Answer,
) {
    // A new host has no configuration until a peer sends it one. The `stock` service has targets only in the west
    // region, whose hosts may be new.
    let is_cut = cluster.cut_regions.lock().contains(&process.region);
    if is_cut && call.kind != "stock" && process.started.elapsed() > Duration::from_secs(12) {
        let kind = answer.header("lacewingstile-error");
        cluster.observations.check(
            Check::CutRegionServes,
            kind != "isolated" && kind != "not_ready",
            || {
                format!(
                    "host {} refuses {} {} as {kind}",
                    process.host, call.kind, call.path
                )
            },
        );
    }
}
