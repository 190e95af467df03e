//! HTTP interface of the fake key-value service.

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use lw_plat::{KvCall, KvError, KvReply};
use serde::Serialize;

use crate::fake_kv::FakeKv;
use crate::http_server::{
    ConnectionAborted, Reply, header_number, json_reply, path_after, query_number, query_value,
    read_body, reply,
};

#[derive(Serialize)]
struct LeaseBody {
    lease_id: u64,
    epoch: u64,
}

/// Handles one request.
pub(crate) async fn handle_request(
    fake: FakeKv,
    request: Request<Incoming>,
) -> Result<Reply, ConnectionAborted> {
    let (parts, body) = request.into_parts();
    let body = read_body(body).await?;
    let Some(call) = parse_call(&parts, body) else {
        return Ok(reply(StatusCode::BAD_REQUEST, Bytes::new()));
    };
    match fake.perform(call).await {
        Ok(result) => Ok(success_reply(result)),
        Err(error) => error_reply(error),
    }
}

fn parse_call(parts: &http::request::Parts, body: Bytes) -> Option<KvCall> {
    let path = parts.uri.path();
    let query = parts.uri.query();
    if path == "/kv" && parts.method == Method::GET {
        let prefix = query_value(query, "prefix")?;
        return Some(KvCall::List { prefix });
    }
    if path == "/lease" && parts.method == Method::POST {
        let ttl_ms = query_number(query, "ttl_ms")?;
        return Some(KvCall::LeaseOpen { ttl_ms });
    }
    if let Some(id) = path_after(path, "/lease/") {
        return parse_lease_call(&parts.method, id.parse().ok()?);
    }
    parse_key_call(parts, path_after(path, "/kv/")?, body)
}

fn parse_lease_call(method: &Method, lease_id: u64) -> Option<KvCall> {
    match *method {
        Method::PUT => Some(KvCall::LeaseRenew { lease_id }),
        Method::DELETE => Some(KvCall::LeaseClose { lease_id }),
        _ => None,
    }
}

fn parse_key_call(parts: &http::request::Parts, key: String, body: Bytes) -> Option<KvCall> {
    let query = parts.uri.query();
    match parts.method {
        Method::GET => Some(match query_number(query, "after") {
            Some(after_version) => KvCall::Watch {
                key,
                after_version,
                wait_ms: query_number(query, "wait_ms")?,
            },
            None => KvCall::Get { key },
        }),
        Method::PUT => Some(KvCall::Put {
            key,
            value: body,
            if_version: header_number(&parts.headers, "if-version")?,
            lease_id: header_number(&parts.headers, "kv-lease"),
        }),
        Method::DELETE => Some(KvCall::Delete {
            key,
            if_version: header_number(&parts.headers, "if-version")?,
        }),
        _ => None,
    }
}

fn success_reply(result: KvReply) -> Reply {
    match result {
        KvReply::Value { version, value } => versioned_reply(StatusCode::OK, version, value),
        KvReply::Absent => reply(StatusCode::NOT_FOUND, Bytes::new()),
        KvReply::Unchanged => reply(StatusCode::NOT_MODIFIED, Bytes::new()),
        KvReply::Written { version } => versioned_reply(StatusCode::OK, version, Bytes::new()),
        KvReply::Keys(keys) => json_reply(StatusCode::OK, &keys),
        KvReply::Lease { lease_id, epoch } => {
            json_reply(StatusCode::OK, &LeaseBody { lease_id, epoch })
        }
        KvReply::Done => reply(StatusCode::OK, Bytes::new()),
    }
}

fn error_reply(error: KvError) -> Result<Reply, ConnectionAborted> {
    let status = match error {
        KvError::Conflict { current } => {
            return Ok(versioned_reply(StatusCode::CONFLICT, current, Bytes::new()));
        }
        KvError::ReplyLost | KvError::Unreachable => return Err(ConnectionAborted),
        KvError::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        KvError::LeaseExpired => StatusCode::GONE,
        KvError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        KvError::Malformed => StatusCode::BAD_REQUEST,
    };
    Ok(reply(status, Bytes::new()))
}

fn versioned_reply(status: StatusCode, version: u64, body: Bytes) -> Reply {
    let mut response = reply(status, body);
    let version = HeaderValue::from(version);
    response.headers_mut().insert("kv-version", version);
    response
}
