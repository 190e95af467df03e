//! Headers that are forwarded, and headers of the protocol between hosts.

use std::fmt::Display;

use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::names::HeaderNames;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Marks a request of another host, with the time until its deadline in milliseconds.
pub(crate) const REMAINING_MS: HeaderName = HeaderName::from_static("x-relay-remaining-ms");
/// Marks a request of a host of the same region, which goes to a target next.
pub(crate) const SAME_REGION: HeaderName = HeaderName::from_static("x-relay-near");
/// The hashes of the targets on which the request was already tried, so that another host does not try them again.
pub(crate) const TRIED_TARGETS: HeaderName = HeaderName::from_static("x-relay-tried");
/// The version and the service by which the sender of a forwarded request has decided.
pub(crate) const DECISION: HeaderName = HeaderName::from_static("x-relay-decision");
/// The outcome of a request that a host answered itself.
pub(crate) const LOCAL_OUTCOME: HeaderName = HeaderName::from_static("x-relay-end");
/// Requests a host's copy of the platform state, with the version that the sender already has.
pub(crate) const MIRROR_AS_OF: HeaderName = HeaderName::from_static("x-relay-mirror");

/// Marks the reply to a request with [`MIRROR_AS_OF`] of a host that is isolated: its state may be out of date.
pub(crate) const MIRROR_ISOLATED: HeaderName = HeaderName::from_static("x-relay-isolated");

/// Names a target that has said in this answer that it is leaving, by its hash.
pub(crate) const LEAVING_TARGET: HeaderName = HeaderName::from_static("x-relay-leaving");

/// Names what this host refuses, a part of the prompt or the request as a whole, by its key, and for how long, in milliseconds.
pub(crate) const QUARANTINED_PART: HeaderName = HeaderName::from_static("x-relay-quarantined");

/// How long all targets of the service are closed to the host that refuses a request, in milliseconds.
pub(crate) const CLOSED_MS: HeaderName = HeaderName::from_static("x-relay-closed-ms");

/// Marks the answers of a host that is leaving to other hosts.
pub(crate) const LEAVING_HOST: HeaderName = HeaderName::from_static("x-relay-host-leaving");

/// The maximum number of headers of a caller's request.
pub(crate) const MAX_HEADERS: usize = 512;
/// The maximum number of headers of an answer and of messages between hosts, which add some of their own.
pub(crate) const MAX_PEER_HEADERS: usize = MAX_HEADERS + 32;

/// Headers that apply to one connection only.
const HOP_BY_HOP: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers of the protocol between hosts; they are removed from requests of callers.
const PEER_HEADERS: [HeaderName; 10] = [
    REMAINING_MS,
    SAME_REGION,
    TRIED_TARGETS,
    DECISION,
    LOCAL_OUTCOME,
    MIRROR_AS_OF,
    LEAVING_TARGET,
    QUARANTINED_PART,
    CLOSED_MS,
    LEAVING_HOST,
];

/// Returns the headers of a request that are forwarded to its target or to another host.
pub(crate) fn forwarded_request_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers);
    for name in names.reserved.iter().chain(&PEER_HEADERS) {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns the headers of an answer that are forwarded to the caller.
pub(crate) fn forwarded_answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers);
    for name in &PEER_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}

fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    let listed = headers.get_all(CONNECTION);
    for (name, value) in headers {
        let is_listed = || {
            listed.iter().any(|value| {
                let names = value.to_str().unwrap_or_default().split(',');
                let mut names = names.map(str::trim);
                names.any(|listed| listed.eq_ignore_ascii_case(name.as_str()))
            })
        };
        if !HOP_BY_HOP.contains(name) && !is_listed() {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns the size of all names and values with their separators, in bytes.
pub(crate) fn size_bytes(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    lines
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}

/// Returns the value of a header as text, or `None` when it is missing or not ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Formats a number or a name as a header value. The value is empty if the text contains characters that a header value
/// must not contain.
pub(crate) fn header_value(text: impl Display) -> HeaderValue {
    HeaderValue::from_str(&format!("{text}")).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Returns how long the peer keeps an idle connection open, in milliseconds, from its keep-alive header.
pub(crate) fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let parameters = header_text(headers, &KEEP_ALIVE)?.split(',');
    let mut timeouts = parameters.filter_map(|part| part.trim().strip_prefix("timeout="));
    let timeout_s: u64 = timeouts.next()?.trim().parse().ok()?;
    Some(timeout_s.saturating_mul(1_000))
}

/// Returns whether the body has a content encoding, which means that an intermediary changed the target's body.
pub(crate) fn is_encoded(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_ENCODING)
        .is_some_and(|encoding| encoding != "identity")
}

/// Returns whether the end of a body is known from its head, and not only from the end of its connection.
pub(crate) fn is_framed(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_empty = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    is_empty || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
