//! Reading the body of a response under the limits of its request.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming as HyperBody;
use tokio_util::sync::CancellationToken;

/// What reading on in a body came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyStep {
    /// The next bytes.
    Data(Bytes),
    /// The body ended.
    End,
    /// The connection broke, or the body is shorter than declared.
    Broken,
    /// The caller went away.
    Gone,
    /// The deadline passed.
    Deadline,
}

/// Reads on in a body.
pub(crate) async fn next_step(
    body: &mut HyperBody,
    gone: &CancellationToken,
    deadline: tokio::time::Instant,
) -> BodyStep {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = gone.cancelled() => return BodyStep::Gone,
            () = tokio::time::sleep_until(deadline) => return BodyStep::Deadline,
        };
        match frame {
            None => return BodyStep::End,
            Some(Err(_)) => return BodyStep::Broken,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return BodyStep::Data(data);
                }
            }
        }
    }
}
