//! Checks of request headers, and the headers that travel on.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, VIA as VIA_NAME,
};
use http::{HeaderMap, HeaderValue};
use lw_base::ErrorKind;

use crate::header_names::{ATTEMPT_ID, CUSTOMER, PEER_PREFIX, VIA};
use crate::limits::{MAX_HEADER_BYTES, MAX_HEADER_LINES};
use crate::problem::Problem;

/// Headers that belong to one connection.
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

/// The prefix of headers that only this system sets in responses.
const OWN_PREFIX: &str = "lacewingstile-";

/// Checks the headers of a request from outside.
pub(crate) fn check_caller_headers(headers: &HeaderMap) -> Result<(), Problem> {
    check_size(headers)?;
    if let Some(name) = headers.keys().find(|name| is_internal(name)) {
        let message =
            format!("the header {name} is reserved for hosts of the gateway; leave it out");
        return Err(Problem::new(ErrorKind::BadRequest, message));
    }
    if passed_through(headers) {
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
            "{} header lines of {bytes} bytes; send at most {MAX_HEADER_LINES} lines of {MAX_HEADER_BYTES} bytes",
            headers.len()
        );
        return Err(Problem::new(ErrorKind::HeadersTooLarge, message));
    }
    Ok(())
}

fn is_internal(name: &HeaderName) -> bool {
    name.as_str().starts_with(PEER_PREFIX) || *name == ATTEMPT_ID
}

fn passed_through(headers: &HeaderMap) -> bool {
    let own = VIA.split_once(' ').map_or(VIA, |(_, name)| name);
    headers.get_all(VIA_NAME).iter().any(|value| {
        let Ok(text) = value.to_str() else {
            return false;
        };
        text.split(',').any(|part| {
            let mut words = part.split_ascii_whitespace().skip(1);
            words.next() == Some(own)
        })
    })
}

/// Returns the headers of a request that travel to its target.
///
/// The customer's credential and the headers for the gateway stay behind.
pub(crate) fn for_target(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    let listed = listed_in_connection(headers);
    for (name, value) in headers {
        let own = name.as_str().starts_with(OWN_PREFIX) || is_internal(name);
        let stays = own || *name == AUTHORIZATION || *name == CUSTOMER;
        if stays || HOP_BY_HOP.contains(name) || listed.iter().any(|other| other == name.as_str()) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Returns the headers of a target's response that travel to the caller.
pub(crate) fn for_caller(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len() + 4);
    let listed = listed_in_connection(headers);
    for (name, value) in headers {
        let own = name.as_str().starts_with(OWN_PREFIX) || is_internal(name);
        if own || HOP_BY_HOP.contains(name) || listed.iter().any(|other| other == name.as_str()) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

fn listed_in_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Returns the text of a header.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of a text that may come from outside; characters that headers cannot hold make it empty.
pub(crate) fn value_of(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
