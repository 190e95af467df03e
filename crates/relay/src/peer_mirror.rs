//! Passing the platform's state on between hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use lw_mesh::Listing;

use crate::connection::connect;
use crate::headers::{MIRROR, text, value};
use crate::host::Host;
use crate::reply::{Reply, ReplyBody, json_reply};

/// The time for a listing of some hundred kilobytes between regions.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time to open a connection between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest listing that is taken.
const MOST_BYTES: usize = 32 * 1024 * 1024;

/// Answers with the mirror, if it is newer than what the other host has.
pub(crate) fn listing_reply(host: &Host, headers: &HeaderMap) -> Reply {
    let mirror = host.mirror.borrow();
    let known: u64 = text(headers, &MIRROR)
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    if mirror.as_of() <= known {
        return json_reply(StatusCode::NOT_FOUND, "{}".to_owned());
    }
    match postcard::to_stdvec(mirror.listing()) {
        Ok(bytes) => Reply::new(ReplyBody::whole(bytes)),
        Err(error) => {
            log::warn!(reason = error.to_string().as_str(); "the mirror cannot be written");
            json_reply(StatusCode::INTERNAL_SERVER_ERROR, "{}".to_owned())
        }
    }
}

/// Fetches the mirror of another host and offers it to whoever applies listings.
pub(crate) async fn fetch(host: Rc<Host>, address: SocketAddr) {
    let fetched = tokio::time::timeout(FETCH_TIMEOUT, listing_of(&host, address)).await;
    match fetched {
        Ok(Ok(Some(listing))) => adopt_newer(&host, listing),
        Ok(Ok(None)) => {}
        Ok(Err(reason)) => {
            log::info!(peer = address.to_string().as_str(), reason = reason.as_str(); "no mirror from a host");
        }
        Err(_) => {
            log::info!(peer = address.to_string().as_str(), reason = "no answer in time"; "no mirror from a host");
        }
    }
}

/// Takes a listing of another host when it is newer than the own mirror.
pub fn adopt_newer(host: &Host, listing: Listing) {
    let mut mirror = host.mirror.borrow_mut();
    let before = mirror.as_of();
    if listing.as_of <= before {
        return;
    }
    let changed = mirror.replace(listing);
    let after = mirror.as_of();
    drop(mirror);
    log::info!(before = before, after = after, written = changed.written.len(), removed = changed.removed.len(); "took the mirror of another host");
    host.changed(&changed);
}

async fn listing_of(host: &Host, address: SocketAddr) -> Result<Option<Listing>, String> {
    let now = host.clock.now();
    let as_of = host.mirror.borrow().as_of();
    let mut connection = connect(address, CONNECT_TIMEOUT, now)
        .await
        .map_err(|error| error.to_string())?;
    let mut request = Request::new(Full::default());
    request.headers_mut().insert(MIRROR, value(as_of));
    let host_name = value(address);
    request.headers_mut().insert(http::header::HOST, host_name);
    let sent = connection.sender.send_request(request).await;
    let response = sent.map_err(|error| error.to_string())?;
    if response.status() != StatusCode::OK {
        return Ok(None);
    }
    let body = http_body_util::Limited::new(response.into_body(), MOST_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    let listing = postcard::from_bytes(&body.to_bytes());
    listing.map(Some).map_err(|error| error.to_string())
}
