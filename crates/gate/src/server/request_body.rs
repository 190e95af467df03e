//! Reading request bodies.

use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use xitca_web::body::{BodyExt, Frame, RequestBody};

use crate::incoming_request::RequestBodyError;

/// The time for which the rest of a body that is too large is read and discarded. A connection that is closed with
/// unread bytes is reset, and the caller may then not receive the error.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of bytes of the rest of a body that is too large that are read and discarded, as a multiple of
/// the size limit.
const DISCARD_LIMIT_FACTOR: usize = 2;

/// Reads a complete request body.
///
/// The HTTP library reports a connection that closes early as the end of the body, so the length is compared with
/// `Content-Length`.
pub(crate) async fn read_body(
    mut body: RequestBody,
    headers: &HeaderMap,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, RequestBodyError> {
    let expected_bytes = declared_bytes(headers);
    let mut body = Pin::new(&mut body);
    let read = match expected_bytes.is_some_and(|expected_bytes| expected_bytes > max_bytes as u64)
    {
        true => Err(RequestBodyError::TooLarge),
        false => tokio::time::timeout(timeout, collect(body.as_mut(), max_bytes))
            .await
            .unwrap_or(Err(RequestBodyError::TooSlow)),
    };
    if read == Err(RequestBodyError::TooLarge) {
        let rest = discard(body, max_bytes * DISCARD_LIMIT_FACTOR);
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
    }
    let bytes = read?;
    if expected_bytes.is_some_and(|expected_bytes| expected_bytes != bytes.len() as u64) {
        return Err(RequestBodyError::Malformed);
    }
    Ok(bytes)
}

/// Reads and discards the body until more than `max_bytes` bytes were read.
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
