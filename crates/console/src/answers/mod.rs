//! Answers to requests: the checks of session and token, and the pages by route.

mod console;
mod document_answers;
mod entity_answers;
mod history_answers;
mod publish_answers;
mod request_context;
mod route;
mod sign_in_answers;
mod work;

pub use console::Console;
pub use request_context::RequestContext;
pub use route::Route;
