//! The console on the admin listener, which starts before the node that the console works with.

use std::sync::{Arc, OnceLock};

use http::{HeaderName, HeaderValue, StatusCode};
use lw_console::answers::{Console, RequestContext};
use lw_console::web::{ConsoleResponse, answer_http};
use lw_gate::{Handler, IncomingRequest, Reply, RequestBodyError};

/// The first part of the paths of the console.
const CONSOLE_PATH: &str = "/console";

/// The console of a host, once its node has started.
#[derive(Clone, Default)]
pub(crate) struct ConsoleLink {
    console: Arc<OnceLock<Console>>,
}

impl ConsoleLink {
    /// Connects the console; a second call changes nothing.
    pub(crate) fn connect(&self, console: Console) {
        let _ = self.console.set(console);
    }

    /// Returns a handler that gives the paths of the console to it and all others to `admin`.
    pub(crate) fn handler(&self, admin: Handler) -> Handler {
        let link = self.clone();
        Arc::new(move |incoming| {
            if !of_console(incoming.uri.path()) {
                return admin(incoming);
            }
            let link = link.clone();
            Box::pin(async move { link.answer(incoming).await })
        })
    }

    async fn answer(&self, incoming: IncomingRequest) -> Reply {
        let Some(console) = self.console.get() else {
            let message = "The console needs platform.key_value in the settings of this host.\n";
            return text(StatusCode::NOT_FOUND, message);
        };
        let body = match incoming.body {
            Ok(body) => body,
            Err(fault) => return refuse(fault),
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

fn of_console(path: &str) -> bool {
    let rest = path.strip_prefix(CONSOLE_PATH);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn refuse(fault: RequestBodyError) -> Reply {
    match fault {
        RequestBodyError::TooLarge => text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "The form or file is too large.\n",
        ),
        RequestBodyError::Malformed => text(
            StatusCode::BAD_REQUEST,
            "The form did not arrive whole; send it again.\n",
        ),
        RequestBodyError::TooSlow => text(
            StatusCode::REQUEST_TIMEOUT,
            "The form did not arrive in time; send it again.\n",
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
            log::error!("daemon: the console gave a malformed value of header {name}");
            continue;
        };
        reply.headers.append(HeaderName::from_static(name), value);
    }
    reply
}
