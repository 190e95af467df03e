//! Endpoints that the host answers itself: readiness, directory and metrics.

use http::{Request, StatusCode};

use crate::directory::entry_hosts;
use crate::headers::header_value;
use crate::host::Host;
use crate::reply::{Reply, ReplyBody, json_reply};
use crate::server::ListenerKind;
use lw_mesh::Stage;

/// How long callers may cache an answer of the directory. A leaving host continues to serve for longer than this.
const DIRECTORY_TTL_S: u64 = 2;

/// When callers should ask again if the directory has no host for them, in seconds.
const NO_ENTRY_RETRY_S: u64 = 1;

pub(crate) fn handle<B>(host: &Host, request: &Request<B>, kind: ListenerKind) -> Reply {
    let path = request.uri().path();
    match kind {
        ListenerKind::Ready if path == host.paths.ready => ready(host),
        ListenerKind::Directory if path == host.paths.directory => {
            directory(host, request.uri().query().unwrap_or_default())
        }
        ListenerKind::Metrics if path == "/metrics" => metrics(host),
        _ => json_reply(
            StatusCode::NOT_FOUND,
            r#"{"error":"no such page"}"#.to_owned(),
        ),
    }
}

fn ready(host: &Host) -> Reply {
    match host.stage() {
        Stage::Ready => json_reply(StatusCode::OK, "{}".to_owned()),
        Stage::Starting | Stage::Leaving => {
            json_reply(StatusCode::SERVICE_UNAVAILABLE, "{}".to_owned())
        }
    }
}

fn directory(host: &Host, query: &str) -> Reply {
    let region = query_value(query, "region");
    let name = query_value(query, "name").unwrap_or_default();
    let addresses = entry_hosts(host, name, region.unwrap_or(&host.settings.region));
    if addresses.is_empty() {
        log::info!(name = name, region = region.unwrap_or_default(); "the directory has no host that may see the requests");
        let mut reply = json_reply(StatusCode::SERVICE_UNAVAILABLE, "{}".to_owned());
        let retry_after = header_value(NO_ENTRY_RETRY_S);
        reply
            .headers_mut()
            .insert(host.names.retry_after.clone(), retry_after);
        return reply;
    }
    let ttl_s = DIRECTORY_TTL_S.min(host.bounds.get().directory_ttl_s);
    let body = serde_json::json!({ "addresses": addresses, "ttl_s": ttl_s });
    json_reply(StatusCode::OK, body.to_string())
}

fn metrics(host: &Host) -> Reply {
    host.metrics.set_load(host.requests(), host.connections());
    let mut reply = http::Response::new(ReplyBody::whole(host.metrics.text()));
    let text = http::HeaderValue::from_static("text/plain; version=0.0.4");
    reply.headers_mut().insert(http::header::CONTENT_TYPE, text);
    reply
}

/// Returns the value of a query parameter, without percent-decoding: names of regions need none.
fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
