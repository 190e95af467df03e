//! Reading request bodies.

use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use xitca_web::body::{BodyExt, Frame, RequestBody};

use crate::incoming::BodyFault;

/// The most bytes of an oversized body that are read and dropped before the answer.
///
/// Closing a connection with unread bytes resets it, and the caller loses the answer that says why.
const DISCARD_BYTES: usize = 16 * 1024 * 1024;

/// The longest time that is spent on dropping an oversized body.
const DISCARD: Duration = Duration::from_secs(2);

/// Reads a body whole.
///
/// A connection that ends early looks like the end of the body, so the length is compared with the declared one.
pub(crate) async fn read_body(
    mut body: RequestBody,
    headers: &HeaderMap,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyFault> {
    let declared = declared_bytes(headers);
    let read = if declared.is_some_and(|declared| declared > max_bytes as u64) {
        Err(BodyFault::TooLarge)
    } else {
        let read = collect(Pin::new(&mut body), max_bytes);
        let read = tokio::time::timeout(timeout, read).await;
        read.unwrap_or(Err(BodyFault::TooSlow))
    };
    if read == Err(BodyFault::TooLarge) {
        let _ = tokio::time::timeout(DISCARD, discard(Pin::new(&mut body))).await;
    }
    let bytes = read?;
    if declared.is_some_and(|declared| declared != bytes.len() as u64) {
        return Err(BodyFault::Malformed);
    }
    Ok(bytes)
}

fn declared_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn collect(mut body: Pin<&mut RequestBody>, max_bytes: usize) -> Result<Bytes, BodyFault> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.as_mut().frame().await {
        match frame {
            Ok(Frame::Data(data)) => collected.extend_from_slice(&data),
            Ok(Frame::Trailers(_)) => {}
            Err(_) => return Err(BodyFault::Malformed),
        }
        if collected.len() > max_bytes {
            return Err(BodyFault::TooLarge);
        }
    }
    Ok(collected.freeze())
}

async fn discard(mut body: Pin<&mut RequestBody>) {
    let mut dropped_bytes = 0;
    while let Some(Ok(frame)) = body.as_mut().frame().await {
        if let Frame::Data(data) = frame {
            dropped_bytes += data.len();
        }
        if dropped_bytes > DISCARD_BYTES {
            return;
        }
    }
}
