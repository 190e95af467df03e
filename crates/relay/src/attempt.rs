//! One attempt at a target or at another host.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming as HyperBody;
use lw_base::prelude::*;
use lw_flow::AttemptFailure;
use lw_mesh::PlacedPart;

use crate::answer::OpenAnswer;
use crate::choose::Chosen;
use crate::connection::{Connection, connect};
use crate::end::{NOT_RUN, NOT_SENT};
use crate::headers::{HOP, NEAR, OWN_END, TRIED, for_caller, is_encoded, kept_ms, text, value};
use crate::host::Host;
use crate::in_flight::InFlight;
use crate::incoming::Incoming;
use crate::pool::PoolKey;
use crate::target_health::AttemptEnd;
use crate::verdict::{HeadFacts, Verdict, judge_head};

/// The time to open a connection in the region: some round trips below a millisecond, and room for a busy target.
const CONNECT_NEAR: Duration = Duration::from_millis(350);
/// The time to open a connection to another region: some round trips of a hundred milliseconds.
const CONNECT_FAR: Duration = Duration::from_millis(700);
/// The connections that a request may find closed before it gets a new one.
const MOST_STALE: u32 = 3;
/// A request that must not run twice uses only connections that were idle for less than this: one that dies as the
/// request is sent leaves the outcome unknown.
const FRESH_MS: u64 = 2_500;
/// How often a waiting attempt looks whether its target has gone silent.
const LOOK: Duration = Duration::from_millis(100);
/// The smallest part that is told other hosts; smaller ones are read faster than they are told.
const LEAST_TOLD_TOKENS: u32 = 256;

/// The end of an attempt that has an answer, or none.
pub(crate) enum AttemptResult {
    /// The target's answer.
    Answer(OpenAnswer),
    /// The target's own failure.
    Failed(OpenAnswer),
    /// No answer.
    Failure(AttemptFailure),
    /// Another host had no target for the request.
    NotSent,
}

/// How an attempt is made.
pub(crate) struct AttemptPlan {
    /// The last event that the caller has received.
    pub(crate) last_event_id: Option<u64>,
    /// The attempt may be given up when its target goes silent.
    pub(crate) may_leave: bool,
    /// The targets on which the request was tried already, by hash.
    pub(crate) tried: Vec<u32>,
}

impl Host {
    /// Sends a request to a target.
    pub(crate) async fn try_target(
        &self,
        incoming: &Incoming,
        chosen: &Chosen,
        plan: &AttemptPlan,
    ) -> AttemptResult {
        let target = &chosen.target;
        let now = self.clock.now();
        let mut headers = self.request_headers(incoming, plan);
        headers.insert(self.names.pinned_target.clone(), value(&target.id));
        let remaining = value(incoming.deadline.since_ms(now));
        headers.insert(self.names.remaining_ms.clone(), remaining);
        let service = &chosen.service;
        if service.engine.is_some() {
            self.note_placed(now, incoming, chosen);
            let urgency = value(3 + incoming.route.rank.min(6));
            headers.insert(self.names.urgency.clone(), urgency);
        }
        if chosen.cold {
            let limit = self.cold_limit(service, target);
            let mut load = target.load.borrow_mut();
            if !limit.is_some_and(|limit| load.cold_pace.try_send(now, limit)) {
                return AttemptResult::Failure(AttemptFailure::TargetRefused);
            }
        }
        let held_tokens = chosen.new_tokens + incoming.prompt.output_tokens;
        let mut in_flight = InFlight::begin(
            &target.load,
            self.clock,
            self.freed.clone(),
            held_tokens,
            chosen.prefill_ms,
        );
        let key = (target.address, target.hash);
        let watch = plan.may_leave.then_some(chosen);
        let sent = self.send(incoming, key, headers, CONNECT_NEAR, watch).await;
        let (response, connection) = match sent {
            Ok(sent) => sent,
            Err(failure) => {
                let end = match failure {
                    AttemptFailure::DeadlineAfterSend => AttemptEnd::Failed,
                    _ => AttemptEnd::Unreachable,
                };
                in_flight.answered(end);
                if failure == AttemptFailure::ConnectFailed {
                    self.pool.forget(key);
                }
                return AttemptResult::Failure(failure);
            }
        };
        let verdict = judge_head(self.head_facts(&response, incoming, connection.reused));
        let is_replaced = response.status() == StatusCode::MISDIRECTED_REQUEST;
        in_flight.answered(match verdict {
            Verdict::Failure(_) if is_replaced => AttemptEnd::Replaced,
            Verdict::Answer => AttemptEnd::Answered,
            Verdict::Failed | Verdict::Failure(_) => AttemptEnd::Failed,
        });
        self.open(response, connection, key, verdict, Some(in_flight))
    }

    /// Sends a request to another host, of this region or of another one.
    pub(crate) async fn try_host(
        &self,
        incoming: &Incoming,
        address: SocketAddr,
        is_near: bool,
        plan: &AttemptPlan,
    ) -> AttemptResult {
        let mut headers = self.request_headers(incoming, plan);
        let remaining = incoming.deadline.since_ms(self.clock.now());
        headers.insert(HOP, value(remaining));
        if !plan.tried.is_empty() {
            let tried: Vec<String> = plan.tried.iter().map(u32::to_string).collect();
            headers.insert(TRIED, value(tried.join(",")));
        }
        let connect_timeout = match is_near {
            true => {
                headers.insert(NEAR, value(1));
                CONNECT_NEAR
            }
            false => CONNECT_FAR,
        };
        headers.remove(&self.names.remaining_ms);
        let key = (address, 0);
        let sent = self
            .send(incoming, key, headers, connect_timeout, None)
            .await;
        let (response, connection) = match sent {
            Ok(sent) => sent,
            Err(failure) => return AttemptResult::Failure(failure),
        };
        let verdict = match text(response.headers(), &OWN_END) {
            Some(NOT_SENT) => return AttemptResult::NotSent,
            Some(NOT_RUN) => Verdict::Failure(AttemptFailure::TargetRefused),
            Some(_) => Verdict::Failure(AttemptFailure::AnswerLost),
            None => judge_head(self.head_facts(&response, incoming, false)),
        };
        self.open(response, connection, key, verdict, None)
    }

    fn open(
        &self,
        response: Response<HyperBody>,
        mut connection: Connection,
        key: PoolKey,
        verdict: Verdict,
        in_flight: Option<InFlight>,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        if let Some(kept_ms) = kept_ms(&head.headers) {
            connection.kept_ms = kept_ms;
        }
        let answer = OpenAnswer {
            status: head.status,
            headers: for_caller(&head.headers),
            body,
            key,
            connection,
            in_flight,
        };
        match verdict {
            Verdict::Answer => AttemptResult::Answer(answer),
            Verdict::Failed => AttemptResult::Failed(answer),
            Verdict::Failure(failure) => {
                if failure == AttemptFailure::TargetRefused {
                    self.keep_after_refusal(answer);
                }
                AttemptResult::Failure(failure)
            }
        }
    }

    /// Reads the short body of a rejection, so that its connection can be used again.
    fn keep_after_refusal(&self, answer: OpenAnswer) {
        use http_body::Body;
        if answer.body.is_end_stream() {
            self.pool
                .put(self.clock.now(), answer.key, answer.connection);
        }
    }

    fn request_headers(&self, incoming: &Incoming, plan: &AttemptPlan) -> HeaderMap {
        let mut headers = incoming.headers.clone();
        if let Some(last) = plan.last_event_id {
            headers.insert(self.names.last_event_id.clone(), value(last));
        }
        headers
    }

    fn head_facts(
        &self,
        response: &Response<HyperBody>,
        incoming: &Incoming,
        reused: bool,
    ) -> HeadFacts {
        let headers = response.headers();
        let echoed = headers.get(&self.names.attempt_id);
        let sent = incoming.headers.get(&self.names.attempt_id);
        HeadFacts {
            status: response.status(),
            same_attempt: echoed.map(|echoed| Some(echoed) == sent),
            sealed: headers.contains_key(&self.names.seal),
            not_run: headers.contains_key(&self.names.not_run),
            encoded: is_encoded(headers),
            reused,
        }
    }

    /// Writes a request to a connection and waits for the head of the answer.
    async fn send(
        &self,
        incoming: &Incoming,
        key: PoolKey,
        headers: HeaderMap,
        connect_timeout: Duration,
        watch: Option<&Chosen>,
    ) -> Result<(Response<HyperBody>, Connection), AttemptFailure> {
        let deadline = self.clock.instant(incoming.deadline);
        let mut request = build_request(incoming, headers)?;
        let mut stale = 0;
        loop {
            let longest_idle_ms = match incoming.route.run_policy {
                crate::route::RunPolicy::Once => FRESH_MS,
                crate::route::RunPolicy::Repeatable => u64::MAX,
            };
            let now = self.clock.now();
            let pooled = match stale < MOST_STALE {
                true => self.pool.take(now, key, longest_idle_ms),
                false => None,
            };
            let mut connection = match pooled {
                Some(connection) => connection,
                None => match connect(key.0, connect_timeout, now).await {
                    Ok(connection) => connection,
                    Err(error) => {
                        log::debug!(id = &*incoming.id, peer = key.0.to_string().as_str(), reason = error.to_string().as_str(); "no connection");
                        return Err(AttemptFailure::ConnectFailed);
                    }
                },
            };
            let reused = connection.reused;
            let response = connection.sender.try_send_request(request);
            let response = self.wait_head(response, deadline, watch);
            match response.await {
                Ok(Ok(response)) => return Ok((response, connection)),
                Ok(Err(mut error)) => {
                    // The request was never written, so another connection may take it.
                    if let Some(unsent) = error.take_message()
                        && reused
                    {
                        request = unsent;
                        stale += 1;
                        continue;
                    }
                    log::debug!(id = &*incoming.id, peer = key.0.to_string().as_str(), reused = reused, reason = error.error().to_string().as_str(); "the answer was lost");
                    return Err(AttemptFailure::AnswerLost);
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Waits for a head until the deadline, or until the target has been silent for long.
    async fn wait_head<F: Future>(
        &self,
        response: F,
        deadline: tokio::time::Instant,
        watch: Option<&Chosen>,
    ) -> Result<F::Output, AttemptFailure> {
        let mut response = std::pin::pin!(response);
        let Some(chosen) = watch else {
            let waited = tokio::time::timeout_at(deadline, response).await;
            return waited.map_err(|_| AttemptFailure::DeadlineAfterSend);
        };
        loop {
            let look = (tokio::time::Instant::now() + LOOK).min(deadline);
            if let Ok(response) = tokio::time::timeout_at(look, &mut response).await {
                return Ok(response);
            }
            if tokio::time::Instant::now() >= deadline {
                return Err(AttemptFailure::DeadlineAfterSend);
            }
            let load = chosen.target.load.borrow();
            let answer_ms = chosen.expected_ms;
            if load.health.is_suspect(self.clock.now(), answer_ms) {
                return Err(AttemptFailure::AnswerLost);
            }
        }
    }

    /// Notes the parts of a prompt at a target, for this host and for the others of the region.
    fn note_placed(&self, now: MonoMs, incoming: &Incoming, chosen: &Chosen) {
        let memory_tokens = chosen
            .service
            .engine
            .map_or(0, |engine| engine.memory_tokens);
        let mut load = chosen.target.load.borrow_mut();
        let beats = self.hosts.borrow().heartbeats_per_region_round();
        let mut placed = self.placed.borrow_mut();
        let parts = &incoming.prompt.parts;
        for (index, part) in parts.iter().enumerate() {
            load.cache.note(now, *part, memory_tokens);
            // The last part belongs to the request itself.
            let is_shared = index + 1 < parts.len();
            if is_shared && part.tokens >= LEAST_TOLD_TOKENS {
                let told = PlacedPart {
                    target: chosen.target.hash,
                    part: part.chain,
                    tokens: part.tokens,
                };
                placed.note(told, beats);
            }
        }
    }
}

fn build_request(
    incoming: &Incoming,
    headers: HeaderMap,
) -> Result<Request<Full<Bytes>>, AttemptFailure> {
    let mut request = Request::new(Full::new(incoming.body.clone()));
    *request.method_mut() = incoming.method.clone();
    *request.uri_mut() = incoming.path.parse::<Uri>().map_err(|error| {
        log::warn!(id = &*incoming.id, reason = error.to_string().as_str(); "the path cannot be sent on");
        AttemptFailure::ConnectFailed
    })?;
    *request.headers_mut() = headers;
    if !request.headers().contains_key(HOST) {
        let host = HeaderValue::from_static("");
        request.headers_mut().insert(HOST, host);
    }
    Ok(request)
}
