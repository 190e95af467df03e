//! The web console with which operators edit and publish the configuration.

pub mod answers;
pub mod auth;
pub mod backend;
pub mod draft;
pub mod forms;
pub mod html;
mod inputs;
pub mod pages;
mod section;
mod style;
pub mod web;

pub use inputs::Inputs;
pub use section::{Section, value_at};
