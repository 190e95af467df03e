//! Streamed response bodies for xitca-web.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio_util::sync::DropGuard;
use xitca_web::body::{Body, Frame, SizeHint};

use crate::reply::BodyPart;
use crate::server::connection::BusyGuard;

/// A streamed body that ends with an error when the caller disconnects.
pub(crate) struct WebBody {
    pub(crate) length_bytes: Option<u64>,
    pub(crate) parts: mpsc::Receiver<BodyPart>,
    pub(crate) caller_gone: Pin<Box<dyn Future<Output = ()>>>,
    pub(crate) ended: bool,
    /// Cancels the `caller_gone` token of the request when the body is dropped, complete or not.
    pub(crate) _guard: DropGuard,
    pub(crate) _busy: BusyGuard,
}

impl Body for WebBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.parts.poll_recv(context) {
            Poll::Ready(Some(BodyPart::Data(bytes))) => Poll::Ready(Some(Ok(Frame::Data(bytes)))),
            Poll::Ready(Some(BodyPart::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            // An error makes xitca-web close the connection without the final chunk.
            Poll::Ready(None) => Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into()))),
            Poll::Pending => {
                let caller_gone = self.caller_gone.as_mut().poll(context);
                caller_gone.map(|()| Some(Err(io::ErrorKind::BrokenPipe.into())))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self.length_bytes {
            Some(length) => SizeHint::Exact(length),
            None => SizeHint::Unknown,
        }
    }
}
