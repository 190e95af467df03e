//! One attempt to send a request to a target or to another host.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming as HyperBody;
use hyper::ext::ReasonPhrase;
use lw_base::prelude::*;
use lw_flow::AttemptFailure;
use lw_mesh::PlacedPart;
use lw_quarantine::PartKey;

use crate::answer::OpenAnswer;
use crate::choose::ChosenTarget;
use crate::connection::{Connection, connect};
use crate::forwarded_decision::ForwardedDecision;
use crate::head_verdict::{HeadFacts, HeadVerdict, classify_head, holds_status_line};
use crate::headers::{
    CLOSED_MS, DECISION, LEAVING_HOST, LEAVING_TARGET, LOCAL_OUTCOME, QUARANTINED_PART,
    REMAINING_MS, SAME_REGION, TRIED_TARGETS, forwarded_answer_headers, header_text, header_value,
    is_encoded, is_framed, keep_alive_ms,
};
use crate::health_check::CheckResult;
use crate::host::Host;
use crate::in_flight::InFlight;
use crate::incoming::{Hop, Incoming};
use crate::local_reply::{NOT_RUN, NOT_SENT};
use crate::pool::PoolKey;
use crate::target_health::AttemptEnd;
use crate::target_notices::NoticingHead;

/// The connect timeout within the region: some round trips below a millisecond, and a margin for a busy target.
const REGION_CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// The connect timeout to another region: some round trips of a hundred milliseconds.
const CROSS_REGION_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// After this many pooled connections that turn out to be closed, a request opens a new one.
const MAX_STALE_CONNECTIONS: u32 = 3;
/// The longest idle time, in milliseconds, of a pooled connection for a request that must not run twice: when the
/// connection closes while the request is sent, the outcome is unknown.
const ONCE_MAX_IDLE_MS: u64 = 2_500;
/// A connection on which more attempts than this were rejected is not used again.
const MAX_REJECTED_IDS: usize = 16;
/// How often a waiting attempt checks whether its target is given up.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The smallest prompt part that is announced to other hosts; prefill of a smaller one takes less time than its
/// announcement.
const MIN_ANNOUNCED_TOKENS: u32 = 256;

/// The result of one attempt.
pub(crate) enum AttemptResult {
    /// An answer for the caller.
    Answer(OpenAnswer),
    /// An error answer of the target, such as a 500.
    TargetError(OpenAnswer),
    /// No usable answer.
    NoAnswer(AttemptFailure),
    /// The limit of the target did not allow the request, or the other host sent it to no target.
    NotSent {
        /// How long all targets of the service are closed to the other host, in milliseconds.
        closed_ms: Option<u64>,
        /// The other host is leaving.
        is_leaving: bool,
    },
}

/// Options of one attempt.
pub(crate) struct AttemptPlan {
    /// The id of the last event that the caller has received.
    pub(crate) last_event_id: Option<u64>,
    /// The attempt may be abandoned when its target is given up.
    pub(crate) may_abandon: bool,
    /// The targets on which the request was tried already, by hash.
    pub(crate) tried: Vec<u32>,
}

/// The target or host that an attempt goes to.
struct AttemptPeer<'a> {
    key: PoolKey,
    /// The header that states the time until the deadline.
    remaining_name: &'a HeaderName,
    connect_timeout: Duration,
    /// The attempt is abandoned when this target is given up.
    watched_target: Option<&'a ChosenTarget>,
    /// The peer may send surplus answers, which are told apart by the id of the attempt.
    matches_ids: bool,
}

impl Host {
    /// Sends a request to a target and updates the target's load and health.
    pub(crate) async fn try_target(
        &self,
        incoming: &Incoming,
        chosen: &ChosenTarget,
        plan: &AttemptPlan,
    ) -> AttemptResult {
        let target = &chosen.target;
        let checked = match chosen.cold {
            true => None,
            false => self.check_warmth(chosen).await,
        };
        let is_cold = match checked {
            Some(CheckResult::Cold { .. }) => true,
            None | Some(_) => chosen.cold || self.clock.now() < target.load.borrow().cold_until,
        };
        let now = self.clock.now();
        let mut headers = self.request_headers(incoming, plan);
        headers.insert(self.names.pinned_target.clone(), header_value(&target.id));
        let service = &chosen.service;
        if service.engine.is_some() {
            self.record_placed_parts(now, incoming, chosen);
            let urgency = header_value(3 + incoming.route.urgency.min(6));
            headers.insert(self.names.urgency.clone(), urgency);
        }
        let is_cold = is_cold && chosen.service.cold_per_s > 0.0;
        let Some(reservation) = self.reserve_send(now, chosen, is_cold) else {
            self.record_limit_refusal(incoming, chosen, is_cold);
            return AttemptResult::NotSent {
                closed_ms: None,
                is_leaving: false,
            };
        };
        let request_tokens = chosen.new_tokens + incoming.prompt.output_tokens;
        let mut in_flight = InFlight::begin(
            &target.load,
            self.clock,
            self.capacity_changed.clone(),
            request_tokens,
            chosen.prefill_ms,
        );
        let key = (target.address, target.hash);
        let watched_target = plan.may_abandon.then_some(chosen);
        let sent_at = Cell::new(now);
        let on_connected = |at: MonoMs| {
            sent_at.set(at);
            if reservation.record_sent(at) && reservation.is_cold() {
                self.record_cold_send(incoming, chosen, at.since_ms(now));
            }
        };
        let peer = AttemptPeer {
            key,
            remaining_name: &self.names.remaining_ms,
            connect_timeout: REGION_CONNECT_TIMEOUT,
            watched_target,
            matches_ids: true,
        };
        let sent = self.send(incoming, headers, &peer, on_connected).await;
        let (response, connection) = match sent {
            Ok(sent) => sent,
            Err(failure) => {
                let is_late = incoming.deadline <= self.clock.now();
                let end = match failure {
                    // The request was not written because of its deadline.
                    AttemptFailure::ConnectFailed if is_late => AttemptEnd::Neutral,
                    AttemptFailure::DeadlineAfterSend => AttemptEnd::Expired,
                    AttemptFailure::ConnectFailed => AttemptEnd::Unreachable,
                    _ => AttemptEnd::Broken,
                };
                in_flight.record_end(end);
                if end == AttemptEnd::Unreachable {
                    self.pool.drop_idle(key);
                }
                return AttemptResult::NoAnswer(failure);
            }
        };
        let verdict = classify_head(self.head_facts(&response, incoming, connection.reused));
        let is_other_incarnation = response.status() == StatusCode::MISDIRECTED_REQUEST;
        let is_crossed = verdict == HeadVerdict::AttemptFailed(AttemptFailure::CrossedAnswer);
        let head = NoticingHead {
            status: response.status(),
            headers: response.headers(),
            sent_at: sent_at.get(),
            is_own: !is_other_incarnation && !is_crossed,
            names_limits: !matches!(verdict, HeadVerdict::AttemptFailed(_)),
        };
        self.record_target_notices(target, &head);
        if is_other_incarnation {
            self.record_target_crash(target);
        }
        if verdict == HeadVerdict::AttemptFailed(AttemptFailure::TargetRefused) {
            log::info!(id = &*incoming.id, target_id = &*target.id, status = response.status().as_u16(), cold = is_cold; "the target rejected a request");
        }
        match verdict {
            HeadVerdict::Answer => in_flight.record_head(),
            HeadVerdict::AttemptFailed(_) if is_other_incarnation => {
                in_flight.record_end(AttemptEnd::Replaced);
            }
            HeadVerdict::TargetError | HeadVerdict::AttemptFailed(_) => {
                in_flight.record_end(AttemptEnd::Failed);
            }
        }
        let mut result = self.classify(response, connection, key, verdict, Some(in_flight));
        if let AttemptResult::Answer(answer) | AttemptResult::TargetError(answer) = &mut result
            && incoming.hop != Hop::Caller
            && target.load.borrow().health.is_leaving()
        {
            let hash = header_value(target.hash);
            answer.headers.insert(LEAVING_TARGET, hash);
        }
        result
    }

    /// Sends a request to another host, of this region or of another one.
    pub(crate) async fn try_host(
        &self,
        incoming: &Incoming,
        address: SocketAddr,
        is_same_region: bool,
        plan: &AttemptPlan,
    ) -> AttemptResult {
        let mut headers = self.request_headers(incoming, plan);
        if !plan.tried.is_empty() {
            let tried: Vec<String> = plan.tried.iter().map(u32::to_string).collect();
            headers.insert(TRIED_TARGETS, header_value(tried.join(",")));
        }
        let connect_timeout = match is_same_region {
            true => {
                headers.insert(SAME_REGION, header_value(1));
                REGION_CONNECT_TIMEOUT
            }
            false => CROSS_REGION_CONNECT_TIMEOUT,
        };
        headers.remove(&self.names.remaining_ms);
        let decision = ForwardedDecision {
            version: incoming.version,
            service: incoming.service_hash,
            host: self.settings.ip,
        };
        headers.insert(DECISION, header_value(decision));
        let key = (address, 0);
        let peer = AttemptPeer {
            key,
            remaining_name: &REMAINING_MS,
            connect_timeout,
            watched_target: None,
            matches_ids: false,
        };
        let sent = self.send(incoming, headers, &peer, |_| ()).await;
        let (response, connection) = match sent {
            Ok(sent) => sent,
            Err(failure) => return AttemptResult::NoAnswer(failure),
        };
        let is_leaving = response.headers().contains_key(&LEAVING_HOST);
        if is_leaving {
            self.record_leaving_host(address);
        }
        let leaving = header_text(response.headers(), &LEAVING_TARGET);
        if let Some(hash) = leaving.and_then(|text| text.parse().ok()) {
            self.record_leaving(hash);
        }
        if let Some(text) = header_text(response.headers(), &QUARANTINED_PART) {
            self.adopt_refusal(incoming, text);
        }
        let verdict = match header_text(response.headers(), &LOCAL_OUTCOME) {
            Some(NOT_SENT) => {
                let closed = header_text(response.headers(), &CLOSED_MS);
                let closed_ms = closed.and_then(|text| text.parse().ok());
                return AttemptResult::NotSent {
                    closed_ms,
                    is_leaving,
                };
            }
            Some(NOT_RUN) => HeadVerdict::AttemptFailed(AttemptFailure::TargetRefused),
            Some(_) => HeadVerdict::AttemptFailed(AttemptFailure::AnswerLost),
            None => classify_head(self.head_facts(&response, incoming, false)),
        };
        self.classify(response, connection, key, verdict, None)
    }

    /// Records that another host has said that it is leaving.
    fn record_leaving_host(&self, address: SocketAddr) {
        let std::net::IpAddr::V4(ip) = address.ip() else {
            return;
        };
        if self.hosts.borrow_mut().record_leaving_host(ip) {
            log::info!(to = address.to_string().as_str(); "another host has said that it is leaving");
            self.update_coverage();
        }
    }

    /// Adopts the quarantine that another host has stated with a refusal.
    fn adopt_refusal(&self, incoming: &Incoming, text: &str) {
        let parsed = text
            .split_once(' ')
            .and_then(|(part, left_ms)| Some((part.parse().ok()?, left_ms.parse().ok()?)));
        let Some((part, left_ms)): Option<(PartKey, u64)> = parsed else {
            log::warn!(value = text; "ignored a refusal with an invalid quarantine");
            return;
        };
        let until = self.clock.now().plus_ms(left_ms);
        let position = incoming.suspects().position(part).unwrap_or_default();
        self.adopt_quarantine(part, position, until, "a refusal of another host");
    }

    fn classify(
        &self,
        response: Response<HyperBody>,
        mut connection: Connection,
        key: PoolKey,
        verdict: HeadVerdict,
        in_flight: Option<InFlight>,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        if let Some(keep_alive_ms) = keep_alive_ms(&head.headers) {
            connection.keep_alive_ms = keep_alive_ms;
        }
        let answer = OpenAnswer {
            status: head.status,
            headers: forwarded_answer_headers(&head.headers),
            body,
            key,
            connection,
            is_framed: is_framed(head.status, &head.headers),
            in_flight,
            event_room: self.memory.room_for_answer(0),
        };
        match verdict {
            HeadVerdict::Answer => AttemptResult::Answer(answer),
            HeadVerdict::TargetError => AttemptResult::TargetError(answer),
            HeadVerdict::AttemptFailed(failure) => {
                if failure == AttemptFailure::TargetRefused {
                    self.pool_after_rejection(answer);
                }
                AttemptResult::NoAnswer(failure)
            }
        }
    }

    /// Returns the connection of a rejection without a body to the pool.
    ///
    /// A target that rejects a request without an id may answer the next one without an id too, and on a used connection
    /// such an answer does not count.
    fn pool_after_rejection(&self, mut answer: OpenAnswer) {
        use http_body::Body;
        if !answer.body.is_end_stream() {
            return;
        }
        if answer.in_flight.is_some() {
            let Some(id) = answer.headers.remove(&self.names.attempt_id) else {
                return;
            };
            let rejected_ids = &mut answer.connection.rejected_ids;
            if rejected_ids.len() >= MAX_REJECTED_IDS {
                return;
            }
            rejected_ids.push(id);
        }
        self.pool
            .put(self.clock.now(), answer.key, answer.connection);
    }

    fn request_headers(&self, incoming: &Incoming, plan: &AttemptPlan) -> HeaderMap {
        let mut headers = incoming.headers.clone();
        if let Some(last) = plan.last_event_id {
            headers.insert(self.names.last_event_id.clone(), header_value(last));
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
        let sent = incoming.headers.get(&self.names.attempt_id);
        let mut echoed = headers.get_all(&self.names.attempt_id).iter();
        let first = echoed.next();
        let reason = response.extensions().get::<ReasonPhrase>();
        let reason = reason.map(ReasonPhrase::as_bytes);
        let values = headers.values().map(HeaderValue::as_bytes);
        HeadFacts {
            status: response.status(),
            same_attempt: first.map(|first| Some(first) == sent && echoed.next().is_none()),
            sealed: headers.contains_key(&self.names.seal),
            not_run: headers.contains_key(&self.names.not_run),
            encoded: is_encoded(headers),
            reused,
            joined: reason.into_iter().chain(values).any(holds_status_line),
        }
    }

    /// Sends a request over a pooled or new connection and waits for the head of the answer. `on_connected` is called with
    /// the time at which the request is written.
    async fn send(
        &self,
        incoming: &Incoming,
        headers: HeaderMap,
        peer: &AttemptPeer<'_>,
        on_connected: impl Fn(MonoMs),
    ) -> Result<(Response<HyperBody>, Connection), AttemptFailure> {
        let key = peer.key;
        let deadline = self.clock.instant(incoming.deadline);
        let mut request = build_request(incoming, headers)?;
        let mut stale_connections = 0;
        loop {
            let max_idle_ms = match incoming.route.run_policy {
                crate::route::RunPolicy::Once => ONCE_MAX_IDLE_MS,
                crate::route::RunPolicy::Repeatable => u64::MAX,
            };
            let now = self.clock.now();
            let id = incoming.headers.get(&self.names.attempt_id);
            // A copy of an earlier rejection of the same attempt could not be told from an answer.
            let may_use = |connection: &Connection| {
                !peer.matches_ids || id.is_some_and(|id| !connection.rejected_ids.contains(id))
            };
            let pooled = match stale_connections < MAX_STALE_CONNECTIONS {
                true => self.pool.take(now, key, max_idle_ms, may_use),
                false => None,
            };
            let mut connection = match pooled {
                Some(connection) => connection,
                None => match connect(key.0, peer.connect_timeout, now).await {
                    Ok(connection) => connection,
                    Err(error) => {
                        log::debug!(id = &*incoming.id, peer = key.0.to_string().as_str(), reason = error.to_string().as_str(); "could not connect to the target or host");
                        return Err(AttemptFailure::ConnectFailed);
                    }
                },
            };
            let reused = connection.reused;
            let now = self.clock.now();
            let remaining_ms = incoming.deadline.since_ms(now);
            if remaining_ms == 0 {
                // The host was suspended, or the connection took too long.
                self.pool.put(now, key, connection);
                return Err(AttemptFailure::ConnectFailed);
            }
            let remaining = header_value(remaining_ms);
            request.headers_mut().insert(peer.remaining_name, remaining);
            on_connected(now);
            connection.progress.record();
            let response = connection.sender.try_send_request(request);
            let response = self.wait_head(response, deadline, peer.watched_target);
            match response.await {
                Ok(Ok(response)) => {
                    connection.progress.record();
                    return Ok((response, connection));
                }
                Ok(Err(mut error)) => {
                    // No byte of the request was written, so it is safe to send it on another connection.
                    if let Some(unsent) = error.take_message()
                        && reused
                    {
                        request = unsent;
                        stale_connections += 1;
                        continue;
                    }
                    log::debug!(id = &*incoming.id, peer = key.0.to_string().as_str(), reused = reused, reason = error.error().to_string().as_str(); "the answer was lost");
                    return Err(AttemptFailure::AnswerLost);
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Waits for the head of an answer until the deadline, or until `watched_target` is given up.
    async fn wait_head<F: Future>(
        &self,
        response: F,
        deadline: tokio::time::Instant,
        watched_target: Option<&ChosenTarget>,
    ) -> Result<F::Output, AttemptFailure> {
        let mut response = std::pin::pin!(response);
        let Some(chosen) = watched_target else {
            let waited = tokio::time::timeout_at(deadline, response).await;
            return waited.map_err(|_| AttemptFailure::DeadlineAfterSend);
        };
        loop {
            let next_check = (tokio::time::Instant::now() + SUSPECT_CHECK_INTERVAL).min(deadline);
            if let Ok(response) = tokio::time::timeout_at(next_check, &mut response).await {
                return Ok(response);
            }
            if tokio::time::Instant::now() >= deadline {
                return Err(AttemptFailure::DeadlineAfterSend);
            }
            let load = chosen.target.load.borrow();
            let answer_ms = chosen.expected_ms;
            if load.health.is_given_up(self.clock.now(), answer_ms) {
                return Err(AttemptFailure::AnswerLost);
            }
        }
    }

    /// Records that a target caches the parts of a prompt, and queues them for the heartbeats to the region's hosts.
    fn record_placed_parts(&self, now: MonoMs, incoming: &Incoming, chosen: &ChosenTarget) {
        let memory_tokens = chosen
            .service
            .engine
            .map_or(0, |engine| engine.memory_tokens);
        let mut load = chosen.target.load.borrow_mut();
        let heartbeats = self.hosts.borrow().heartbeats_per_region_round();
        let mut placed = self.placed.borrow_mut();
        let parts = &incoming.prompt.parts;
        for (index, part) in parts.iter().enumerate() {
            load.cache.record(now, *part, memory_tokens);
            // The last part is unique to the request, so no other request shares it.
            let is_shared = index + 1 < parts.len();
            if is_shared && part.tokens >= MIN_ANNOUNCED_TOKENS {
                let announced = PlacedPart {
                    target: chosen.target.hash,
                    part: part.prefix_hash,
                    tokens: part.tokens,
                };
                placed.push(announced, heartbeats);
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
        log::warn!(id = &*incoming.id, reason = error.to_string().as_str(); "the request path is not a valid URI");
        AttemptFailure::ConnectFailed
    })?;
    *request.headers_mut() = headers;
    if !request.headers().contains_key(HOST) {
        let host = HeaderValue::from_static("");
        request.headers_mut().insert(HOST, host);
    }
    Ok(request)
}
