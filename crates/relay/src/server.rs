//! The HTTP listeners of a host. They run on the one thread of the host.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming as HyperBody;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::head_timer::{HeadPhase, HeadTimedStream};
use crate::host::Host;
use crate::reply::Reply;
use crate::stop::StopStep;

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

/// The delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The idle timeout of connections of other hosts, in milliseconds.
const PEER_IDLE_TIMEOUT_MS: u64 = 30_000;
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
    matches!(kind, ListenerKind::Callers | ListenerKind::Peers) && step >= StopStep::CloseListener
}

fn closes_idle_connections(step: StopStep, kind: ListenerKind) -> bool {
    matches!(kind, ListenerKind::Callers | ListenerKind::Peers) && step >= StopStep::CloseIdle
}

async fn serve_stream(host: Rc<Host>, stream: TcpStream, kind: ListenerKind) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(reason = error.to_string().as_str(); "TCP_NODELAY could not be set");
    }
    let limits = host.plan.borrow().limits;
    let idle_ms = match kind {
        ListenerKind::Peers => PEER_IDLE_TIMEOUT_MS,
        _ => limits.idle_timeout_ms,
    };
    let phase = HeadPhase::default();
    let head_timeout = Duration::from_millis(limits.header_timeout_ms);
    let stream = HeadTimedStream::new(stream, phase.clone(), head_timeout);
    let mut stop = host.stop.subscribe();
    host.connections.set(host.connections.get() + 1);
    let state = host.clone();
    let service = service_fn(move |request| {
        let host = state.clone();
        let phase = phase.clone();
        async move {
            phase.head_complete();
            let reply = handle(host, request, kind).await;
            phase.response_started();
            Ok::<Reply, Infallible>(reply)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // Covers the idle time and the head together; `HeadTimedStream` enforces the timeout of the head alone.
        .header_read_timeout(Duration::from_millis(idle_ms) + head_timeout);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let ended = tokio::select! {
        ended = &mut serving => ended,
        () = wait_for_step(&mut stop, |step| closes_idle_connections(step, kind)) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    host.connections.set(host.connections.get() - 1);
    if let Err(error) = ended {
        log::debug!(reason = error.to_string().as_str(); "a server connection closed with an error");
    }
}

async fn handle(host: Rc<Host>, request: http::Request<HyperBody>, kind: ListenerKind) -> Reply {
    match kind {
        ListenerKind::Callers | ListenerKind::Peers => {
            crate::forward::handle(host, request, kind).await
        }
        ListenerKind::Ready | ListenerKind::Directory | ListenerKind::Metrics => {
            crate::own_pages::handle(&host, &request, kind)
        }
    }
}
