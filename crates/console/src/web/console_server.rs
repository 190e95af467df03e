//! A listener that serves only the console. A daemon may instead call [`answer_http`] from its own listener.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::runtime::Handle;
use xitca_web::body::{BodyExt, Frame, RequestBody, ResponseBody};
use xitca_web::handler::handler_service;
use xitca_web::http::{HeaderName, HeaderValue, StatusCode, WebResponse};
use xitca_web::{App, WebContext};

use crate::answers::{Console, RequestContext};
use crate::web::answer_http::answer_http;
use crate::web::console_response::ConsoleResponse;

/// The largest accepted body. A document with 38,000 customers is about 3 MB, and form encoding makes it up to three
/// times as large.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const WORKER_THREADS: usize = 2;
const KEEP_ALIVE: Duration = Duration::from_secs(30);
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// A running console listener; it stops when dropped.
pub struct ConsoleServer {
    address: SocketAddr,
    handle: xitca_server::ServerHandle,
    thread: Option<JoinHandle<()>>,
}

#[derive(Clone)]
struct WebState {
    console: Arc<Console>,
    runtime: Handle,
}

impl ConsoleServer {
    /// Binds `address` and serves the console; its futures run on the Tokio runtime from which this is called.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or no thread can be started.
    pub fn start(address: SocketAddr, console: Arc<Console>) -> io::Result<Self> {
        let socket = TcpListener::bind(address)?;
        let address = socket.local_addr()?;
        let state = WebState {
            console,
            runtime: Handle::current(),
        };
        let mut server = App::new()
            .with_state(state)
            .at("/", handler_service(respond))
            .at("/{*path}", handler_service(respond))
            .serve()
            .disable_signal()
            .server_threads(1)
            .worker_threads(WORKER_THREADS)
            .keep_alive_timeout(KEEP_ALIVE)
            .request_head_timeout(REQUEST_HEAD_TIMEOUT)
            .listen(socket)?
            .run();
        let handle = server.handle()?;
        let thread = std::thread::Builder::new()
            .name("console-listener".to_owned())
            .spawn(move || {
                if let Err(error) = server.wait() {
                    log::error!("console: the listener stopped with an error: {error}");
                }
            })?;
        Ok(Self {
            address,
            handle,
            thread: Some(thread),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and stops all threads.
    pub async fn stop(mut self) {
        self.handle.stop(false);
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

impl Drop for ConsoleServer {
    fn drop(&mut self) {
        self.handle.stop(false);
    }
}

async fn respond(context: &WebContext<'_, WebState>) -> WebResponse {
    let request = context.req();
    let body = std::mem::take(&mut *context.body_borrow_mut());
    let body = tokio::time::timeout(BODY_TIMEOUT, collect(body)).await;
    let Ok(Some(body)) = body else {
        // The rest of the body is not read, so the connection cannot be reused.
        let response = ConsoleResponse::text(
            413,
            "the form is too large, is damaged or took too long to arrive; check its size and send it again",
        );
        return web_response(response.with("connection", "close"));
    };
    // A connection that closes early looks like the end of the body, so the length is compared with `Content-Length`.
    let declared = request.headers().get("content-length");
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|bytes| bytes != body.len()) {
        return plain(400, "the form did not arrive completely; send it again");
    }
    let (method, uri) = (request.method().clone(), request.uri().clone());
    let headers = request.headers().clone();
    let state = context.state();
    let console = state.console.clone();
    let answer = async move {
        let request_context = RequestContext::from_system();
        answer_http(&console, &method, &uri, &headers, body, request_context).await
    };
    match state.runtime.spawn(answer).await {
        Ok(response) => web_response(response),
        Err(error) => {
            log::error!("console: the request handler failed: {error}");
            plain(500, "the console could not handle the request; try again")
        }
    }
}

/// Returns the complete body; `None` when it is too large or cannot be read.
async fn collect(mut body: RequestBody) -> Option<Bytes> {
    let mut body = Pin::new(&mut body);
    let mut collected = BytesMut::new();
    while let Some(frame) = body.as_mut().frame().await {
        if let Frame::Data(data) = frame.ok()? {
            collected.extend_from_slice(&data);
        }
        if collected.len() > MAX_BODY_BYTES {
            return None;
        }
    }
    Some(collected.freeze())
}

fn plain(status: u16, text: &str) -> WebResponse {
    web_response(ConsoleResponse::text(status, text))
}

fn web_response(response: ConsoleResponse) -> WebResponse {
    let mut web = WebResponse::new(ResponseBody::bytes(Bytes::from(response.body)));
    *web.status_mut() =
        StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in response.headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            web.headers_mut()
                .append(HeaderName::from_static(name), value);
        }
    }
    web
}
