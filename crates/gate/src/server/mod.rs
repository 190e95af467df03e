//! HTTP/1.1 listeners on xitca-web.

mod closing_listener;
mod connection;
mod connections;
mod http_server;
mod request_body;
mod respond;
mod web_body;

pub use http_server::{Handler, HttpServer, ServerOptions};
