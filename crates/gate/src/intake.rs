//! Checking and accepting requests from callers.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use lw_admit::CustomerId;
use lw_base::prelude::*;
use lw_doc::{Fleet, Service, ServiceKind};
use uuid::Uuid;

use crate::accepted_request::AcceptedRequest;
use crate::chat_request::ChatRequest;
use crate::credentials::has_token;
use crate::gate::Gate;
use crate::header_names::{CALLER_ATTEMPT, CUSTOMER, DEADLINE_MS, IDEMPOTENCY_KEY, PRIORITY};
use crate::headers::{check_caller_headers, header_text};
use crate::incoming_request::{IncomingRequest, RequestBodyError};
use crate::limits::{MAX_BODY_BYTES, MAX_DEADLINE_MS, MAX_KEYED_DEADLINE_MS};
use crate::problem::Problem;

/// The path of chat requests.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// Prefix of the paths of plain services.
pub(crate) const PLAIN_PREFIX: &str = "/s/";

/// The service that a request is for, from the path and body of the request.
pub(crate) struct RequestedService {
    pub(crate) service: Arc<str>,
    /// The path and query that the target receives.
    pub(crate) path: Arc<str>,
    /// The stable hash of the shared prefix, and the prefill time in milliseconds that a cached copy saves.
    pub(crate) prefix: Option<(u64, f64)>,
}

impl Gate {
    /// Checks a request from a caller and accepts it.
    pub(crate) fn accept_caller_request(
        &self,
        incoming: &IncomingRequest,
    ) -> Result<AcceptedRequest, Problem> {
        check_caller_headers(&incoming.headers)?;
        if let Some(kind) = self.state.refusal() {
            return Err(self.host_refusal(kind));
        }
        let body = received_body(incoming)?;
        let requested = parse_request(
            &incoming.method,
            incoming.uri.path(),
            incoming.uri.query(),
            &body,
        )?;
        let view = self.router.view();
        let fleet = view.fleet();
        let service = find_service(fleet, &requested, incoming.uri.path())?;
        let customer = self.find_customer(fleet, incoming)?;
        let mut request = build_request(incoming, body, requested, service, customer)?;
        request.deadline =
            self.clock
                .mono()
                .plus_ms(deadline_ms(incoming, service, request.idempotent)?);
        self.check_limit(fleet, &request)?;
        Ok(request)
    }

    fn host_refusal(&self, kind: ErrorKind) -> Problem {
        let mut problem = Problem::from(kind);
        let hosts = (self.hosts.entry_hosts)(&self.identity.region);
        let others = hosts.into_iter().filter(|host| !host.leaving);
        problem.detail.entry_hosts = others.map(|host| host.address).collect();
        problem
    }

    /// Returns the name of the customer after checking its credential; empty for a request without a customer.
    fn find_customer(
        &self,
        fleet: &Fleet,
        incoming: &IncomingRequest,
    ) -> Result<Arc<str>, Problem> {
        if !incoming.headers.contains_key(CUSTOMER) {
            return Ok("".into());
        }
        let name = header_text(&incoming.headers, &CUSTOMER).unwrap_or("");
        let key = fleet.customers.key(name).ok_or_else(|| {
            let message = format!(
                "X-Customer: no customer is named {name:?}; use a customer of the configuration"
            );
            Problem::new(ErrorKind::Unauthorized, message)
        })?;
        if let Some(digest) = &fleet.customers[key].key_digest
            && !has_token(&incoming.headers, digest)
        {
            return Err(ErrorKind::Unauthorized.into());
        }
        Ok(fleet.customers.name(key).clone())
    }

    fn check_limit(&self, fleet: &Fleet, request: &AcceptedRequest) -> Result<(), Problem> {
        let Some(key) = fleet.customers.key(&request.customer) else {
            return Ok(());
        };
        let Some(limit_per_s) = fleet.customers[key].requests_per_s else {
            return Ok(());
        };
        let now = self.clock.mono();
        let id = CustomerId::of_name(&request.customer);
        let hosts = (self.hosts.live_hosts)();
        let admitted = self
            .customer_limits
            .lock()
            .admit(now, id, limit_per_s, hosts);
        admitted.map_err(|wait_ms| {
            let mut problem = Problem::from(ErrorKind::LimitExceeded);
            problem.detail.retry_after_ms = Some(wait_ms);
            problem
        })
    }
}

/// Returns the body of the request.
///
/// # Errors
///
/// Returns the error for the caller when the body could not be read.
pub(crate) fn received_body(incoming: &IncomingRequest) -> Result<Bytes, Problem> {
    incoming.body.clone().map_err(|error| match error {
        RequestBodyError::TooLarge => {
            let message =
                format!("the body is larger than {MAX_BODY_BYTES} bytes; send a smaller one");
            Problem::new(ErrorKind::BodyTooLarge, message)
        }
        RequestBodyError::Malformed => Problem::new(
            ErrorKind::BadRequest,
            "the body is malformed, or shorter than its Content-Length; send it again",
        ),
        RequestBodyError::TooSlow => Problem::new(
            ErrorKind::BadRequest,
            "the body did not arrive in time; send it again, or send a smaller one",
        ),
    })
}

/// Parses the path and body of a request.
pub(crate) fn parse_request(
    method: &Method,
    path: &str,
    query: Option<&str>,
    body: &[u8],
) -> Result<RequestedService, Problem> {
    if path == CHAT_PATH {
        return parse_chat_request(method, body);
    }
    let Some(rest) = path.strip_prefix(PLAIN_PREFIX) else {
        let message = format!("no such path; use {CHAT_PATH} or {PLAIN_PREFIX}<service>/<path>");
        return Err(Problem::new(ErrorKind::UnknownService, message));
    };
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let path = match query {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    Ok(RequestedService {
        service: service.into(),
        path: path.into(),
        prefix: None,
    })
}

fn parse_chat_request(method: &Method, body: &[u8]) -> Result<RequestedService, Problem> {
    if *method != Method::POST {
        let message = format!("{CHAT_PATH} accepts only POST; send POST");
        return Err(Problem::new(ErrorKind::BadRequest, message));
    }
    let chat = ChatRequest::parse(body)?;
    Ok(RequestedService {
        service: chat.model.as_str().into(),
        path: CHAT_PATH.into(),
        prefix: chat.shared_prefix(),
    })
}

/// Returns the service after checking that its kind matches the path.
pub(crate) fn find_service<'a>(
    fleet: &'a Fleet,
    requested: &RequestedService,
    path: &str,
) -> Result<&'a Service, Problem> {
    let key = fleet.services.key(&requested.service);
    let service = key.map(|key| &fleet.services[key]).ok_or_else(|| {
        let message = format!(
            "no service is named {:?}; use the name of a service of the configuration",
            requested.service
        );
        Problem::new(ErrorKind::UnknownService, message)
    })?;
    let kind = match path == CHAT_PATH {
        true => ServiceKind::Model,
        false => ServiceKind::Plain,
    };
    if service.kind == kind {
        return Ok(service);
    }
    let message = match service.kind {
        ServiceKind::Model => format!("{:?} is a model; use {CHAT_PATH}", requested.service),
        ServiceKind::Plain => {
            format!(
                "{:?} is a plain service; use {PLAIN_PREFIX}{}/<path>",
                requested.service, requested.service
            )
        }
    };
    Err(Problem::new(ErrorKind::UnknownService, message))
}

fn build_request(
    incoming: &IncomingRequest,
    body: Bytes,
    requested: RequestedService,
    service: &Service,
    customer: Arc<str>,
) -> Result<AcceptedRequest, Problem> {
    let idempotent = is_idempotent(service, &incoming.method);
    let key = header_text(&incoming.headers, &IDEMPOTENCY_KEY).map(Arc::from);
    if !idempotent && key.is_none() {
        return Err(ErrorKind::KeyMissing.into());
    }
    Ok(AcceptedRequest {
        id: RequestId(Uuid::now_v7()),
        hop: Hop::Caller,
        service: requested.service,
        kind: service.kind,
        customer,
        class: priority_class(incoming, service)?,
        idempotent,
        key,
        first_attempt: header_text(&incoming.headers, &CALLER_ATTEMPT) == Some("1"),
        method: incoming.method.clone(),
        path: requested.path,
        headers: incoming.headers.clone(),
        body,
        prefix: requested.prefix,
        deadline: MonoMs(0),
        sender_allowed: None,
        caller_gone: incoming.caller_gone.clone(),
    })
}

/// Returns true when a request to the service with this method may run more than once.
pub(crate) fn is_idempotent(service: &Service, method: &Method) -> bool {
    let methods = &service.non_idempotent_methods;
    !methods.iter().any(|listed| **listed == *method.as_str())
}

/// Returns the priority class of the service, or the lower one that the request specifies.
pub(crate) fn priority_class(
    incoming: &IncomingRequest,
    service: &Service,
) -> Result<PriorityClass, Problem> {
    let Some(name) = header_text(&incoming.headers, &PRIORITY) else {
        return Ok(service.priority);
    };
    let Some(class) = PriorityClass::from_name(name) else {
        let message = format!(
            "Lacewingstile-Priority: {name:?} is not a priority class; use lookup, interactive or batch"
        );
        return Err(Problem::new(ErrorKind::BadRequest, message));
    };
    Ok(class.max(service.priority))
}

fn deadline_ms(
    incoming: &IncomingRequest,
    service: &Service,
    idempotent: bool,
) -> Result<u64, Problem> {
    let longest_ms = match idempotent {
        true => MAX_DEADLINE_MS.max(service.deadline_ms),
        false => MAX_KEYED_DEADLINE_MS,
    };
    let Some(value) = header_text(&incoming.headers, &DEADLINE_MS) else {
        return Ok(service.deadline_ms.min(longest_ms));
    };
    match value.parse::<u64>() {
        Ok(requested_ms) if requested_ms > 0 => Ok(requested_ms.min(longest_ms)),
        _ => {
            let message = format!(
                "Lacewingstile-Deadline-Ms: {value:?} is not a positive number; use milliseconds, from 1"
            );
            Err(Problem::new(ErrorKind::BadRequest, message))
        }
    }
}
