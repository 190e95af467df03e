//! Requests, responses and the HTTP listener, which uses xitca-web.

mod answer_http;
mod console_request;
mod console_response;
mod console_server;
mod read_request;

pub use answer_http::answer_http;
pub use console_request::{ConsoleMethod, ConsoleRequest};
pub use console_response::ConsoleResponse;
pub use console_server::{ConsoleServer, MAX_BODY_BYTES};
pub use read_request::{RequestError, read_request};
