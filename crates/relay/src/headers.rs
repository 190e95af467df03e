//! Headers that travel on.

use std::fmt::Display;

use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

use crate::names::HeaderNames;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Says that a request comes from another host, with the time that is left, in milliseconds.
pub(crate) const HOP: HeaderName = HeaderName::from_static("x-relay-remaining-ms");
/// Says that the request comes from a host of the same region, and goes to a target.
pub(crate) const NEAR: HeaderName = HeaderName::from_static("x-relay-near");
/// The targets on which the request was tried already, by hash, so that another host does not try them again.
pub(crate) const TRIED: HeaderName = HeaderName::from_static("x-relay-tried");
/// Says how a host ended a request by itself.
pub(crate) const OWN_END: HeaderName = HeaderName::from_static("x-relay-end");
/// Asks a host for its mirror.
pub(crate) const MIRROR: HeaderName = HeaderName::from_static("x-relay-mirror");

/// Headers that belong to one connection.
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

/// Headers of the protocol between hosts; those of callers are dropped.
const BETWEEN_HOSTS: [HeaderName; 5] = [HOP, NEAR, TRIED, OWN_END, MIRROR];

/// Returns the headers of a request that travel to its target or to another host.
pub(crate) fn for_target(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut kept = travelling(headers);
    for name in names.reserved.iter().chain(&BETWEEN_HOSTS) {
        kept.remove(name);
    }
    kept
}

/// Returns the headers of an answer that travel on.
pub(crate) fn for_caller(headers: &HeaderMap) -> HeaderMap {
    let mut kept = travelling(headers);
    for name in &BETWEEN_HOSTS {
        kept.remove(name);
    }
    kept
}

fn travelling(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len() + 4);
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
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns the sum of names and values with their separators.
pub(crate) fn size_bytes(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    lines
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}

/// Returns the text of a header.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of a number or of a name that was a header value before.
pub(crate) fn value(text: impl Display) -> HeaderValue {
    HeaderValue::from_str(&format!("{text}")).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Returns how long an idle connection stays open, in milliseconds, as the other side says.
pub(crate) fn kept_ms(headers: &HeaderMap) -> Option<u64> {
    let parameters = text(headers, &KEEP_ALIVE)?.split(',');
    let mut timeouts = parameters.filter_map(|part| part.trim().strip_prefix("timeout="));
    let timeout_s: u64 = timeouts.next()?.trim().parse().ok()?;
    Some(timeout_s * 1_000)
}

/// Returns whether the body was encoded on the way, so that it is not the target's.
pub(crate) fn is_encoded(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_ENCODING)
        .is_some_and(|encoding| encoding != "identity")
}
