//! A listener with its worker threads.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use http::header::TRANSFER_ENCODING;
use lw_base::ErrorKind;
use tokio::runtime::Handle;
use tokio_util::sync::{CancellationToken, DropGuard};
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::Stream;
use xitca_server::ServerHandle;
use xitca_web::body::ResponseBody;
use xitca_web::handler::handler_service;
use xitca_web::http::WebResponse;
use xitca_web::service::{Service, ServiceExt};
use xitca_web::{App, WebContext};

use crate::error_reply::error_reply;
use crate::incoming::{BodyFault, Incoming};
use crate::reply::{Reply, ReplyBody};
use crate::server::closing_listener::BoundSocket;
use crate::server::connection::{Busy, Connection};
use crate::server::connections::Connections;
use crate::server::request_body::read_body;
use crate::server::web_body::WebBody;

/// The header lines and bytes that xitca-web reads before it answers 431 without a body. The limits of the gateway lie
/// below, so that callers see its own error.
const HEAD_LINES: usize = 128;
const HEAD_BYTES: usize = 128 * 1024;
/// The bytes of a response that are held for a connection before the body is polled again.
const WRITE_BYTES: usize = 64 * 1024;
/// The time in which a caller must take what is left of an aborted body.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The time in which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves requests; runs on the runtime that started the server.
pub type Handler =
    Arc<dyn Fn(Incoming) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Send + Sync>;

/// Options of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// The threads that read requests and write responses.
    pub worker_threads: usize,
    /// The largest body of a request.
    pub max_body_bytes: usize,
    /// The time in which a body must arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// The time for which an idle connection stays open, in milliseconds.
    pub keep_alive_ms: u64,
}

/// A running listener.
pub struct HttpServer {
    address: SocketAddr,
    closing: CancellationToken,
    ended: CancellationToken,
    connections: Arc<Connections>,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

#[derive(Clone)]
struct WebState {
    handler: Handler,
    options: ServerOptions,
    runtime: Handle,
}

tokio::task_local! {
    static CONNECTION: Arc<Connection>;
}

impl HttpServer {
    /// Binds `address` and serves requests with `handler`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or no thread can be started.
    pub fn start(
        address: SocketAddr,
        options: ServerOptions,
        handler: Handler,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(address)?;
        let address = socket.local_addr()?;
        let closing = CancellationToken::new();
        let ended = CancellationToken::new();
        let connections = Arc::new(Connections::default());
        let state = WebState {
            handler,
            options,
            runtime: Handle::current(),
        };
        let bound = BoundSocket {
            socket,
            closing: closing.clone(),
            ended: ended.clone(),
        };
        let mut server = build(bound, state, connections.clone());
        let handle = server.handle()?;
        let thread = std::thread::Builder::new()
            .name("gate-listener".to_owned())
            .spawn(move || {
                if let Err(error) = server.wait() {
                    log::error!("gate: listener ended: {error}");
                }
            })?;
        Ok(Self {
            address,
            closing,
            ended,
            connections,
            handle,
            thread: Some(thread),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.count()
    }

    /// Refuses new connections; open ones go on.
    pub fn close_listener(&self) {
        self.closing.cancel();
    }

    /// Ends idle connections.
    pub fn close_idle(&self) {
        self.connections.close_idle();
    }

    /// Ends all connections and threads.
    pub async fn stop(mut self) {
        self.closing.cancel();
        self.ended.cancel();
        self.handle.stop(false);
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.closing.cancel();
        self.ended.cancel();
        self.handle.stop(false);
    }
}

fn build(
    bound: BoundSocket,
    state: WebState,
    connections: Arc<Connections>,
) -> xitca_server::ServerFuture {
    let options = state.options;
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(Duration::from_millis(options.keep_alive_ms))
        .request_head_timeout(HEAD_TIMEOUT)
        .max_request_headers::<HEAD_LINES>()
        .max_read_buf_size::<HEAD_BYTES>()
        .max_write_buf_size::<WRITE_BYTES>();
    let service = App::new()
        .with_state(state)
        .at("/", handler_service(handle))
        .at("/{*path}", handler_service(handle))
        .finish()
        .enclosed(HttpServiceBuilder::with_config(config))
        .enclosed_fn(async move |service, stream: Stream| {
            track(service, stream, &connections).await
        });
    xitca_server::Builder::new()
        .server_threads(1)
        .worker_threads(options.worker_threads.max(1))
        .disable_signal()
        .listen("gate", bound, service)
        .build()
}

/// Serves one connection, with a second handle on it in reach of its requests.
async fn track<S>(
    service: &S,
    stream: Stream,
    connections: &Arc<Connections>,
) -> Result<(), Infallible>
where
    S: Service<Stream>,
{
    let Stream::Tcp(socket, _) = &stream else {
        return Ok(());
    };
    let Ok(second) = socket.try_clone() else {
        log::warn!("gate: refused a connection, because no second handle can be opened");
        return Ok(());
    };
    let connection = Arc::new(Connection::new(second));
    let _registration = connections.register(connection.clone());
    // Errors are ends of connections: a caller that goes away, or an aborted body.
    let _ = CONNECTION.scope(connection, service.call(stream)).await;
    Ok(())
}

async fn handle(context: &WebContext<'_, WebState>) -> WebResponse {
    let connection = CONNECTION.get();
    respond(context, connection).await
}

async fn respond(context: &WebContext<'_, WebState>, connection: Arc<Connection>) -> WebResponse {
    let busy = connection.busy();
    let state = context.state();
    let request = context.req();
    let body = std::mem::take(&mut *context.body_borrow_mut());
    let timeout = Duration::from_millis(state.options.body_timeout_ms);
    let headers = request.headers();
    let mut body = read_body(body, headers, state.options.max_body_bytes, timeout).await;
    // The end of the connection looks like the last chunk of a body, so a cut body would be taken for a whole one.
    if headers.contains_key(TRANSFER_ENCODING) && connection.is_ended() {
        body = Err(BodyFault::Malformed);
    }
    // A body that is refused is answered at once, also to a caller that has closed its sending side.
    let refused = body.is_err();
    let gone = CancellationToken::new();
    let ended = gone.clone();
    let guard = gone.clone().drop_guard();
    let incoming = Incoming {
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers: request.headers().clone(),
        body,
        gone,
    };
    let task = state.runtime.spawn((state.handler)(incoming));
    let reply = tokio::select! {
        reply = task => reply,
        // The task sees the cancelled token and ends by itself, with an outcome.
        // A caller that closed only its sending side must not take the end of the connection for an answer.
        () = connection.gone(), if !refused => Ok(error_reply(ErrorKind::CallerGone)),
    };
    let reply = reply.unwrap_or_else(|error| {
        log::error!("gate: a request failed inside the gateway: {error}");
        error_reply(ErrorKind::Internal)
    });
    web_response(reply, connection, ended, guard, busy)
}

/// Cuts a connection off when its body was aborted and the caller does not take the rest, so that a caller that never
/// reads cannot keep the connection.
async fn cut_stalled(
    connection: Arc<Connection>,
    aborted: CancellationToken,
    ended: CancellationToken,
) {
    tokio::select! {
        () = aborted.cancelled() => {}
        () = ended.cancelled() => return,
    }
    tokio::select! {
        () = tokio::time::sleep(STALL_TIMEOUT) => connection.cut(),
        () = ended.cancelled() => {}
    }
}

fn web_response(
    reply: Reply,
    connection: Arc<Connection>,
    ended: CancellationToken,
    guard: DropGuard,
    busy: Busy,
) -> WebResponse {
    let body = match reply.body {
        ReplyBody::Whole(bytes) => ResponseBody::bytes(bytes),
        ReplyBody::Stream {
            length_bytes,
            parts,
            aborted,
        } => {
            tokio::task::spawn_local(cut_stalled(connection.clone(), aborted, ended));
            ResponseBody::boxed(WebBody {
                length_bytes,
                parts,
                gone: Box::pin(async move { connection.gone().await }),
                ended: false,
                _guard: guard,
                _busy: busy,
            })
        }
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}
