//! Callers, who send requests of every kind and check the answers.

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
use crate::faults::host::{Fate, Process};
use crate::faults::order::order;
use crate::faults::world::World;

/// Tokens of an answer; long enough for faults in the middle of a stream.
const TOKENS: usize = 24;
/// The longest pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 120;

/// Sends requests until the run stops.
pub(crate) async fn call(world: Arc<World>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !world.is_stopped() {
        let Some(process) = pick(&world, None, &mut rng) else {
            continue;
        };
        match rng.random_range(0..100) {
            0..30 => lookup(&world, &process, "portal", &mut rng).await,
            30..45 => lookup(&world, &process, "stock", &mut rng).await,
            45..60 => chat(&world, &process, "chat", 5_000, &mut rng).await,
            60..72 => chat(&world, &process, "review", 8_000, &mut rng).await,
            _ => order(&world, &process, &mut rng).await,
        }
        let pause_ms = rng.random_range(0..MAX_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Picks a running host that callers may use: a leaving one no longer after it told them.
pub(crate) fn pick(world: &World, region: Option<&str>, rng: &mut ChaCha8Rng) -> Option<Process> {
    let mut processes = world.processes();
    processes.retain(|process| region.is_none_or(|region| process.region == region));
    processes.choose(rng).cloned()
}

/// Returns the headers of a customer and the name that the text of the request carries.
fn customer(rng: &mut ChaCha8Rng) -> (Vec<(&'static str, String)>, &'static str) {
    let name = match rng.random_range(0..5) {
        0 => "bound-east",
        1 => "bound-west",
        2 => "mover",
        _ => return (Vec::new(), "any"),
    };
    (vec![("x-customer", name.to_owned())], name)
}

async fn lookup(world: &World, process: &Process, service: &'static str, rng: &mut ChaCha8Rng) {
    let (headers, name) = customer(rng);
    let text = format!("/look/{name}/{}", world.next());
    let call = Call {
        kind: service,
        method: Method::GET,
        path: format!("/s/{service}{text}"),
        headers,
        body: String::new(),
        deadline_ms: 3_000,
    };
    let ending = send(&world.ledger, process, &call).await;
    let Some(answer) = whole(world, process, &call, ending) else {
        return;
    };
    world.served(process.region).fetch_add(1, Ordering::Relaxed);
    let body: Value = serde_json::from_str(&answer.text()).unwrap_or_default();
    world
        .ledger
        .check(Check::WholeAnswer, body["path"] == text.as_str(), || {
            format!("{text} was answered with {body}")
        });
}

async fn chat(
    world: &World,
    process: &Process,
    service: &'static str,
    deadline_ms: u64,
    rng: &mut ChaCha8Rng,
) {
    let (headers, name) = customer(rng);
    let prompt = format!("prompt of {name} number {}", world.next());
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
    let ending = send(&world.ledger, process, &call).await;
    let Some(answer) = whole(world, process, &call, ending) else {
        return;
    };
    let text = answer.text();
    let content = if stream {
        streamed(&text)
    } else {
        completed(&text)
    };
    world.ledger.check(
        Check::WholeAnswer,
        content == whole_answer(&prompt, TOKENS),
        || format!("{prompt} was answered with {text}"),
    );
}

fn completed(text: &str) -> String {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    let content = body["choices"][0]["message"]["content"].as_str();
    content.unwrap_or("").to_owned()
}

fn streamed(text: &str) -> String {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    chunks
        .filter_map(|chunk| {
            let content = chunk["choices"][0]["delta"]["content"].as_str();
            content.map(str::to_owned)
        })
        .collect()
}

/// Counts the ending, checks that it is exactly one outcome, and returns an answer that claims to be whole.
pub(crate) fn whole(
    world: &World,
    process: &Process,
    call: &Call,
    ending: Ending,
) -> Option<Answer> {
    let ledger = &world.ledger;
    let Ending::Answer(answer) = ending else {
        let name = if matches!(ending, Ending::Lost) {
            "lost"
        } else {
            "not connected"
        };
        ledger.ended(call.kind, name.to_owned());
        return None;
    };
    check_cut_region(world, process, call, &answer);
    let outcome = answer.header("lacewingstile-outcome").to_owned();
    let is_stream = answer.header("content-type") == "text/event-stream";
    if answer.body.is_none() || (is_stream && answer.text().contains("event: error")) {
        ledger.check(
            Check::OneOutcome,
            is_stream || process.fate() == Fate::Killed,
            || format!("{} {} got an aborted body", call.kind, call.path),
        );
        ledger.ended(call.kind, "cut with an error".to_owned());
        return None;
    }
    if answer.status == 200 {
        ledger.check(
            Check::OneOutcome,
            is_stream || outcome == "complete",
            || {
                format!(
                    "{} {} has status 200 and outcome {outcome:?}",
                    call.kind, call.path
                )
            },
        );
        ledger.ended(call.kind, "complete".to_owned());
        return Some(answer);
    }
    let kind = answer.header("lacewingstile-error");
    let is_one = ["not-run", "unknown"].contains(&outcome.as_str()) && !kind.is_empty();
    ledger.check(Check::OneOutcome, is_one, || {
        format!(
            "{} {} has status {} and outcome {outcome:?}",
            call.kind, call.path, answer.status
        )
    });
    ledger.ended(call.kind, format!("{outcome} {kind}"));
    None
}

/// Checks that a host whose region is cut off from the key-value service does not refuse for that.
fn check_cut_region(world: &World, process: &Process, call: &Call, answer: &Answer) {
    // A new host has no configuration until a peer gave it one. The stock service has targets in the other region only,
    // whose hosts may be new.
    let is_cut = world.cut_regions.lock().contains(&process.region);
    if is_cut && call.kind != "stock" && process.started.elapsed() > Duration::from_secs(12) {
        let kind = answer.header("lacewingstile-error");
        world.ledger.check(
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
