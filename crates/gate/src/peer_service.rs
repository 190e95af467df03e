//! Listener for requests that other hosts forward.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::report_violation;
use lw_doc::{Fleet, ServiceKind};

use crate::accepted_request::AcceptedRequest;
use crate::chat_request::ChatRequest;
use crate::clock::Clock;
use crate::exchange::Exchange;
use crate::gate::Gate;
use crate::header_names::{
    CALLER_ATTEMPT, IDEMPOTENCY_KEY, PEER_ALLOWED, PEER_CUSTOMER, PEER_DEADLINE_MS, PEER_HOP,
    PEER_REQUEST_ID, PEER_SERVICE, REQUEST_ID,
};
use crate::headers::{check_size, header_text, header_value};
use crate::incoming_request::IncomingRequest;
use crate::intake::{is_idempotent, priority_class, received_body};
use crate::limits::MAX_DEADLINE_MS;
use crate::peer_auth::AuthRefusal;
use crate::problem::Problem;
use crate::region_forward::FORWARD_PATH;
use crate::reply::Reply;
use crate::server::Handler;

impl Gate {
    /// Returns the handler of the listener for other hosts.
    #[must_use]
    pub fn peer_handler(self: &Arc<Self>) -> Handler {
        let gate = self.clone();
        Arc::new(move |incoming| {
            let gate = gate.clone();
            Box::pin(async move { gate.serve_peer(incoming).await })
        })
    }

    async fn serve_peer(self: Arc<Self>, incoming: IncomingRequest) -> Reply {
        let request = match self.accept_peer_request(&incoming) {
            Ok(request) => request,
            Err(problem) => return self.reject(&problem, &incoming.headers),
        };
        let id = header_value(&request.id.to_string());
        let mut reply = Exchange::new(self, request).serve().await;
        reply.headers.insert(REQUEST_ID, id);
        reply
    }

    /// Checks a request from another host and accepts it.
    fn accept_peer_request(&self, incoming: &IncomingRequest) -> Result<AcceptedRequest, Problem> {
        check_size(&incoming.headers)?;
        let body = received_body(incoming)?;
        let path = incoming
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str());
        self.peer_auth
            .check(
                Clock::wall(),
                &incoming.method,
                path,
                &incoming.headers,
                &body,
            )
            .map_err(|refusal| self.authentication_problem(refusal))?;
        if let Some(kind) = self.state.refusal() {
            return Err(kind.into());
        }
        let view = self.router.view();
        let fleet = view.fleet();
        let mut request = parse_forwarded_request(fleet, incoming, path)?;
        request.deadline = self.clock.mono().plus_ms(remaining_ms(incoming)?);
        request.body = body;
        read_shared_prefix(&mut request);
        self.check_forwarded(fleet, &request)?;
        Ok(request)
    }

    fn authentication_problem(&self, refusal: AuthRefusal) -> Problem {
        let (reason, message) = match refusal {
            AuthRefusal::Malformed => (
                "malformed",
                "the header Lw-Auth is missing or malformed; only hosts of the gateway may use this listener",
            ),
            AuthRefusal::WrongTag => (
                "wrong-tag",
                "the tag in Lw-Auth does not match; compare the peer keys of both hosts",
            ),
            AuthRefusal::Stale => (
                "stale",
                "the time in Lw-Auth differs too much from this host's clock; compare the wall clocks of both hosts",
            ),
            AuthRefusal::Replayed => (
                "replayed",
                "this request was received before; sign it again with a new nonce",
            ),
        };
        self.metrics.peer_refused.with_label_values(&[reason]).inc();
        Problem::new(ErrorKind::Unauthorized, message)
    }

    /// Checks the residency rules of the sender and of this host ([`Invariant::Residency`]).
    ///
    /// It is a violation when the sender's own allowed regions do not include this region. When only the rules of this
    /// host forbid the request, this host has a newer revision; the request is refused without counting a violation.
    fn check_forwarded(&self, fleet: &Fleet, request: &AcceptedRequest) -> Result<(), Problem> {
        let local = &self.identity.region;
        let sent_here = request
            .sender_allowed
            .as_ref()
            .is_some_and(|names| names.iter().any(|name| name == local));
        if !sent_here {
            report_violation(
                Invariant::Residency,
                format_args!(
                    "request {} was forwarded to a region that its sender does not allow",
                    request.id
                ),
            );
            return Err(ErrorKind::ResidencyRefused.into());
        }
        let allowed = request.allowed_regions(fleet);
        let is_allowed = fleet
            .regions
            .key(local)
            .is_some_and(|key| allowed.contains(key));
        match is_allowed {
            true => Ok(()),
            false => Err(ErrorKind::ResidencyRefused.into()),
        }
    }
}

fn malformed_header(name: &str) -> Problem {
    let message =
        format!("the header {name} is missing or malformed; compare the versions of both hosts");
    Problem::new(ErrorKind::BadRequest, message)
}

fn parse_forwarded_request(
    fleet: &Fleet,
    incoming: &IncomingRequest,
    path: &str,
) -> Result<AcceptedRequest, Problem> {
    let headers = &incoming.headers;
    let path = path.strip_prefix(FORWARD_PATH).ok_or_else(|| {
        Problem::new(
            ErrorKind::UnknownService,
            "no such path on this listener; use /peer/forward",
        )
    })?;
    let hop = header_text(headers, &PEER_HOP).and_then(Hop::from_name);
    let hop = hop.filter(|hop| Hop::Caller.allows(*hop));
    let hop = hop.ok_or_else(|| malformed_header("Lw-Hop"))?;
    let id = header_text(headers, &PEER_REQUEST_ID).and_then(|id| id.parse().ok());
    let service_name = header_text(headers, &PEER_SERVICE).unwrap_or("");
    let key = fleet.services.key(service_name);
    let service = key.map(|key| &fleet.services[key]);
    let service = service.ok_or(ErrorKind::UnknownService)?;
    let allowed = header_text(headers, &PEER_ALLOWED)
        .ok_or_else(|| malformed_header("Lw-Allowed-Regions"))?;
    Ok(AcceptedRequest {
        id: id.ok_or_else(|| malformed_header("Lw-Request-Id"))?,
        hop,
        service: service_name.into(),
        kind: service.kind,
        customer: header_text(headers, &PEER_CUSTOMER).unwrap_or("").into(),
        class: priority_class(incoming, service)?,
        // A request that was forwarded to the owner of its key is not idempotent in the revision of the sender. It must
        // not run twice here either, even when it is idempotent in the revision of this host.
        idempotent: hop != Hop::Owner && is_idempotent(service, &incoming.method),
        key: header_text(headers, &IDEMPOTENCY_KEY).map(Arc::from),
        first_attempt: header_text(headers, &CALLER_ATTEMPT) == Some("1"),
        method: incoming.method.clone(),
        path: path.into(),
        headers: headers.clone(),
        body: bytes::Bytes::new(),
        prefix: None,
        deadline: MonoMs(0),
        sender_allowed: Some(allowed.split(',').map(Arc::from).collect()),
        caller_gone: incoming.caller_gone.clone(),
    })
}

fn remaining_ms(incoming: &IncomingRequest) -> Result<u64, Problem> {
    let value = header_text(&incoming.headers, &PEER_DEADLINE_MS);
    let value = value.and_then(|value| value.parse::<u64>().ok());
    let remaining_ms = value.ok_or_else(|| malformed_header("Lw-Deadline-Ms"))?;
    Ok(remaining_ms.min(MAX_DEADLINE_MS))
}

fn read_shared_prefix(request: &mut AcceptedRequest) {
    if request.kind != ServiceKind::Model {
        return;
    }
    let body = request.body.clone();
    if let Ok(chat) = ChatRequest::parse(&body) {
        request.prefix = chat.shared_prefix();
    }
}
