//! Sessions, form tokens, the origin check and the rate limit of failed sign-ins.

mod support;

use lw_base::WallMs;
use lw_console::Inputs;
use lw_console::auth::{
    FormId, Operators, SESSION_MS, Session, SessionKey, SignInLimiter, origin_allowed,
};
use lw_console::web::ConsoleMethod;
use lw_doc::Digest;
use support::browser::{Browser, form_inputs};
use support::store::Store;
use support::{NOW, console, key, operators, sample};
use test_case::test_case;

fn session() -> Session {
    Session::start("asha", [7; 16], NOW)
}

/// Guards against rejecting a cookie that another host signed, and against accepting forged, altered or expired ones.
#[test]
fn only_validly_signed_cookies_are_accepted() {
    let cookie = session().cookie(&key(), &operators());
    let read = |cookie: &str, key: &SessionKey, operators: &Operators, now| {
        Session::read(cookie, key, operators, now)
    };
    assert_eq!(read(&cookie, &key(), &operators(), NOW), Some(session()));
    let end = NOW.plus_ms(SESSION_MS);
    assert!(read(&cookie, &key(), &operators(), WallMs(end.0 - 1)).is_some());
    assert_eq!(read(&cookie, &key(), &operators(), end), None, "expired");
    let other = SessionKey(b"another key".to_vec());
    assert_eq!(
        read(&cookie, &other, &operators(), NOW),
        None,
        "another signing key"
    );
    let mut changed = operators();
    changed.0[0].secret_digest = Digest::of(b"new secret");
    assert_eq!(read(&cookie, &key(), &changed, NOW), None, "changed secret");
    changed.0.remove(0);
    assert_eq!(
        read(&cookie, &key(), &changed, NOW),
        None,
        "removed operator"
    );
    for (at, _) in cookie.char_indices() {
        let mut damaged = cookie.clone();
        let new = if &cookie[at..=at] == "1" { "2" } else { "1" };
        damaged.replace_range(at..=at, new);
        assert_eq!(read(&damaged, &key(), &operators(), NOW), None, "{damaged}");
    }
    for text in ["", ".", "....", "a.b.c.d", &format!("{cookie}.x")] {
        assert_eq!(read(text, &key(), &operators(), NOW), None, "{text}");
    }
}

/// Guards against a token that is valid for another form or session, or under another key.
#[test]
fn tokens_are_bound_to_form_session_and_key() {
    let token = session().token(&key(), FormId::Publish);
    assert!(session().token_valid(&key(), FormId::Publish, &token));
    assert!(!session().token_valid(&key(), FormId::Save, &token));
    assert!(!session().token_valid(&key(), FormId::Publish, ""));
    assert!(!session().token_valid(&SessionKey(vec![1]), FormId::Publish, &token));
    let second = Session::start("asha", [8; 16], NOW);
    assert!(!second.token_valid(&key(), FormId::Publish, &token));
    let other = Session::start("karim", [7; 16], NOW);
    assert!(!other.token_valid(&key(), FormId::Publish, &token));
}

/// Guards against accepting form posts from pages of other sites.
#[test_case(Some("http://a:9000"), None, Some("a:9000"), true; "same origin")]
#[test_case(Some("https://A:9000"), Some("same-origin"), Some("a:9000"), true; "host in other case over https")]
#[test_case(None, None, Some("a:9000"), true; "client without origin")]
#[test_case(Some("http://a:9001"), None, Some("a:9000"), false; "other port")]
#[test_case(Some("http://b:9000"), None, Some("a:9000"), false; "other host")]
#[test_case(Some("http://a:9000.evil.example"), None, Some("a:9000"), false; "host as prefix of another host")]
#[test_case(Some("null"), None, Some("a:9000"), false; "opaque origin")]
#[test_case(Some(""), None, Some("a:9000"), false; "empty origin")]
#[test_case(Some("http://a:9000"), None, None, false; "no host header")]
#[test_case(None, Some("cross-site"), Some("a:9000"), false; "cross site fetch")]
#[test_case(None, Some("same-site"), Some("a:9000"), false; "same site fetch")]
fn only_same_origin_posts_are_allowed(
    origin: Option<&str>,
    site: Option<&str>,
    host: Option<&str>,
    allowed: bool,
) {
    assert_eq!(origin_allowed(origin, site, host), allowed);
}

/// Guards against unlimited guessing, long lockouts, and memory that grows with each guessed name.
#[test]
fn failed_sign_ins_are_delayed() {
    let operators = operators();
    let mut limiter = SignInLimiter::default();
    let mut now = NOW;
    for _ in 0..3 {
        limiter.record_failure(&operators, "asha", now);
    }
    assert_eq!(
        limiter.wait_ms(&operators, "asha", now),
        0,
        "typing errors cause no delay"
    );
    let mut waits = Vec::new();
    for _ in 0..9 {
        limiter.record_failure(&operators, "asha", now);
        let wait_ms = limiter.wait_ms(&operators, "asha", now);
        waits.push(wait_ms / 1000);
        now = now.plus_ms(wait_ms);
        assert_eq!(limiter.wait_ms(&operators, "asha", now), 0);
    }
    assert_eq!(waits, [1, 2, 4, 8, 16, 32, 60, 60, 60]);
    limiter.record_failure(&operators, "asha", now);
    assert_eq!(
        limiter.wait_ms(&operators, "karim", now),
        0,
        "other operators are not delayed"
    );
    for guess in 0..1000 {
        limiter.record_failure(&operators, &format!("guess-{guess}"), now);
    }
    assert!(
        limiter.wait_ms(&operators, "yet another", now) > 0,
        "unknown names share a count"
    );
    limiter.record_success("asha");
    assert_eq!(limiter.wait_ms(&operators, "asha", now), 0);
}

/// Guards against comparing only a part of the secret, and against sign-ins that bypass the rate limit.
#[test]
fn signing_in_requires_the_exact_name_and_secret() {
    let store = Store::new(sample());
    let mut browser = Browser::new(console(&store));
    assert_eq!(browser.get("/console").status, 303);
    let wrong = [
        ("asha", "secret of karim"),
        ("asha", ""),
        ("", ""),
        ("", "secret of asha"),
        ("asha", "secret of asha "),
        ("ASHA", "secret of asha"),
    ];
    for (operator, secret) in wrong {
        browser.get("/console/sign-in");
        browser.submit(
            "/console/sign-in",
            &[("operator", operator), ("secret", secret)],
        );
        assert_eq!(browser.page.status, 401, "{operator} {secret}");
        assert!(
            !browser.page.body.contains("secret of"),
            "secrets are not shown again"
        );
        assert_eq!(browser.get("/console").status, 303);
    }
    for _ in 0..2 {
        browser.get("/console/sign-in");
        browser.submit("/console/sign-in", &[("operator", "asha"), ("secret", "x")]);
    }
    browser.get("/console/sign-in");
    browser.submit(
        "/console/sign-in",
        &[("operator", "asha"), ("secret", "secret of asha")],
    );
    assert_eq!(
        browser.page.status, 429,
        "delayed even with the right secret"
    );
    assert_eq!(browser.page.header("retry-after"), Some("1"));
    browser.now = browser.now.plus_ms(1_000);
    browser.get("/console/sign-in?then=%2Fconsole%2Ftargets");
    browser.submit(
        "/console/sign-in",
        &[("operator", "asha"), ("secret", "secret of asha")],
    );
    assert_eq!(browser.page.header("location"), Some("/console/targets"));
    let cookie = browser.page.header("set-cookie").unwrap_or("").to_owned();
    assert!(
        cookie.contains("HttpOnly") && cookie.contains("SameSite=Strict"),
        "{cookie}"
    );
    assert_eq!(browser.get("/console").status, 200);
}

/// Guards against open redirects to other sites after a sign-in.
#[test_case("https://evil.example/"; "other site")]
#[test_case("//evil.example/"; "scheme-relative URL")]
#[test_case("/console.evil"; "console as path prefix")]
#[test_case("/console/\r\nSet-Cookie: a=b"; "header injection")]
fn sign_in_redirects_only_into_the_console(then: &str) {
    let store = Store::new(sample());
    let mut browser = Browser::new(console(&store));
    browser.get("/console/sign-in");
    let typed = [
        ("operator", "asha"),
        ("secret", "secret of asha"),
        ("then", then),
    ];
    let page = browser.submit("/console/sign-in", &typed);
    assert_eq!(page.header("location"), Some("/console"));
}

/// Guards against a sign-out that keeps the session cookie valid in the browser.
#[test]
fn signing_out_ends_the_session() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    browser.get("/console");
    browser.submit("/console/sign-out", &[]);
    assert_eq!(browser.cookie.as_deref(), Some(""));
    assert_eq!(browser.get("/console").status, 303);
}

/// Guards against ending the session when the user follows a link from another site, which browsers do without the
/// session cookie.
#[test]
fn a_link_from_another_site_keeps_the_session() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    let session = browser.cookie.take();
    assert_eq!(browser.get("/console").status, 303);
    assert_eq!(browser.get("/console/sign-in").status, 200);
    assert_eq!(
        browser.cookie, None,
        "the sign-in page sets no session cookie"
    );
    browser.cookie = session;
    let page = browser.get("/console/sign-in?then=%2Fconsole%2Ftargets");
    assert_eq!(page.header("location"), Some("/console/targets"));
}

/// Guards against losing typed text when the session expires before the form is sent.
#[test]
fn form_fields_are_kept_when_the_session_expires() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    browser.get("/console/customers/new");
    browser.now = browser.now.plus_ms(SESSION_MS);
    let typed = [("name", "foundry-77"), ("requests_per_s", "12")];
    assert_eq!(
        browser.submit("/console/customers/save", &typed).status,
        401
    );
    let typed = [("operator", "asha"), ("secret", "secret of asha")];
    assert_eq!(browser.submit("/console/sign-in", &typed).status, 200);
    assert_eq!(browser.submit("/console/customers/save", &[]).status, 200);
    assert!(browser.page.body.contains("customers/foundry-77"));
    // A post without an `Origin` header may be forged, so none of its fields are kept.
    browser.now = browser.now.plus_ms(SESSION_MS);
    let body = form_inputs(&browser.page.body, "/console/draft");
    let mut request = browser.request(ConsoleMethod::Post, "/console/draft", body);
    request.origin = None;
    assert!(!browser.send(&request).body.contains("foundry-77"));
}

/// Guards against losing typed text when the operator signed in again in another tab, and against accepting such a form
/// without a valid token.
#[test]
fn a_form_of_an_earlier_session_can_be_resubmitted() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    browser.get("/console/customers/edit?name=foundry-12");
    let old = browser.page.clone();
    browser.cookie = Browser::signed_in(console(&store), "karim").cookie;
    browser.page = old.clone();
    let page = browser.submit("/console/customers/save", &[("requests_per_s", "12")]);
    assert_eq!(page.status, 403);
    let kept = form_inputs(&page.body, "/console/customers/save");
    assert_eq!(
        (kept.get("requests_per_s"), kept.get("base_revision")),
        ("12", "1")
    );
    assert_eq!(browser.submit("/console/customers/save", &[]).status, 200);
    let body = form_inputs(&old.body, "/console/customers/save");
    let mut request = browser.request(ConsoleMethod::Post, "/console/customers/save", body);
    request.origin = None;
    assert!(!browser.send(&request).body.contains("requests_per_s"));
}

const ACTIONS: [&str; 9] = [
    "/console/sign-out",
    "/console/targets/save",
    "/console/targets/removed",
    "/console/planned-stops/now/save",
    "/console/draft/undo",
    "/console/publish",
    "/console/rebase",
    "/console/revision/return",
    "/console/document/upload",
];
const POSTED_PAGES: [&str; 6] = [
    "/console",
    "/console/targets",
    "/console/targets/edit",
    "/console/preview",
    "/console/draft",
    "/console/document.json",
];

/// Guards against accepting form posts without a valid token, from other sites or without a session.
#[test]
fn every_post_requires_its_token_and_origin() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    browser.get("/console/weights/edit");
    let session = Session::read(
        browser.cookie.as_deref().unwrap_or(""),
        &key(),
        &operators(),
        NOW,
    );
    let session = session.expect("signed in");
    let foreign = Session::start("karim", [9; 16], NOW);
    for path in ACTIONS.into_iter().chain(POSTED_PAGES) {
        let form = lw_console::answers::Route::parse(path)
            .expect("a route")
            .form();
        let other = if form == FormId::Save {
            FormId::Publish
        } else {
            FormId::Save
        };
        let right = session.token(&key(), form);
        let tokens = [
            String::new(),
            "0".repeat(64),
            session.token(&key(), other),
            foreign.token(&key(), form),
        ];
        for token in &tokens {
            let body = Inputs::default().with("token", token.as_str());
            assert_eq!(browser.post(path, body).status, 403, "{path} {token}");
        }
        assert_eq!(browser.post(path, Inputs::default()).status, 403, "{path}");
        let body = Inputs::default().with("token", right.as_str());
        for origin in ["http://evil.example", "null"] {
            let mut request = browser.request(ConsoleMethod::Post, path, body.clone());
            request.origin = Some(origin.to_owned());
            assert_eq!(browser.send(&request).status, 403, "{path} from {origin}");
        }
        let mut request = browser.request(ConsoleMethod::Post, path, body.clone());
        request.session_cookie = None;
        assert_eq!(
            browser.console_status(&request),
            401,
            "{path} without a session"
        );
        assert_ne!(
            browser.console_status(&browser.request(ConsoleMethod::Post, path, body)),
            403
        );
    }
    for path in ACTIONS {
        assert_eq!(browser.get(path).status, 405, "{path}");
    }
    assert_eq!(store.head().revision, 1);
}

/// Guards against responses that allow framing, content sniffing, caching or scripts.
#[test]
fn every_response_has_the_security_headers() {
    let store = Store::new(sample());
    let mut browser = Browser::signed_in(console(&store), "asha");
    for path in [
        "/console",
        "/console/sign-in",
        "/console/document.json",
        "/nowhere",
        "/console/publish",
    ] {
        let page = browser.get(path);
        let policy = page.header("content-security-policy").unwrap_or("");
        assert!(
            policy.starts_with("default-src 'none'; style-src 'sha256-"),
            "{policy}"
        );
        assert!(
            policy.contains("form-action 'self'; frame-ancestors 'none'"),
            "{policy}"
        );
        assert!(
            !policy.contains("unsafe") && !policy.contains("script"),
            "{policy}"
        );
        assert_eq!(page.header("cache-control"), Some("no-store"));
        assert_eq!(page.header("x-content-type-options"), Some("nosniff"));
        assert!(!page.body.contains("<script") && !page.body.contains(" style="));
    }
}
