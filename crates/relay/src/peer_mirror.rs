//! Transfers the platform state between hosts.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use lw_base::prelude::*;
use lw_mesh::{MirrorUpdate, StateVersion};

use crate::connection::connect;
use crate::headers::{MIRROR_AS_OF, MIRROR_ISOLATED, header_text, header_value};
use crate::host::Host;
use crate::reply::{Reply, ReplyBody, json_reply};

/// The timeout for the transfer of a few hundred kilobytes between regions.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The connect timeout between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The least time between two fetches for forwarded requests, in milliseconds.
const DECISION_FETCH_INTERVAL_MS: u64 = 200;
/// The largest update that is accepted.
const MAX_UPDATE_BYTES: usize = 32 * 1024 * 1024;

/// Returns the changes after the version that the requesting host has.
pub(crate) fn update_reply(host: &Host, headers: &HeaderMap) -> Reply {
    let mut reply = changes_reply(host, headers);
    if host.is_isolated(host.clock.now()) {
        reply.headers_mut().insert(MIRROR_ISOLATED, header_value(1));
    }
    reply
}

fn changes_reply(host: &Host, headers: &HeaderMap) -> Reply {
    let mirror = host.mirror.borrow();
    let known: StateVersion = header_text(headers, &MIRROR_AS_OF)
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    let Some(update) = mirror.update_after(host.clock.now(), known) else {
        return json_reply(StatusCode::NOT_FOUND, "{}".to_owned());
    };
    match update.encode() {
        Ok(bytes) => match host.memory.hold_state(bytes) {
            Some(bytes) => Reply::new(ReplyBody::whole(bytes)),
            None => {
                log::warn!("there is no room to pass on the mirror");
                json_reply(StatusCode::SERVICE_UNAVAILABLE, "{}".to_owned())
            }
        },
        Err(error) => {
            log::warn!(reason = error.to_string().as_str(); "the mirror could not be encoded");
            json_reply(StatusCode::INTERNAL_SERVER_ERROR, "{}".to_owned())
        }
    }
}

/// Fetches the changes after the version `known` from another host and applies them.
pub(crate) async fn fetch(host: Rc<Host>, address: SocketAddr, known: StateVersion) {
    let fetched = tokio::time::timeout(FETCH_TIMEOUT, fetch_update(&host, address, known)).await;
    host.is_fetching_mirror.set(false);
    match fetched {
        Ok(Ok(fetched)) => {
            if let Some(update) = fetched.update {
                apply_update(&host, update);
            }
            if !fetched.is_from_isolated_host {
                host.record_agreement();
            }
        }
        Ok(Err(reason)) => {
            log::info!(peer = address.to_string().as_str(), reason = reason.as_str(); "fetching the platform state from another host failed");
        }
        Err(_) => {
            log::info!(peer = address.to_string().as_str(), reason = "no answer within the timeout"; "fetching the platform state from another host failed");
        }
    }
}

/// Starts to fetch the platform state from a host that has forwarded a request with a newer decision, unless such a fetch
/// was started a short time ago.
pub(crate) fn fetch_for_decision(host: &Rc<Host>, now: MonoMs, from: Ipv4Addr) {
    let last = host.caught_up_at.get();
    if last.is_some_and(|at| now.since_ms(at) < DECISION_FETCH_INTERVAL_MS) {
        return;
    }
    host.caught_up_at.set(Some(now));
    let mirror = host.mirror.borrow();
    let known = match mirror.lacks_earlier_states() {
        true => StateVersion::default(),
        false => mirror.as_of(),
    };
    let address = SocketAddr::from((from, host.settings.peer_port));
    tokio::task::spawn_local(fetch(host.clone(), address, known));
}

fn apply_update(host: &Host, update: MirrorUpdate) {
    let before = host.mirror.borrow().as_of();
    let changed = host.update_mirror(|mirror, now| mirror.apply_update(now, update));
    if changed.is_empty() {
        return;
    }
    let after = host.mirror.borrow().as_of();
    log::info!(before = before.to_string().as_str(), after = after.to_string().as_str(), written = changed.written.len(), removed = changed.removed.len(); "applied the platform state of another host");
}

/// The reply of another host.
struct Fetched {
    /// `None` if the other host has nothing newer.
    update: Option<MirrorUpdate>,
    /// The other host is isolated, so what it has may be out of date too.
    is_from_isolated_host: bool,
}

async fn fetch_update(
    host: &Host,
    address: SocketAddr,
    known: StateVersion,
) -> Result<Fetched, String> {
    let now = host.clock.now();
    let mut connection = connect(address, CONNECT_TIMEOUT, now)
        .await
        .map_err(|error| error.to_string())?;
    let mut request = Request::new(Full::default());
    request
        .headers_mut()
        .insert(MIRROR_AS_OF, header_value(known));
    let host_name = header_value(address);
    request.headers_mut().insert(http::header::HOST, host_name);
    let sent = connection.sender.send_request(request).await;
    let response = sent.map_err(|error| error.to_string())?;
    let is_from_isolated_host = response.headers().contains_key(MIRROR_ISOLATED);
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => {
            return Ok(Fetched {
                update: None,
                is_from_isolated_host,
            });
        }
        status => return Err(format!("the other host answered with status {status}")),
    }
    let body = response.into_body().map_frame(|frame| {
        connection.progress.record();
        frame
    });
    let body = http_body_util::Limited::new(body, MAX_UPDATE_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    let update = MirrorUpdate::decode(&body.to_bytes()).map_err(|error| error.to_string())?;
    Ok(Fetched {
        update: Some(update),
        is_from_isolated_host,
    })
}
