//! The console listener, tested with an HTTP client.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lw_console::Inputs;
use lw_console::web::{ConsoleServer, MAX_BODY_BYTES};
use support::browser::form_inputs;
use support::store::Store;
use support::{console, sample};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct HttpBrowser {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    cookies: Vec<String>,
}

struct Page {
    status: StatusCode,
    location: String,
    body: String,
}

const FORM: &str = "application/x-www-form-urlencoded";

impl HttpBrowser {
    fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
            cookies: Vec::new(),
        }
    }

    async fn send(&mut self, method: &str, path: &str, kind: &str, body: impl Into<Bytes>) -> Page {
        let base = format!("http://{}", self.address);
        let request = Request::builder()
            .method(method)
            .uri(format!("{base}{path}"))
            .header("cookie", self.cookies.join("; "))
            .header("origin", base)
            .header("content-type", kind)
            .body(Full::new(body.into()))
            .expect("a valid request");
        let response = tokio::time::timeout(Duration::from_secs(30), self.client.request(request));
        let response = response.await.expect("in time").expect("a response");
        for cookie in response.headers().get_all("set-cookie") {
            let cookie = cookie.to_str().expect("text").split(';').next();
            self.cookies.push(cookie.expect("a pair").to_owned());
        }
        let location = response.headers().get("location");
        let location = location
            .map_or("", |value| value.to_str().expect("text"))
            .to_owned();
        let status = response.status();
        let policy = response.headers().get("content-security-policy");
        assert!(policy.is_some(), "{method} {path}");
        let body = response
            .into_body()
            .collect()
            .await
            .expect("a complete body");
        let body = String::from_utf8(body.to_bytes().to_vec()).expect("UTF-8");
        println!("{method} {path}: {status}, {} bytes", body.len());
        Page {
            status,
            location,
            body,
        }
    }

    async fn get(&mut self, path: &str) -> Page {
        self.send("GET", path, FORM, Bytes::new()).await
    }

    async fn submit(&mut self, page: &Page, action: &str, typed: &[(&str, &str)]) -> Page {
        let mut fields = Inputs::default();
        for (name, value) in typed {
            fields.push(name, *value);
        }
        let shown = form_inputs(&page.body, action);
        for (name, value) in shown
            .iter()
            .filter(|(name, _)| !fields.has(name))
            .collect::<Vec<_>>()
        {
            fields.push(name, value);
        }
        self.send("POST", action, FORM, fields.encode()).await
    }
}

fn multipart(fields: &Inputs, file: &str) -> String {
    let mut body = String::new();
    for (name, value) in fields.iter().filter(|(name, _)| *name != "file") {
        body.push_str(&format!(
            "--frontier\r\nContent-Disposition: form-data; name=\"{name}\"\r\n\r\n{value}\r\n"
        ));
    }
    body.push_str(&format!(
        "--frontier\r\nContent-Disposition: form-data; name=\"file\"; filename=\"a.json\"\r\nContent-Type: application/json\r\n\r\n{file}\r\n--frontier--\r\n"
    ));
    body
}

/// Guards against an HTTP layer that loses cookies, fields, files, headers or statuses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_console_works_over_http() {
    let store = Store::new(sample());
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = ConsoleServer::start(address, console(&store)).expect("a listener");
    let mut visitor = HttpBrowser::new(server.address());
    let page = visitor.get("/console/customers?q=foundry").await;
    assert_eq!(page.status, StatusCode::SEE_OTHER);
    let sign_in = page.location;
    let page = visitor.get(&sign_in).await;
    let typed = [("operator", "asha"), ("secret", "secret of asha")];
    let page = visitor.submit(&page, "/console/sign-in", &typed).await;
    assert_eq!(
        (page.status, page.location.as_str()),
        (StatusCode::SEE_OTHER, "/console/customers?q=foundry")
    );
    assert!(
        visitor
            .get(&page.location)
            .await
            .body
            .contains("foundry-12")
    );
    for path in [
        "/console",
        "/console/audit",
        "/console/revisions",
        "/console/document",
        "/console/services",
    ] {
        assert_eq!(visitor.get(path).await.status, StatusCode::OK, "{path}");
    }
    let page = visitor.get("/console/targets/new").await;
    let page = visitor
        .submit(&page, "/console/targets/save", &[("name", "a b")])
        .await;
    assert_eq!(page.status, StatusCode::UNPROCESSABLE_ENTITY);
    let page = visitor.get("/console/planned-stops/now").await;
    let typed = [
        ("name", "week-3"),
        ("targets", "ga-01\r\nga-02"),
        ("duration_min", "30"),
    ];
    let page = visitor
        .submit(&page, "/console/planned-stops/now/save", &typed)
        .await;
    assert_eq!(page.status, StatusCode::OK);
    let draft = form_inputs(&page.body, "/console/draft").encode();
    let page = visitor.send("POST", "/console/preview", FORM, draft).await;
    let page = visitor.submit(&page, "/console/publish", &[]).await;
    assert_eq!(page.location, "/console?published=2");
    let page = visitor.get(&page.location).await;
    assert!(page.body.contains("Revision 2 was published.") && page.body.contains("week-3"));
    check_upload(&mut visitor).await;
    assert_eq!(store.head().revision, 3);
    check_rejected_requests(&mut visitor).await;
    server.stop().await;
}

async fn check_upload(visitor: &mut HttpBrowser) {
    let file = visitor.get("/console/document.json").await.body;
    let file = file.replace("\"requests_per_s\": 5.0", "\"requests_per_s\": 6.0");
    let page = visitor.get("/console/document").await;
    let fields = form_inputs(&page.body, "/console/document/upload");
    let kind = "multipart/form-data; boundary=frontier";
    let path = "/console/document/upload";
    let page = visitor
        .send("POST", path, kind, multipart(&fields, &file))
        .await;
    assert_eq!(page.status, StatusCode::OK, "{}", page.body);
    assert_eq!(
        visitor
            .submit(&page, "/console/publish", &[])
            .await
            .location,
        "/console?published=3"
    );
    let truncated = multipart(&fields, &file);
    let page = visitor
        .send(
            "POST",
            path,
            kind,
            truncated[..truncated.len() / 2].to_owned(),
        )
        .await;
    assert_eq!(page.status, StatusCode::BAD_REQUEST);
}

async fn check_rejected_requests(visitor: &mut HttpBrowser) {
    let page = visitor.send("DELETE", "/console", FORM, Bytes::new()).await;
    assert_eq!(page.status, StatusCode::BAD_REQUEST);
    let head = head_response_bytes(visitor.address).await;
    assert!(
        head.starts_with("HTTP/1.1 200 ") && head.ends_with("\r\n\r\n"),
        "{head}"
    );
    let large = vec![b'a'; MAX_BODY_BYTES + 1];
    let page = visitor.send("POST", "/console/publish", FORM, large).await;
    assert_eq!(page.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(
        visitor.get("/elsewhere").await.status,
        StatusCode::NOT_FOUND
    );
    let page = visitor
        .send("POST", "/console/publish", FORM, "token=x")
        .await;
    assert_eq!(page.status, StatusCode::FORBIDDEN);
}

/// Returns all bytes that the listener sends in response to HEAD; a body would be misread as the next response.
async fn head_response_bytes(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = b"HEAD /console/sign-in HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream
        .write_all(request)
        .await
        .expect("the request is sent");
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(30), stream.read_to_end(&mut bytes));
    read.await.expect("in time").expect("a response");
    String::from_utf8(bytes).expect("UTF-8")
}
