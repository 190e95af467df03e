//! Reading request bodies.

use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use xitca_web::body::{BodyExt, Frame, RequestBody};

use crate::incoming_request::RequestBodyError;

/// The time for which the rest of a body that is too large is read and dropped. A connection that closes with unread
/// bytes is reset, and then the caller may never see why.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// How many times the limit of a body is read and dropped.
const DISCARD_LIMITS: usize = 2;

/// Reads a body whole.
///
/// A connection that ends early looks like the end of the body, so the length is compared with the declared one.
pub(crate) async fn read_body(
    mut body: RequestBody,
    headers: &HeaderMap,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, RequestBodyError> {
    let declared = declared_bytes(headers);
    let mut body = Pin::new(&mut body);
    let read = match declared.is_some_and(|declared| declared > max_bytes as u64) {
        true => Err(RequestBodyError::TooLarge),
        false => tokio::time::timeout(timeout, collect(body.as_mut(), max_bytes))
            .await
            .unwrap_or(Err(RequestBodyError::TooSlow)),
    };
    if read == Err(RequestBodyError::TooLarge) {
        let rest = discard(body, max_bytes * DISCARD_LIMITS);
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
    }
    let bytes = read?;
    if declared.is_some_and(|declared| declared != bytes.len() as u64) {
        return Err(RequestBodyError::Malformed);
    }
    Ok(bytes)
}

/// Reads and drops up to `max_bytes` bytes.
async fn discard(mut body: Pin<&mut RequestBody>, max_bytes: usize) {
    let mut bytes = 0;
    while let Some(Ok(frame)) = body.as_mut().frame().await {
        if let Frame::Data(data) = frame {
            bytes += data.len();
        }
        if bytes > max_bytes {
            return;
        }
    }
}

fn declared_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn collect(
    mut body: Pin<&mut RequestBody>,
    max_bytes: usize,
) -> Result<Bytes, RequestBodyError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.as_mut().frame().await {
        match frame {
            Ok(Frame::Data(data)) => collected.extend_from_slice(&data),
            Ok(Frame::Trailers(_)) => {}
            Err(_) => return Err(RequestBodyError::Malformed),
        }
        if collected.len() > max_bytes {
            return Err(RequestBodyError::TooLarge);
        }
    }
    Ok(collected.freeze())
}
