//! An HTTP listener with its worker threads.

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

/// Limits on the header lines and the bytes of a request head above which xitca-web answers 431 without a body. The
/// limits of the gateway are lower, so that callers receive its own error first.
const MAX_HEAD_LINES: usize = 128;
const MAX_HEAD_BYTES: usize = 128 * 1024;
/// The number of response bytes that are buffered per connection before the body is polled again.
const MAX_WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// The time limit for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles a request; runs on the tokio runtime that started the server.
pub type Handler =
    Arc<dyn Fn(IncomingRequest) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Send + Sync>;

/// Options of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// The number of threads that read requests and write responses.
    pub worker_threads: usize,
    /// The largest request body.
    pub max_body_bytes: usize,
    /// The time limit for receiving a request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// The time after which an idle connection is closed, in milliseconds.
    pub keep_alive_ms: u64,
}

/// A running listener.
pub struct HttpServer {
    address: SocketAddr,
    closing: CancellationToken,
    stopped: CancellationToken,
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
        let stopped = CancellationToken::new();
        let connections = Arc::new(Connections::default());
        let state = WebState {
            handler,
            options,
            runtime: Handle::current(),
        };
        let bound = BoundSocket {
            socket,
            closing: closing.clone(),
            stopped: stopped.clone(),
        };
        let mut server = build(bound, state, connections.clone());
        let handle = server.handle()?;
        let thread = std::thread::Builder::new()
            .name("gate-listener".to_owned())
            .spawn(move || {
                if let Err(error) = server.wait() {
                    log::error!("gate: listener failed: {error}");
                }
            })?;
        Ok(Self {
            address,
            closing,
            stopped,
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

    /// Refuses new connections; open ones are still served.
    pub fn close_listener(&self) {
        self.closing.cancel();
    }

    /// Closes idle connections.
    pub fn close_idle(&self) {
        self.connections.close_idle();
    }

    /// Closes all connections and stops all threads.
    pub async fn stop(mut self) {
        self.closing.cancel();
        self.stopped.cancel();
        self.handle.stop(false);
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.closing.cancel();
        self.stopped.cancel();
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
        .max_request_headers::<MAX_HEAD_LINES>()
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<MAX_WRITE_BUFFER_BYTES>();
    let service = App::new()
        .with_state(state)
        .at("/", handler_service(handle))
        .at("/{*path}", handler_service(handle))
        .finish()
        .enclosed(HttpServiceBuilder::with_config(config))
        .enclosed_fn(async move |service, stream: Stream| {
            serve_connection(service, stream, &connections).await
        });
    xitca_server::Builder::new()
        .server_threads(1)
        .worker_threads(options.worker_threads.max(1))
        .disable_signal()
        .listen("gate", bound, service)
        .build()
}

/// Serves one connection, with a second handle on its socket in [`CONNECTION`].
async fn serve_connection<S>(
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
    let Ok(second_handle) = socket.try_clone() else {
        log::warn!("gate: refused a connection because its socket handle cannot be duplicated");
        return Ok(());
    };
    let connection = Arc::new(Connection::new(second_handle));
    let _registration = connections.register(connection.clone());
    // An error only means that the connection ended: the caller disconnected, or a body was aborted.
    let _ = CONNECTION.scope(connection, service.call(stream)).await;
    Ok(())
}
