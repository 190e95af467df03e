//! Checks and filters of headers.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, VIA as VIA_NAME,
};
use http::{HeaderMap, HeaderValue};
use lw_base::ErrorKind;

use crate::header_names::{ATTEMPT_ID, CUSTOMER, PEER_PREFIX, VIA};
use crate::limits::{MAX_HEADER_BYTES, MAX_HEADER_LINES};
use crate::problem::Problem;

/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Prefix of the headers between callers and the gateway; they are not forwarded.
const GATEWAY_PREFIX: &str = "lacewingstile-";

/// Checks the headers of a request from a caller.
///
/// Rejects headers that only hosts of the gateway may send, and requests that already passed through the gateway.
pub(crate) fn check_caller_headers(headers: &HeaderMap) -> Result<(), Problem> {
    check_size(headers)?;
    if let Some(name) = headers.keys().find(|name| is_internal(name)) {
        let message = format!("the header {name} is reserved for hosts of the gateway; remove it");
        return Err(Problem::new(ErrorKind::BadRequest, message));
    }
    if passed_this_gateway(headers) {
        return Err(ErrorKind::LoopDetected.into());
    }
    Ok(())
}

/// Checks the number and size of headers.
pub(crate) fn check_size(headers: &HeaderMap) -> Result<(), Problem> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if headers.len() > MAX_HEADER_LINES || bytes > MAX_HEADER_BYTES {
        let message = format!(
            "the request has {} header lines of {bytes} bytes; send at most {MAX_HEADER_LINES} lines of \
             {MAX_HEADER_BYTES} bytes in total",
            headers.len()
        );
        return Err(Problem::new(ErrorKind::HeadersTooLarge, message));
    }
    Ok(())
}

fn is_internal(name: &HeaderName) -> bool {
    name.as_str().starts_with(PEER_PREFIX) || *name == ATTEMPT_ID
}

fn passed_this_gateway(headers: &HeaderMap) -> bool {
    let gateway_name = VIA.split_once(' ').map_or(VIA, |(_, name)| name);
    headers.get_all(VIA_NAME).iter().any(|value| {
        let Ok(text) = value.to_str() else {
            return false;
        };
        text.split(',').any(|part| {
            let mut words = part.split_ascii_whitespace().skip(1);
            words.next() == Some(gateway_name)
        })
    })
}

/// Returns the headers of a request that are sent to its target, without the customer's credential and the headers for
/// the gateway.
pub(crate) fn target_request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    let connection_options = parse_connection_options(headers);
    for (name, value) in headers {
        let is_reserved = name.as_str().starts_with(GATEWAY_PREFIX) || is_internal(name);
        let is_private = is_reserved || *name == AUTHORIZATION || *name == CUSTOMER;
        if is_private
            || HOP_BY_HOP.contains(name)
            || connection_options
                .iter()
                .any(|other| other == name.as_str())
        {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

/// Returns the headers of a target's response that are sent to the caller, without those reserved for the gateway.
pub(crate) fn caller_response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    let connection_options = parse_connection_options(headers);
    for (name, value) in headers {
        let is_reserved = name.as_str().starts_with(GATEWAY_PREFIX) || is_internal(name);
        if is_reserved
            || HOP_BY_HOP.contains(name)
            || connection_options
                .iter()
                .any(|other| other == name.as_str())
        {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

fn parse_connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Returns the value of a header as text; `None` when it is missing or not visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Converts untrusted text to a header value; the value is empty when the text has characters that headers cannot hold.
pub(crate) fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
