//! A small HTML builder: text and attribute values are always escaped.

mod element;
mod html_text;

pub use element::{Element, element};
pub use html_text::Html;
