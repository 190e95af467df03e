//! Client of the key-value service over HTTP.

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;

use crate::http_client::{HttpClient, HttpReply, encode, parse_json, with_body};
use crate::http_timeouts::HttpTimeouts;
use crate::kv::{Kv, KvCall, KvReply};
use crate::kv_error::KvError;
use crate::platform_error::PlatformError;

/// The largest accepted reply. A list of keys may be longer than the largest value, which is 1 MB.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// The response header with the stored version of a key.
const VERSION_HEADER: &str = "kv-version";

#[derive(Deserialize)]
struct LeaseBody {
    lease_id: u64,
    epoch: u64,
}

/// Creates a client of the key-value service at `address` (IP address and port).
pub fn http_kv(address: &str, timeouts: HttpTimeouts) -> Kv {
    let client = HttpClient::new(address, timeouts, MAX_REPLY_BYTES);
    Kv::new(move |call| {
        let client = client.clone();
        Box::pin(async move { perform(&client, call).await })
    })
}

async fn perform(client: &HttpClient, call: KvCall) -> Result<KvReply, KvError> {
    let wait_ms = match &call {
        KvCall::Watch { wait_ms, .. } => *wait_ms,
        _ => 0,
    };
    let request = build_request(client, &call).map_err(to_kv_error)?;
    let reply = client.send(request, wait_ms).await.map_err(to_kv_error)?;
    parse_reply(&call, &reply)
}

fn build_request(
    client: &HttpClient,
    call: &KvCall,
) -> Result<Request<Full<Bytes>>, PlatformError> {
    let builder_for = |method, path: String| client.request(method, &path);
    let builder = match call {
        KvCall::Get { key } => builder_for(Method::GET, format!("/kv/{}", encode(key))),
        KvCall::Watch {
            key,
            after_version,
            wait_ms,
        } => {
            let key = encode(key);
            let path = format!("/kv/{key}?after={after_version}&wait_ms={wait_ms}");
            builder_for(Method::GET, path)
        }
        KvCall::Put {
            key,
            value,
            if_version,
            lease_id,
        } => {
            let mut builder = builder_for(Method::PUT, format!("/kv/{}", encode(key)));
            builder = builder.header("if-version", *if_version);
            if let Some(lease_id) = lease_id {
                builder = builder.header("kv-lease", *lease_id);
            }
            return with_body(builder, value.clone());
        }
        KvCall::Delete { key, if_version } => {
            builder_for(Method::DELETE, format!("/kv/{}", encode(key)))
                .header("if-version", *if_version)
        }
        KvCall::List { prefix } => {
            builder_for(Method::GET, format!("/kv?prefix={}", encode(prefix)))
        }
        KvCall::LeaseOpen { ttl_ms } => {
            builder_for(Method::POST, format!("/lease?ttl_ms={ttl_ms}"))
        }
        KvCall::LeaseRenew { lease_id } => builder_for(Method::PUT, format!("/lease/{lease_id}")),
        KvCall::LeaseClose { lease_id } => {
            builder_for(Method::DELETE, format!("/lease/{lease_id}"))
        }
    };
    with_body(builder, Bytes::new())
}

fn parse_reply(call: &KvCall, reply: &HttpReply) -> Result<KvReply, KvError> {
    match reply.parts.status {
        StatusCode::OK => success_reply(call, reply),
        StatusCode::NOT_MODIFIED => Ok(KvReply::Unchanged),
        StatusCode::NOT_FOUND => not_found_reply(call),
        StatusCode::CONFLICT => Err(KvError::Conflict {
            current: stored_version(reply)?,
        }),
        StatusCode::GONE => Err(KvError::LeaseExpired),
        StatusCode::PAYLOAD_TOO_LARGE => Err(KvError::TooLarge),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(KvError::Unavailable)
        }
        _ => Err(KvError::Malformed),
    }
}

fn success_reply(call: &KvCall, reply: &HttpReply) -> Result<KvReply, KvError> {
    match call {
        KvCall::Get { .. } | KvCall::Watch { .. } => Ok(KvReply::Value {
            version: stored_version(reply)?,
            value: reply.body.clone(),
        }),
        KvCall::Put { .. } => Ok(KvReply::Written {
            version: stored_version(reply)?,
        }),
        KvCall::List { .. } => parse_json(&reply.body)
            .map(KvReply::Keys)
            .map_err(to_kv_error),
        KvCall::LeaseOpen { .. } => {
            let body: LeaseBody = parse_json(&reply.body).map_err(to_kv_error)?;
            Ok(KvReply::Lease {
                lease_id: body.lease_id,
                epoch: body.epoch,
            })
        }
        KvCall::Delete { .. } | KvCall::LeaseRenew { .. } | KvCall::LeaseClose { .. } => {
            Ok(KvReply::Done)
        }
    }
}

fn not_found_reply(call: &KvCall) -> Result<KvReply, KvError> {
    match call {
        KvCall::Get { .. } | KvCall::Watch { .. } => Ok(KvReply::Absent),
        KvCall::LeaseRenew { .. } | KvCall::LeaseClose { .. } => Err(KvError::LeaseExpired),
        KvCall::Put { .. }
        | KvCall::Delete { .. }
        | KvCall::List { .. }
        | KvCall::LeaseOpen { .. } => Err(KvError::Malformed),
    }
}

fn stored_version(reply: &HttpReply) -> Result<u64, KvError> {
    let header = reply.parts.headers.get(VERSION_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .ok_or(KvError::Malformed)
}

fn to_kv_error(error: PlatformError) -> KvError {
    match error {
        PlatformError::Unavailable => KvError::Unavailable,
        PlatformError::Unreachable => KvError::Unreachable,
        PlatformError::ReplyLost => KvError::ReplyLost,
        PlatformError::Absent | PlatformError::Stale | PlatformError::Malformed => {
            KvError::Malformed
        }
    }
}
