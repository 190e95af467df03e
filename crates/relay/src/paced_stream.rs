//! A connection that a peer can neither use without end in one turn of its task, nor without making progress.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The largest number of bytes that are read at once.
const MAX_READ_BYTES: usize = 16 * 1024;
/// The number of bytes after which a connection yields to the other tasks of the thread. An HTTP parser may handle bytes
/// one by one for as long as there are more, and the runtime counts reads but not their size.
const MAX_TURN_BYTES: usize = 2 * MAX_READ_BYTES;
/// The largest number of bytes without a part of a body: more than a read, the extensions and the trailers of chunks take.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 64 * 1024;

/// How many bytes a peer may send before the next part of a body.
#[derive(Clone, Debug)]
pub struct ReadProgress(Arc<AtomicUsize>);

impl Default for ReadProgress {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_BYTES_WITHOUT_PROGRESS)))
    }
}

impl ReadProgress {
    /// Records that a head or a part of a body has arrived, or that a request begins.
    pub fn record(&self) {
        self.0.store(MAX_BYTES_WITHOUT_PROGRESS, Ordering::Relaxed);
    }

    /// Records that the head of a request is due next, for which the HTTP library buffers `max_head_bytes`.
    pub(crate) fn expect_head(&self, max_head_bytes: usize) {
        // The library, which answers 431, has to notice first that a head is too large.
        self.0.store(2 * max_head_bytes, Ordering::Relaxed);
    }

    /// Takes bytes off. Returns whether there are too many.
    fn is_exceeded_by(&self, bytes: usize) -> bool {
        let left_bytes = self.0.load(Ordering::Relaxed);
        self.0
            .store(left_bytes.saturating_sub(bytes), Ordering::Relaxed);
        bytes > left_bytes
    }
}

/// A connection that yields to other tasks, and that fails with an error when its peer makes no progress.
#[derive(Debug)]
pub struct PacedStream<S> {
    stream: S,
    progress: ReadProgress,
    /// The bytes of this turn, which ends when the stream has no more bytes or yields.
    turn_bytes: usize,
}

impl<S> PacedStream<S> {
    /// Wraps a connection whose progress is recorded in `progress`.
    pub fn new(stream: S, progress: ReadProgress) -> Self {
        Self {
            stream,
            progress,
            turn_bytes: 0,
        }
    }

    /// Returns the wrapped connection.
    pub(crate) fn get_ref(&self) -> &S {
        &self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.turn_bytes >= MAX_TURN_BYTES {
            this.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut block = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let length = buffer.remaining().min(MAX_READ_BYTES);
        let mut block = ReadBuf::uninit(&mut block[..length]);
        let read = Pin::new(&mut this.stream).poll_read(context, &mut block);
        if read.is_pending() {
            this.turn_bytes = 0;
        }
        ready!(read)?;
        let bytes = block.filled();
        this.turn_bytes += bytes.len();
        if this.progress.is_exceeded_by(bytes.len()) {
            let reason = "the peer sends bytes without a head or a part of a body";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        buffer.put_slice(bytes);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PacedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
