//! The progress of a caller's connection: the timeout for the head of a request, and the end of its answer.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::forward::RequestGuard;
use crate::paced_stream::PacedStream;

/// The response to a caller whose head is incomplete at the timeout; the connection is then closed. The request has not
/// run.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The phase of a caller's connection.
#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    /// No byte of the next request has arrived.
    #[default]
    Idle,
    /// A part of a head has arrived.
    Head {
        /// When its first byte arrived.
        since: Instant,
    },
    /// The head is complete, and the request is being served.
    Request,
}

#[derive(Default)]
struct Progress {
    phase: Cell<Phase>,
    /// The head of a request has arrived on the connection.
    is_used: Cell<bool>,
    became_used: Notify,
    /// The request whose answer was handed to the server library, until the library has written it.
    unflushed: RefCell<Option<RequestGuard>>,
    /// The answer being written ends with the connection and is incomplete.
    is_incomplete: Cell<bool>,
}

/// The progress of a connection, shared by its stream, its service and the body of its answer.
#[derive(Clone, Default)]
pub(crate) struct ConnectionProgress(Rc<Progress>);

impl ConnectionProgress {
    /// Records that a head is complete.
    pub(crate) fn head_complete(&self) {
        self.0.phase.set(Phase::Request);
        self.0.is_used.set(true);
        self.0.became_used.notify_waiters();
    }

    /// Records that the body of the request was read and its answer begins: further bytes belong to the next request.
    pub(crate) fn response_started(&self) {
        self.0.phase.set(Phase::Idle);
    }

    /// Keeps a request counted until its answer is written to the connection.
    pub(crate) fn hold_until_flushed(&self, guard: RequestGuard) {
        self.0.unflushed.replace(Some(guard));
    }

    /// Records whether the answer being written, which ends with the connection, is still incomplete. While it is, the
    /// connection closes with a reset, because a regular close would make the answer look complete.
    pub(crate) fn set_incomplete(&self, is_incomplete: bool) {
        self.0.is_incomplete.set(is_incomplete);
    }

    /// Waits until the head of a request has arrived on the connection.
    pub(crate) async fn used(&self) {
        while !self.0.is_used.get() {
            self.0.became_used.notified().await;
        }
    }
}

/// A connection that fails with an error when a head takes too long.
///
/// The server library has one timeout for the idle time and the head together, so it cannot distinguish a slow head
/// from an idle connection.
pub(crate) struct HeadTimedStream {
    stream: PacedStream<TcpStream>,
    progress: ConnectionProgress,
    timeout: Duration,
    /// Set while a head is incomplete.
    timer: Option<Pin<Box<Sleep>>>,
    /// The socket is set to close with a reset.
    closes_with_reset: bool,
}

impl HeadTimedStream {
    pub(crate) fn new(
        stream: PacedStream<TcpStream>,
        progress: ConnectionProgress,
        timeout: Duration,
    ) -> Self {
        Self {
            stream,
            progress,
            timeout,
            timer: None,
            closes_with_reset: false,
        }
    }

    /// Sets how the socket closes. The setting also holds when the process is killed.
    fn update_close(&mut self) {
        let is_incomplete = self.progress.0.is_incomplete.get();
        if self.closes_with_reset == is_incomplete {
            return;
        }
        let linger = is_incomplete.then_some(Duration::ZERO);
        if let Err(error) = socket2::SockRef::from(self.stream.get_ref()).set_linger(linger) {
            log::warn!(reason = error.to_string().as_str(); "SO_LINGER could not be set; an incomplete answer may look complete");
        }
        self.closes_with_reset = is_incomplete;
    }

    /// Returns an error once a head has been incomplete for longer than the timeout.
    fn poll_head_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let Phase::Head { since } = self.progress.0.phase.get() else {
            self.timer = None;
            return Poll::Pending;
        };
        let until = since + self.timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(until)));
        ready!(timer.as_mut().poll(context));
        if let Err(error) = self.stream.get_ref().try_write(HEAD_TIMEOUT_RESPONSE) {
            log::debug!(reason = error.to_string().as_str(); "the 408 response could not be written");
        }
        let reason = "the head did not arrive in time";
        Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, reason))
    }
}

impl AsyncRead for HeadTimedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        if Pin::new(&mut this.stream)
            .poll_read(context, buffer)?
            .is_pending()
        {
            return this.poll_head_timeout(context).map(Err);
        }
        if buffer.filled().len() > before && matches!(this.progress.0.phase.get(), Phase::Idle) {
            let since = Instant::now();
            this.progress.0.phase.set(Phase::Head { since });
            this.timer = None;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadTimedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.update_close();
        Pin::new(&mut this.stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // The server library flushes the connection once its own buffer is empty.
        ready!(Pin::new(&mut this.stream).poll_flush(context))?;
        this.progress.0.unflushed.take();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.update_close();
        if this.closes_with_reset {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut this.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.update_close();
        Pin::new(&mut this.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
