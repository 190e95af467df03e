//! A listener with its worker threads.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::Stream;
use xitca_server::ServerHandle;
use xitca_web::App;
use xitca_web::handler::handler_service;
use xitca_web::service::{Service, ServiceExt};

use crate::incoming_request::IncomingRequest;
use crate::reply::Reply;
use crate::server::closing_listener::BoundSocket;
use crate::server::connection::Connection;
use crate::server::connections::Connections;
use crate::server::respond::handle;

/// The header lines and bytes that xitca-web reads before it answers 431 without a body. The limits of the gateway lie
/// below, so that callers see its own error.
const HEAD_LINES: usize = 128;
const HEAD_BYTES: usize = 128 * 1024;
/// The bytes of a response that are held for a connection before the body is polled again.
const WRITE_BYTES: usize = 64 * 1024;
/// The time in which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves requests; runs on the runtime that started the server.
pub type Handler =
    Arc<dyn Fn(IncomingRequest) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Send + Sync>;

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
pub(crate) struct WebState {
    pub(crate) handler: Handler,
    pub(crate) options: ServerOptions,
    pub(crate) runtime: Handle,
}

tokio::task_local! {
    /// The connection that the current task serves.
    pub(crate) static CONNECTION: Arc<Connection>;
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
