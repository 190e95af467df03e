//! Parses HTTP requests into console requests.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream;
use multer::Multipart;
use thiserror::Error;
use xitca_web::http::{HeaderMap, Method, Uri, header};

use crate::auth::{SESSION_COOKIE, VISITOR_COOKIE};
use crate::inputs::Inputs;
use crate::web::console_request::{ConsoleMethod, ConsoleRequest};

/// An HTTP request that the console cannot handle.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The method is neither GET, HEAD nor POST.
    #[error("the console accepts only GET, HEAD and POST requests")]
    Method,
    /// The multipart form data is malformed.
    #[error("the form cannot be read: {0}; open the page again and send the form once more")]
    Form(#[from] multer::Error),
}

/// Parses a request whose body is complete.
///
/// # Errors
///
/// Returns an error for other methods and malformed forms.
pub async fn read_request(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<ConsoleRequest, RequestError> {
    let method = match *method {
        Method::GET | Method::HEAD => ConsoleMethod::Get,
        Method::POST => ConsoleMethod::Post,
        _ => return Err(RequestError::Method),
    };
    let text = |name: &str| {
        let value = headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let body = match method {
        ConsoleMethod::Get => Inputs::default(),
        ConsoleMethod::Post => read_form(text("content-type"), body).await?,
    };
    Ok(ConsoleRequest {
        method,
        path: uri.path().to_owned(),
        query: Inputs::parse(uri.query().unwrap_or("").as_bytes()),
        body,
        session_cookie: cookie(headers, SESSION_COOKIE),
        visitor_cookie: cookie(headers, VISITOR_COOKIE),
        origin: text("origin"),
        fetch_site: text("sec-fetch-site"),
        host: text("host"),
    })
}

async fn read_form(content_type: Option<String>, body: Bytes) -> Result<Inputs, multer::Error> {
    let boundary = content_type.and_then(|kind| multer::parse_boundary(kind).ok());
    let Some(boundary) = boundary else {
        return Ok(Inputs::parse(&body));
    };
    let body_stream = stream::once(async move { Ok::<_, Infallible>(body) });
    let mut parts = Multipart::new(body_stream, boundary);
    let mut inputs = Inputs::default();
    while let Some(part) = parts.next_field().await? {
        let name = part.name().unwrap_or("").to_owned();
        let bytes = part.bytes().await?;
        inputs.push(&name, String::from_utf8_lossy(&bytes));
    }
    Ok(inputs)
}

fn cookie(headers: &HeaderMap, wanted: &str) -> Option<String> {
    let cookies = headers.get_all(header::COOKIE).iter();
    let cookies = cookies.filter_map(|value| value.to_str().ok());
    let pairs = cookies.flat_map(|value| value.split(';'));
    let mut pairs = pairs.filter_map(|pair| pair.trim().split_once('='));
    let found = pairs.find(|(name, _)| *name == wanted)?;
    Some(found.1.to_owned())
}
