//! Reading a response body until the caller disconnects or the deadline passes.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming as HyperBody;
use tokio_util::sync::CancellationToken;

/// Result of reading the next part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyRead {
    /// The next bytes.
    Data(Bytes),
    /// The body ended.
    End,
    /// The connection failed, or the body is shorter than its `Content-Length`.
    Broken,
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed.
    Deadline,
}

/// Reads the next part of a body.
pub(crate) async fn read_next(
    body: &mut HyperBody,
    caller_gone: &CancellationToken,
    deadline: tokio::time::Instant,
) -> BodyRead {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = caller_gone.cancelled() => return BodyRead::CallerGone,
            () = tokio::time::sleep_until(deadline) => return BodyRead::Deadline,
        };
        match frame {
            None => return BodyRead::End,
            Some(Err(_)) => return BodyRead::Broken,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return BodyRead::Data(data);
                }
            }
        }
    }
}
