//! Requests from browsers.

use crate::inputs::Inputs;

/// The method of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConsoleMethod {
    /// Opens a page.
    #[default]
    Get,
    /// Sends a form.
    Post,
}

/// The parts of an HTTP request that the console uses.
#[derive(Clone, Debug, Default)]
pub struct ConsoleRequest {
    /// The method.
    pub method: ConsoleMethod,
    /// The path, without the query.
    pub path: String,
    /// The query.
    pub query: Inputs,
    /// The fields of the form.
    pub body: Inputs,
    /// The value of the session cookie.
    pub session_cookie: Option<String>,
    /// The value of the visitor cookie.
    pub visitor_cookie: Option<String>,
    /// The `Origin` header.
    pub origin: Option<String>,
    /// The `Sec-Fetch-Site` header.
    pub fetch_site: Option<String>,
    /// The `Host` header.
    pub host: Option<String>,
}

impl ConsoleRequest {
    /// Returns a field of the form, or of the query when the form has no such field.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        match self.body.has(name) {
            true => self.body.get(name),
            false => self.query.get(name),
        }
    }

    /// Returns the path with the query.
    #[must_use]
    pub fn path_and_query(&self) -> String {
        let query = self.query.encode();
        match query.as_str() {
            "" => self.path.clone(),
            query => format!("{}?{query}", self.path),
        }
    }
}
