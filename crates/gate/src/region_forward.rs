//! Forwarding a request to a host of another region, or to the owner of its idempotency key.

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue};
use lw_base::prelude::*;
use lw_base::report_violation;
use lw_flow::AttemptFailure;
use rand::seq::IndexedRandom;

use crate::accepted_request::AcceptedRequest;
use crate::accepted_response::{AcceptedResponse, ResponseSource};
use crate::attempts::AttemptError;
use crate::clock::Clock;
use crate::exchange::Exchange;
use crate::gate::Gate;
use crate::header_names::{
    CALLER_ATTEMPT, ERROR, OUTCOME, PEER_ALLOWED, PEER_CUSTOMER, PEER_DEADLINE_MS, PEER_HOP,
    PEER_REQUEST_ID, PEER_REVISION, PEER_SERVICE, PRIORITY, REQUEST_ID,
};
use crate::headers::{header_text, header_value, target_request_headers};
use crate::target_client::OpenResponse;

/// Prefix of the paths of forwarded requests; the path for the target follows.
pub(crate) const FORWARD_PATH: &str = "/peer/forward";

impl Exchange {
    /// Forwards the request to a host of another region.
    pub(crate) async fn try_region(
        &mut self,
        region: &str,
    ) -> Result<AcceptedResponse, AttemptError> {
        self.record_tried_region(region.into());
        let view = self.gate.router.view();
        let Some(key) = view.fleet().regions.key(region) else {
            return Err(AttemptError::Skipped);
        };
        if !self.check_region(&view, key) {
            return Err(AttemptError::Ended(self.end(ErrorKind::ResidencyRefused)));
        }
        let addresses = (self.gate.hosts.forward_addresses)(region);
        let Some(address) = addresses.choose(&mut rand::rng()).cloned() else {
            self.record_region_failure(region);
            return Err(AttemptError::Skipped);
        };
        let result = self.forward(Hop::Region, &address).await;
        if let Err(AttemptError::Failed(_, failure)) = &result
            && failure.kind() != ErrorKind::ResidencyRefused
        {
            self.record_region_failure(region);
        }
        result
    }

    fn record_region_failure(&self, region: &str) {
        let view = self.gate.router.view();
        let fleet = view.fleet();
        if let (Some(service), Some(region)) = (
            fleet.services.key(&self.request.service),
            fleet.regions.key(region),
        ) {
            view.region_failed(self.gate.clock.mono(), service, region);
        }
    }

    /// Forwards the request to another host, as the hop `hop`.
    pub(crate) async fn forward(
        &mut self,
        hop: Hop,
        address: &str,
    ) -> Result<AcceptedResponse, AttemptError> {
        if !self.request.hop.allows(hop) {
            report_violation(
                Invariant::NoLoop,
                format_args!(
                    "request {} was about to be forwarded by a second {hop:?} hop",
                    self.request.id
                ),
            );
            return Err(AttemptError::Ended(self.end(ErrorKind::LoopDetected)));
        }
        let attempt = match self.flow.start_attempt(self.gate.clock.mono()) {
            Ok(attempt) => attempt,
            Err(kind) => return Err(AttemptError::Ended(self.end(kind))),
        };
        self.gate
            .metrics
            .count_attempt(&self.request.service, hop.as_str());
        let path = format!("{FORWARD_PATH}{}", self.request.path);
        let headers = forward_headers(&self.gate, &self.request, hop, &path);
        let body: Bytes = self.request.body.clone();
        let client = self.gate.target_client.clone();
        let send = client.send(address, &self.request.method, &path, headers, body);
        let caller_gone = self.request.caller_gone.clone();
        let sent = tokio::select! {
            sent = send => sent,
            () = caller_gone.cancelled() => return Err(AttemptError::Ended(self.end(ErrorKind::CallerGone))),
            () = tokio::time::sleep_until(self.deadline()) => {
                return Err(AttemptError::Ended(self.end(self.flow.deadline_kind())));
            }
        };
        let opened = sent.map_err(|failure| AttemptError::Failed(attempt, failure))?;
        self.accept_forwarded_response(attempt, opened)
    }

    fn accept_forwarded_response(
        &mut self,
        attempt: AttemptId,
        opened: OpenResponse,
    ) -> Result<AcceptedResponse, AttemptError> {
        let headers = opened.response.headers();
        if let Some(failure) = reported_failure(headers) {
            self.detail.retry_after_ms = retry_after_ms(headers);
            return Err(AttemptError::Failed(attempt, failure));
        }
        let is_own = header_text(headers, &REQUEST_ID) == Some(&self.request.id.to_string());
        if !is_own || !self.flow.accept_head(attempt) {
            opened.poison();
            return Err(AttemptError::Failed(attempt, AttemptFailure::CrossedAnswer));
        }
        let (head, body) = opened.response.into_parts();
        Ok(AcceptedResponse {
            attempt,
            head,
            body,
            source: ResponseSource::Host,
        })
    }
}

fn reported_failure(headers: &HeaderMap) -> Option<AttemptFailure> {
    let name = header_text(headers, &ERROR)?;
    let outcome = header_text(headers, &OUTCOME).and_then(Outcome::from_name);
    let kind = ErrorKind::from_name(name);
    Some(match (kind, outcome) {
        (Some(kind), Some(outcome)) if outcome != Outcome::Complete => {
            AttemptFailure::Reported { kind, outcome }
        }
        // A host of a newer version may send error kinds that this version does not know.
        _ => AttemptFailure::AnswerLost,
    })
}

fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: u64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(seconds.saturating_mul(1_000))
}

/// Builds the headers of a forwarded request.
///
/// They include the regions that this host allows; the receiving host intersects them with the regions that it allows
/// itself (`Invariant::Residency`).
fn forward_headers(gate: &Gate, request: &AcceptedRequest, hop: Hop, path: &str) -> HeaderMap {
    let view = gate.router.view();
    let fleet = view.fleet();
    let allowed = request.allowed_regions(fleet);
    let names: Vec<&str> = allowed
        .iter()
        .filter_map(|key| {
            fleet.regions.get(key)?;
            Some(&**fleet.regions.name(key))
        })
        .collect();
    let mut headers = target_request_headers(&request.headers);
    headers.insert(PEER_HOP, HeaderValue::from_static(hop.as_str()));
    headers.insert(PEER_REQUEST_ID, header_value(&request.id.to_string()));
    headers.insert(PEER_REVISION, HeaderValue::from(fleet.revision));
    headers.insert(PEER_ALLOWED, header_value(&names.join(",")));
    let remaining_ms = request.deadline.since_ms(gate.clock.mono());
    headers.insert(PEER_DEADLINE_MS, HeaderValue::from(remaining_ms));
    headers.insert(PEER_SERVICE, header_value(&request.service));
    headers.insert(PEER_CUSTOMER, header_value(&request.customer));
    headers.insert(PRIORITY, HeaderValue::from_static(request.class.as_str()));
    if request.first_attempt {
        headers.insert(CALLER_ATTEMPT, HeaderValue::from_static("1"));
    }
    gate.peer_auth.sign(
        Clock::wall(),
        &request.method,
        path,
        &mut headers,
        &request.body,
    );
    headers
}
