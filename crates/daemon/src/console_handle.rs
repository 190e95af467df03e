//! Late binding of the console: the admin listener starts before the node, whose state the console shows.

use std::sync::{Arc, OnceLock};

use http::{HeaderName, HeaderValue, StatusCode};
use lw_console::answers::{Console, RequestContext};
use lw_console::web::{ConsoleResponse, answer_http};
use lw_gate::{Handler, IncomingRequest, Reply, RequestBodyError};

/// Path prefix of the console.
const CONSOLE_PATH: &str = "/console";

/// Holds the console of a host; empty until the node has started.
#[derive(Clone, Default)]
pub(crate) struct ConsoleHandle {
    console: Arc<OnceLock<Console>>,
}

impl ConsoleHandle {
    /// Sets the console; has no effect if it is already set.
    pub(crate) fn set(&self, console: Console) {
        let _ = self.console.set(console);
    }

    /// Returns a handler that routes the console paths to the console and all other paths to `admin`.
    pub(crate) fn handler(&self, admin: Handler) -> Handler {
        let handle = self.clone();
        Arc::new(move |incoming| {
            if !is_console_path(incoming.uri.path()) {
                return admin(incoming);
            }
            let handle = handle.clone();
            Box::pin(async move { handle.answer(incoming).await })
        })
    }

    async fn answer(&self, incoming: IncomingRequest) -> Reply {
        let Some(console) = self.console.get() else {
            let message = "The console is not available: this host has no key-value service. Set platform.key_value in the settings file and start the host again.\n";
            return text(StatusCode::NOT_FOUND, message);
        };
        let body = match incoming.body {
            Ok(body) => body,
            Err(error) => return body_error_reply(error),
        };
        let (method, uri, headers) = (&incoming.method, &incoming.uri, &incoming.headers);
        let answer = answer_http(
            console,
            method,
            uri,
            headers,
            body,
            RequestContext::from_system(),
        );
        reply_of(answer.await)
    }
}

fn is_console_path(path: &str) -> bool {
    let rest = path.strip_prefix(CONSOLE_PATH);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn body_error_reply(error: RequestBodyError) -> Reply {
    match error {
        RequestBodyError::TooLarge => text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "The form or file is too large. Please send a smaller one.\n",
        ),
        RequestBodyError::Malformed => text(
            StatusCode::BAD_REQUEST,
            "The form arrived incomplete. Please send it again.\n",
        ),
        RequestBodyError::TooSlow => text(
            StatusCode::REQUEST_TIMEOUT,
            "The form did not arrive in time. Please send it again.\n",
        ),
    }
}

fn text(status: StatusCode, message: &'static str) -> Reply {
    Reply::whole(status, message)
}

fn reply_of(response: ConsoleResponse) -> Reply {
    let status = StatusCode::from_u16(response.status);
    let mut reply = Reply::whole(
        status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        response.body,
    );
    for (name, value) in response.headers {
        let Ok(value) = HeaderValue::from_str(&value) else {
            log::error!(
                "daemon: dropped header {name} of a console response: its value is malformed"
            );
            continue;
        };
        reply.headers.append(HeaderName::from_static(name), value);
    }
    reply
}
