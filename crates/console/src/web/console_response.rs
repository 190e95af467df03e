//! Responses to browsers.

use crate::html::Html;
use crate::style::CONTENT_SECURITY_POLICY;

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsoleResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: String,
}

impl ConsoleResponse {
    pub(crate) fn html(status: u16, html: &Html) -> Self {
        let body = html.as_str().to_owned();
        Self::of(status, body).with("content-type", "text/html; charset=utf-8")
    }

    pub(crate) fn redirect(path: &str) -> Self {
        Self::of(303, String::new()).with("location", path)
    }

    pub(crate) fn file(name: &str, body: String) -> Self {
        Self::of(200, body)
            .with("content-type", "application/json; charset=utf-8")
            .with(
                "content-disposition",
                format!("attachment; filename=\"{name}\""),
            )
    }

    pub(crate) fn text(status: u16, text: &str) -> Self {
        Self::of(status, text.to_owned()).with("content-type", "text/plain; charset=utf-8")
    }

    fn of(status: u16, body: String) -> Self {
        let response = Self {
            status,
            headers: Vec::new(),
            body,
        };
        response
            .with("content-security-policy", CONTENT_SECURITY_POLICY.as_str())
            .with("x-content-type-options", "nosniff")
            .with("x-frame-options", "DENY")
            // With `no-referrer` browsers would send `Origin: null` with form posts, which the origin check rejects.
            .with("referrer-policy", "same-origin")
            .with("cache-control", "no-store")
    }

    pub(crate) fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Returns the value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| value.as_str())
    }
}
