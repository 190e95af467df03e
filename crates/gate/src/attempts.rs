//! Attempts to send a request to a target or to another region.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, VIA as VIA_NAME};
use http::{HeaderMap, HeaderValue, StatusCode};
use lw_base::prelude::*;
use lw_doc::ServiceKind;
use lw_flow::{AttemptFailure, FinalOutcome};
use lw_route::{AttemptEnd, RouteView};

use crate::accepted_response::{AcceptedResponse, ResponseSource};
use crate::destination::Destination;
use crate::exchange::Exchange;
use crate::header_names::{ATTEMPT_ID, ENGINE_PRIORITY, NOT_STARTED, VIA};
use crate::headers::{header_text, header_value, target_request_headers};
use crate::target_client::OpenResponse;

/// Why an attempt gave no response.
pub(crate) enum AttemptError {
    /// The attempt failed.
    Failed(AttemptId, AttemptFailure),
    /// The request has ended.
    Ended(FinalOutcome),
    /// Nothing was sent, because the target or region cannot accept the request. Another destination is chosen.
    Skipped,
}

impl Exchange {
    /// Makes attempts until the head of a response is accepted or the request ends.
    ///
    /// With `resume_from`, the engine omits that many tokens, which the caller has already received.
    pub(crate) async fn open(
        &mut self,
        resume_from: Option<u64>,
    ) -> Result<AcceptedResponse, FinalOutcome> {
        loop {
            // A host of another region does not know which tokens the caller has received.
            let own_region_only = resume_from.is_some();
            let result = match self.choose_destination(own_region_only).await? {
                Destination::Target(view, target) => {
                    self.try_target(&view, target, resume_from).await
                }
                Destination::Region(region) => self.try_region(&region).await,
            };
            match result {
                Ok(response) => return Ok(response),
                Err(AttemptError::Failed(attempt, failure)) => {
                    self.check_retry(attempt, failure)?;
                }
                Err(AttemptError::Ended(final_outcome)) => return Err(final_outcome),
                Err(AttemptError::Skipped) => {}
            }
        }
    }

    async fn try_target(
        &mut self,
        view: &Arc<RouteView>,
        target: TargetKey,
        resume_from: Option<u64>,
    ) -> Result<AcceptedResponse, AttemptError> {
        let now = self.gate.clock.now();
        self.record_tried_target(view.fleet().targets.name(target).clone());
        if resume_from.is_some() && !view.fleet().targets[target].resume {
            return Err(AttemptError::Skipped);
        }
        let Some(in_flight) = view.begin(now, target) else {
            return Err(AttemptError::Skipped);
        };
        if !self.check_residency(view, target) {
            return Err(AttemptError::Ended(self.end(ErrorKind::ResidencyRefused)));
        }
        if !in_flight.may_send(now) {
            return Err(AttemptError::Skipped);
        }
        let attempt = match self.flow.start_attempt(now.mono) {
            Ok(attempt) => attempt,
            Err(kind) => return Err(AttemptError::Ended(self.end(kind))),
        };
        if attempt.number == 1 {
            self.gate
                .metrics
                .count_attempt(&self.request.service, "first");
        }
        let entry = &view.fleet().targets[target];
        let source = ResponseSource::Target {
            in_flight,
            address: entry.address.clone(),
            supports_resume: entry.resume,
            supports_cancel: self.request.kind == ServiceKind::Model,
        };
        self.send(attempt, source, &entry.address, resume_from)
            .await
    }

    async fn send(
        &mut self,
        attempt: AttemptId,
        source: ResponseSource,
        address: &str,
        resume_from: Option<u64>,
    ) -> Result<AcceptedResponse, AttemptError> {
        let body = match resume_from {
            Some(tokens) => resume_body(&self.request.body, tokens),
            None => self.request.body.clone(),
        };
        if let ResponseSource::Target { in_flight, .. } = &source {
            in_flight.sent(self.gate.clock.now());
        }
        let headers = self.target_headers(attempt);
        let client = self.gate.target_client.clone();
        let send = client.send(
            address,
            &self.request.method,
            &self.request.path,
            headers,
            body,
        );
        let caller_gone = self.request.caller_gone.clone();
        let sent = tokio::select! {
            sent = send => sent,
            () = caller_gone.cancelled() => {
                self.abandon(attempt, source, AttemptEnd::Neutral);
                return Err(AttemptError::Ended(self.end(ErrorKind::CallerGone)));
            }
            () = tokio::time::sleep_until(self.deadline()) => {
                self.abandon(attempt, source, AttemptEnd::Neutral);
                return Err(AttemptError::Ended(self.end(self.flow.deadline_kind())));
            }
        };
        match sent {
            Ok(opened) => self.accept(attempt, source, opened),
            Err(failure) => {
                self.abandon_failed(attempt, source, failure);
                Err(AttemptError::Failed(attempt, failure))
            }
        }
    }

    /// Accepts the head of a target's response, or fails the attempt.
    fn accept(
        &mut self,
        attempt: AttemptId,
        source: ResponseSource,
        opened: OpenResponse,
    ) -> Result<AcceptedResponse, AttemptError> {
        let failure = self.head_failure(attempt, &opened);
        if failure.is_none() && self.flow.accept_head(attempt) {
            let (head, body) = opened.response.into_parts();
            return Ok(AcceptedResponse {
                attempt,
                head,
                body,
                source,
            });
        }
        let failure = failure.unwrap_or(AttemptFailure::CrossedAnswer);
        if failure == AttemptFailure::CrossedAnswer {
            log::warn!(
                "gate: attempt {attempt} received a response that does not belong to it; its connection is not reused"
            );
            opened.poison();
        }
        self.abandon_failed(attempt, source, failure);
        Err(AttemptError::Failed(attempt, failure))
    }

    fn head_failure(&self, attempt: AttemptId, opened: &OpenResponse) -> Option<AttemptFailure> {
        let headers = opened.response.headers();
        let expected = attempt.to_string();
        let mut echoed = headers.get_all(ATTEMPT_ID).iter();
        if echoed.any(|echoed| echoed.as_bytes() != expected.as_bytes()) {
            return Some(AttemptFailure::CrossedAnswer);
        }
        let has_id = headers.contains_key(ATTEMPT_ID);
        let status = opened.response.status();
        // 101 Switching Protocols is not a response to the request. Forwarding it would make the caller's client switch
        // to another protocol on its connection.
        if status.is_informational() {
            return Some(AttemptFailure::AnswerIncomplete);
        }
        let refuses =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        if refuses && header_text(headers, &NOT_STARTED) == Some("true") {
            // Without an id, it may be a copy of the refusal of an earlier request on the connection.
            return Some(match has_id {
                true => AttemptFailure::TargetRefused,
                false => AttemptFailure::CrossedAnswer,
            });
        }
        // Engines echo the attempt id in every successful response.
        if self.request.kind == ServiceKind::Model && !has_id && status.is_success() {
            return Some(AttemptFailure::CrossedAnswer);
        }
        None
    }

    /// Ends a failed attempt, and cancels it at the target when it may still be running there.
    pub(crate) fn abandon_failed(
        &self,
        attempt: AttemptId,
        source: ResponseSource,
        failure: AttemptFailure,
    ) {
        if failure.outcome() == Outcome::Unknown {
            return self.abandon(attempt, source, AttemptEnd::Failure);
        }
        if let ResponseSource::Target { in_flight, .. } = source {
            in_flight.finish(self.gate.clock.mono(), AttemptEnd::Failure);
        }
    }

    fn target_headers(&self, attempt: AttemptId) -> HeaderMap {
        let mut headers = target_request_headers(&self.request.headers);
        headers.insert(ATTEMPT_ID, header_value(&attempt.to_string()));
        headers.insert(
            ENGINE_PRIORITY,
            HeaderValue::from_static(self.request.class.as_str()),
        );
        headers.append(VIA_NAME, HeaderValue::from_static(VIA));
        if self.request.kind == ServiceKind::Model {
            let json = HeaderValue::from_static("application/json");
            headers.entry(CONTENT_TYPE).or_insert(json);
        }
        headers
    }
}

/// Returns the chat request with the number of already delivered tokens as `resume_from`.
fn resume_body(body: &Bytes, tokens: u64) -> Bytes {
    let Ok(serde_json::Value::Object(mut object)) = serde_json::from_slice(body) else {
        return body.clone();
    };
    object.insert("resume_from".to_owned(), tokens.into());
    serde_json::to_vec(&object).map_or_else(|_| body.clone(), Bytes::from)
}
