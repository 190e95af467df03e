//! The listeners of a host, on the thread of everything else.

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

/// Who comes through a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// Callers with requests.
    Callers,
    /// Other hosts.
    Peers,
    /// The platform, which asks whether the host is ready.
    Ready,
    /// Callers who ask for entry hosts.
    Directory,
    /// The platform, which reads the metrics.
    Metrics,
}

/// The pause after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections of hosts stay open for this long while they are idle.
const PEER_IDLE_MS: u64 = 30_000;
/// The length of the queue of new connections; a burst of callers must not wait for a second opening packet.
const BACKLOG: u32 = 1_024;

/// Serves a listener until the process ends.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn serve(host: Rc<Host>, address: SocketAddr, door: ListenerKind) -> std::io::Result<()> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    tokio::task::spawn_local(accept(host, listener, door));
    Ok(())
}

async fn accept(host: Rc<Host>, listener: TcpListener, door: ListenerKind) {
    let mut stop = host.stop.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = reached(&mut stop, |step| closes_listener(step, door)) => {
                log::info!(door = format!("{door:?}").as_str(); "the listener is closed");
                return;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(host.clone(), stream, door));
            }
            Err(error) => {
                log::warn!(reason = error.to_string().as_str(); "no connection was accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns when the planned stop has reached a step.
///
/// The reference that the channel returns holds its lock, so it must not live on in the caller: with it, the next step
/// waited for ever.
async fn reached(stop: &mut watch::Receiver<StopStep>, is_reached: impl Fn(StopStep) -> bool) {
    if stop.wait_for(|step| is_reached(*step)).await.is_err() {
        // The host outlives its listeners, so the channel closes only with the process.
        std::future::pending::<()>().await;
    }
}

fn closes_listener(step: StopStep, door: ListenerKind) -> bool {
    matches!(door, ListenerKind::Callers | ListenerKind::Peers) && step >= StopStep::CloseListener
}

fn closes_idle(step: StopStep, door: ListenerKind) -> bool {
    matches!(door, ListenerKind::Callers | ListenerKind::Peers) && step >= StopStep::CloseIdle
}

async fn connection(host: Rc<Host>, stream: TcpStream, door: ListenerKind) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(reason = error.to_string().as_str(); "a connection without its option");
    }
    let limits = host.plan.borrow().limits;
    let idle_ms = match door {
        ListenerKind::Peers => PEER_IDLE_MS,
        _ => limits.idle_timeout_ms,
    };
    let phase = HeadPhase::default();
    let head_time = Duration::from_millis(limits.header_timeout_ms);
    let stream = HeadTimedStream::new(stream, phase.clone(), head_time);
    let mut stop = host.stop.subscribe();
    host.connections.set(host.connections.get() + 1);
    let state = host.clone();
    let service = service_fn(move |request| {
        let host = state.clone();
        let phase = phase.clone();
        async move {
            phase.head_read();
            let reply = handle(host, request, door).await;
            phase.answered();
            Ok::<Reply, Infallible>(reply)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // Covers the idle time and the head; the stream ends a head that takes too long.
        .header_read_timeout(Duration::from_millis(idle_ms) + head_time);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let ended = tokio::select! {
        ended = &mut serving => ended,
        () = reached(&mut stop, |step| closes_idle(step, door)) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    host.connections.set(host.connections.get() - 1);
    if let Err(error) = ended {
        log::debug!(reason = error.to_string().as_str(); "a caller's connection ended");
    }
}

async fn handle(host: Rc<Host>, request: http::Request<HyperBody>, door: ListenerKind) -> Reply {
    match door {
        ListenerKind::Callers | ListenerKind::Peers => {
            crate::forward::handle(host, request, door).await
        }
        ListenerKind::Ready | ListenerKind::Directory | ListenerKind::Metrics => {
            crate::own_pages::handle(&host, &request, door)
        }
    }
}
