//! Answers to requests: the checks of session and token, and the pages by route.

mod console;
mod document_answers;
mod entity_answers;
mod history_answers;
mod moment;
mod publish_answers;
mod route;
mod sign_in_answers;
mod work;

pub use console::Console;
pub use moment::Moment;
pub use route::Route;
