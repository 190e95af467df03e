//! Request handlers: session and token checks, and one handler per route.

mod console;
mod document_handlers;
mod entity_handlers;
mod history_handlers;
mod publish_handlers;
mod request_context;
mod route;
mod sign_in_handlers;
mod workspace;

pub use console::Console;
pub use request_context::RequestContext;
pub use route::Route;
