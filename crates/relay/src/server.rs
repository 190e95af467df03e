//! The HTTP listeners of a host. They run on the one thread of the host.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::forward::RequestGuard;
use crate::head_timer::{ConnectionProgress, HeadTimedStream};
use crate::headers::{MAX_HEADERS, MAX_PEER_HEADERS};
use crate::host::Host;
use crate::local_reply::UnreadBody;
use crate::paced_stream::{PacedStream, ReadProgress};
use crate::reply::CountedBody;
use crate::stop::{LAST_REQUEST_WAIT_MS, StopStep};

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// Callers with requests.
    Callers,
    /// Other hosts.
    Peers,
    /// The platform, which polls the readiness of the host.
    Ready,
    /// Callers that look up entry hosts.
    Directory,
    /// The platform, which scrapes the metrics.
    Metrics,
}

impl ListenerKind {
    /// Returns whether connections and requests of the listener count towards the load of the host.
    fn is_counted(self) -> bool {
        matches!(self, Self::Callers | Self::Peers)
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Option<Rc<Host>>);

impl ConnectionGuard {
    fn begin(host: &Rc<Host>, kind: ListenerKind) -> Self {
        if !kind.is_counted() {
            return Self(None);
        }
        host.connections.set(host.connections.get() + 1);
        Self(Some(host.clone()))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(host) = &self.0 {
            host.connections.set(host.connections.get() - 1);
        }
    }
}

/// The delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The idle timeout of connections of other hosts, in milliseconds.
const PEER_IDLE_TIMEOUT_MS: u64 = 30_000;
/// How long a connection without a request stays open during a planned stop.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(LAST_REQUEST_WAIT_MS);
/// The bytes of an answer in the socket buffer that are not yet sent to the caller.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;
/// The least size of the buffer for a head, in bytes. The limit of the configuration may be raised while a connection is
/// open; a larger buffer is parsed again and again while a head without an end arrives.
const MIN_HEAD_BUFFER_BYTES: usize = 64 * 1024;
/// The greatest size of the buffer for a head, in bytes.
const MAX_HEAD_BUFFER_BYTES: usize = 512 * 1024;
/// The listen backlog; when it overflows, callers of a burst must retransmit their SYN.
const LISTEN_BACKLOG: u32 = 1_024;

/// Binds a listener and serves it until the process ends or the planned stop closes it.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn serve(host: Rc<Host>, address: SocketAddr, kind: ListenerKind) -> std::io::Result<()> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(LISTEN_BACKLOG)?;
    tokio::task::spawn_local(accept(host, listener, kind));
    Ok(())
}

async fn accept(host: Rc<Host>, listener: TcpListener, kind: ListenerKind) {
    let mut stop = host.stop.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_step(&mut stop, |step| closes_listener(step, kind)) => {
                accept_waiting(&host, &listener, kind).await;
                log::info!(door = format!("{kind:?}").as_str(); "the listener is closed");
                return;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_stream(host.clone(), stream, kind));
            }
            Err(error) => {
                log::warn!(reason = error.to_string().as_str(); "accepting a connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections that are in the queue of a listener; closing the listener would reset them.
async fn accept_waiting(host: &Rc<Host>, listener: &TcpListener, kind: ListenerKind) {
    // Lets the runtime notice what has arrived.
    tokio::task::yield_now().await;
    while let Ok(accepted) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_stream(host.clone(), stream, kind));
            }
            Err(error) => {
                log::warn!(reason = error.to_string().as_str(); "accepting a waiting connection failed; the others in the queue are reset");
                return;
            }
        }
    }
}

/// Waits until the planned stop has reached a step.
///
/// The reference that the channel returns holds the channel's lock, so it must be dropped here: a caller that kept it
/// would block the next step forever.
async fn wait_for_step(
    stop: &mut watch::Receiver<StopStep>,
    is_reached: impl Fn(StopStep) -> bool,
) {
    if stop.wait_for(|step| is_reached(*step)).await.is_err() {
        // The host outlives its listeners, so the channel closes only when the process ends.
        std::future::pending::<()>().await;
    }
}

fn closes_listener(step: StopStep, kind: ListenerKind) -> bool {
    kind.is_counted() && step >= StopStep::CloseListener
}

/// Other hosts may have sent a request on an idle connection before they learn of the stop, so these close later.
fn closes_idle_connections(step: StopStep, kind: ListenerKind) -> bool {
    match kind {
        ListenerKind::Callers => step >= StopStep::CloseIdle,
        ListenerKind::Peers => step >= StopStep::CloseListener,
        ListenerKind::Ready | ListenerKind::Directory | ListenerKind::Metrics => false,
    }
}

async fn serve_stream(host: Rc<Host>, stream: TcpStream, kind: ListenerKind) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(reason = error.to_string().as_str(); "TCP_NODELAY could not be set");
    }
    let limits = host.plan.borrow().limits;
    let idle_timeout = Duration::from_millis(match kind {
        ListenerKind::Peers => PEER_IDLE_TIMEOUT_MS,
        _ => limits.idle_timeout_ms,
    });
    // Closes connections whose peer does not read. Only the kernel knows how much it has read: a write to a full socket
    // buffer also waits for long when the peer reads slowly.
    if let Err(error) = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(idle_timeout)) {
        log::debug!(reason = error.to_string().as_str(); "TCP_USER_TIMEOUT could not be set");
    }
    // What a slow reader has yet to get stays in the memory budget instead of the socket buffer.
    if let Err(error) = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!(reason = error.to_string().as_str(); "TCP_NOTSENT_LOWAT could not be set");
    }
    let progress = ConnectionProgress::default();
    let head_timeout = Duration::from_millis(limits.header_timeout_ms);
    let max_head_bytes = limits.header_bytes.saturating_mul(4);
    let max_head_bytes = max_head_bytes.clamp(MIN_HEAD_BUFFER_BYTES, MAX_HEAD_BUFFER_BYTES);
    let read_progress = ReadProgress::default();
    read_progress.expect_head(max_head_bytes);
    let stream = PacedStream::new(stream, read_progress.clone());
    let stream = HeadTimedStream::new(stream, progress.clone(), head_timeout);
    let mut stop = host.stop.subscribe();
    let _counted = ConnectionGuard::begin(&host, kind);
    let state = host.clone();
    let used = progress.clone();
    let service = service_fn(move |mut request: http::Request<hyper::body::Incoming>| {
        let host = state.clone();
        let progress = progress.clone();
        let read_progress = read_progress.clone();
        read_progress.record();
        request.extensions_mut().insert(read_progress.clone());
        async move {
            progress.head_complete();
            let guard = kind.is_counted().then(|| RequestGuard::begin(&host));
            let version = request.version();
            let reply = match &guard {
                Some(guard) => crate::forward::handle(host, request, kind, guard.key()).await,
                None => crate::own_pages::handle(&host, &request, kind),
            };
            if reply.extensions().get::<UnreadBody>().is_none() {
                progress.response_started();
                read_progress.expect_head(max_head_bytes);
            }
            let reply = reply.map(|body| CountedBody::new(body, guard, progress, version));
            Ok::<_, Infallible>(reply)
        }
    });
    let max_headers = match kind {
        ListenerKind::Peers => MAX_PEER_HEADERS,
        _ => MAX_HEADERS,
    };
    let mut builder = http1::Builder::new();
    builder
        .max_headers(max_headers)
        .timer(TokioTimer::new())
        .max_buf_size(max_head_bytes)
        // Covers the idle time and the head together; `HeadTimedStream` enforces the timeout of the head alone.
        .header_read_timeout(idle_timeout + head_timeout);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let must_close = async {
        wait_for_step(&mut stop, |step| closes_idle_connections(step, kind)).await;
        // The first request of a connection follows its opening by a round trip.
        let _ = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, used.used()).await;
        // Lets the runtime notice a request that has arrived, but was not read yet.
        tokio::task::yield_now().await;
    };
    let ended = tokio::select! {
        biased;
        ended = &mut serving => ended,
        () = must_close => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        log::debug!(reason = error.to_string().as_str(); "a server connection closed with an error");
    }
}
