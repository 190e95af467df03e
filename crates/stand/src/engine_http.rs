//! HTTP interface of the fake engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use lw_base::PriorityClass;
use lw_plat::EngineCommand;
use serde::Deserialize;
use tokio::sync::mpsc;

use crate::attempt_echo::{ATTEMPT_HEADER, echo_attempt, refuse_before_start};
use crate::engine_chat::{ChatRequest, DONE_EVENT, completion_body, token_event};
use crate::engine_job::{Job, JobItem, run_job};
use crate::engine_shared::EngineShared;
use crate::http_server::{ConnectionAborted, Reply, json_reply, query_number, read_body, reply};

/// Tokens buffered for a slow reader before decoding waits for it.
const TOKEN_BUFFER: usize = 16;

/// Time for the server to write earlier tokens before the connection is aborted.
const FLUSH_TIME: Duration = Duration::from_millis(2);

type JobReceiver = mpsc::Receiver<JobItem>;

#[derive(Deserialize)]
struct CancelBody {
    attempt: String,
}

/// Handles one request.
pub(crate) async fn handle_request(
    shared: Arc<EngineShared>,
    request: Request<Incoming>,
) -> Result<Reply, ConnectionAborted> {
    let (parts, body) = request.into_parts();
    let body = read_body(body).await?;
    shared.wait_while_paused().await;
    match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => chat(shared, &parts.headers, &body).await,
        (&Method::POST, "/v1/cancel") => Ok(cancel(&shared, &body)),
        (&Method::GET, "/load") => Ok(json_reply(StatusCode::OK, &shared.lagged_load())),
        (&Method::GET, "/cache-events") => Ok(cache_events(&shared, parts.uri.query())),
        (&Method::POST, "/command") => Ok(command(&shared, &body).await),
        (&Method::GET, "/state") => {
            let state = shared.commands.lock().state.clone();
            Ok(json_reply(StatusCode::OK, &state))
        }
        _ => Ok(reply(StatusCode::NOT_FOUND, Bytes::new())),
    }
}

async fn chat(
    shared: Arc<EngineShared>,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Reply, ConnectionAborted> {
    let Ok(request) = serde_json::from_slice::<ChatRequest>(body) else {
        return Ok(reply(StatusCode::BAD_REQUEST, Bytes::new()));
    };
    let is_loaded = shared.commands.lock().state.model == request.model;
    if shared.consume_refusal() || !is_loaded {
        return Ok(refuse_before_start(headers));
    }
    if request.resume_from > 0 && !shared.options.resume {
        return Ok(reply(StatusCode::BAD_REQUEST, Bytes::new()));
    }
    if let Some(observer) = &*shared.observer.lock() {
        observer(&request.prompt());
    }
    let wrong_attempt = shared.consume_wrong_attempt();
    let job = Job {
        attempt: header_text(headers, ATTEMPT_HEADER).to_owned(),
        priority: priority_of(headers),
        request: request.clone(),
    };
    let id = job.attempt.clone();
    let (sender, items) = mpsc::channel(TOKEN_BUFFER);
    tokio::spawn(run_job(shared, job, sender));
    let mut response = match request.stream {
        true => stream(items, id, request.model).await?,
        false => collect(items, &id, &request).await?,
    };
    echo_attempt(headers, &mut response, wrong_attempt);
    Ok(response)
}

/// The items of a streamed answer that are still to be sent.
struct TokenStream {
    next: Option<JobItem>,
    items: JobReceiver,
    id: String,
    model: String,
    ended: bool,
}

async fn stream(
    mut items: JobReceiver,
    id: String,
    model: String,
) -> Result<Reply, ConnectionAborted> {
    // The response headers are sent with the first token, so a job that ends before its first token aborts the
    // connection.
    let first = items.recv().await.ok_or(ConnectionAborted)?;
    let token_stream = TokenStream {
        next: Some(first),
        items,
        id,
        model,
        ended: false,
    };
    let frames = futures_util::stream::unfold(token_stream, next_frame);
    let mut response = Response::new(BoxBody::new(StreamBody::new(frames)));
    let content_type = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    Ok(response)
}

async fn next_frame(
    mut token_stream: TokenStream,
) -> Option<(Result<Frame<Bytes>, ConnectionAborted>, TokenStream)> {
    if token_stream.ended {
        return None;
    }
    let item = match token_stream.next.take() {
        Some(item) => Some(item),
        None => token_stream.items.recv().await,
    };
    if item.is_none() {
        // The server flushes earlier tokens while the body is pending; an immediate error would discard them.
        tokio::time::sleep(FLUSH_TIME).await;
    }
    token_stream.ended = !matches!(item, Some(JobItem::Token { .. }));
    let event = item.map(|item| encode_event(&item, &token_stream.id, &token_stream.model));
    Some((
        event.map(Frame::data).ok_or(ConnectionAborted),
        token_stream,
    ))
}

fn encode_event(item: &JobItem, id: &str, model: &str) -> Bytes {
    match item {
        JobItem::Token { text, is_last } => token_event(id, model, text, *is_last).into(),
        JobItem::End { .. } => Bytes::from_static(DONE_EVENT.as_bytes()),
    }
}

async fn collect(
    mut items: JobReceiver,
    id: &str,
    request: &ChatRequest,
) -> Result<Reply, ConnectionAborted> {
    let mut content = String::new();
    loop {
        match items.recv().await.ok_or(ConnectionAborted)? {
            JobItem::Token { text, .. } => content.push_str(&text),
            JobItem::End {
                prompt_tokens,
                cached_tokens,
            } => {
                let body = completion_body(id, request, &content, prompt_tokens, cached_tokens);
                return Ok(json_reply(StatusCode::OK, &body));
            }
        }
    }
}

fn cancel(shared: &EngineShared, body: &[u8]) -> Reply {
    let Ok(body) = serde_json::from_slice::<CancelBody>(body) else {
        return reply(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let Some(cancel) = shared.cancels.lock().remove(&body.attempt) else {
        return reply(StatusCode::NOT_FOUND, Bytes::new());
    };
    let _ = cancel.send(());
    reply(StatusCode::OK, Bytes::new())
}

fn cache_events(shared: &EngineShared, query: Option<&str>) -> Reply {
    let after = query_number(query, "after").unwrap_or(0);
    let lag = Duration::from_millis(shared.options.event_lag_ms);
    let until = Instant::now().checked_sub(lag);
    let gap_every = shared.options.event_gap_every;
    let events = until.map(|until| shared.cache.lock().events(after, until, gap_every));
    json_reply(StatusCode::OK, &events.unwrap_or_default())
}

async fn command(shared: &EngineShared, body: &[u8]) -> Reply {
    let Ok(command) = serde_json::from_slice::<EngineCommand>(body) else {
        return reply(StatusCode::BAD_REQUEST, Bytes::new());
    };
    if rejects_stale(shared, &command) {
        return reply(StatusCode::CONFLICT, Bytes::new());
    }
    if let Some(status) = load_weights(shared, &command).await {
        return reply(status, Bytes::new());
    }
    // A command with a higher fencing number may have arrived during the load.
    if rejects_stale(shared, &command) {
        return reply(StatusCode::CONFLICT, Bytes::new());
    }
    let mut commands = shared.commands.lock();
    let changed =
        (&commands.state.model, &commands.state.version) != (&command.model, &command.version);
    commands.apply(command);
    if changed {
        shared.cache.lock().clear(Instant::now());
    }
    json_reply(StatusCode::OK, &commands.state)
}

/// Returns whether fencing rejects the command, and records its fencing number if it is the highest so far.
fn rejects_stale(shared: &EngineShared, command: &EngineCommand) -> bool {
    let mut commands = shared.commands.lock();
    if !shared.options.fencing {
        return false;
    }
    let is_stale = commands.is_stale(command);
    commands.state.fencing = commands.state.fencing.max(command.fencing);
    is_stale
}

/// Loads the weights if the model or version changes, and returns the response status on failure.
async fn load_weights(shared: &EngineShared, command: &EngineCommand) -> Option<StatusCode> {
    tokio::time::sleep(Duration::from_millis(shared.options.command_ms)).await;
    let is_loaded = {
        let commands = shared.commands.lock();
        commands.state.model == command.model && commands.state.version == command.version
    };
    if is_loaded || command.model.is_empty() {
        return None;
    }
    let store = shared.options.weights.as_ref()?;
    let loaded = store.fetch(&command.model, &command.version).await;
    loaded.err().map(|_| StatusCode::SERVICE_UNAVAILABLE)
}

fn priority_of(headers: &HeaderMap) -> usize {
    let class = PriorityClass::from_name(header_text(headers, "x-priority"));
    class.unwrap_or(PriorityClass::Interactive).index()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("")
}
