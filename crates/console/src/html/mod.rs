//! A small HTML builder that always escapes text and attribute values.

mod element;
mod html_text;

pub use element::{Element, element};
pub use html_text::Html;
