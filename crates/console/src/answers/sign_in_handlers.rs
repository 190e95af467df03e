//! Handlers for signing in and out.

use crate::answers::console::{Console, error_response, pending_form};
use crate::answers::request_context::RequestContext;
use crate::answers::route::Route;
use crate::answers::workspace::placeholder_draft;
use crate::auth::{FormId, SESSION_COOKIE, SESSION_MS, Session, VISITOR_COOKIE};
use crate::draft::Draft;
use crate::pages::{PendingForm, SignInView, View, resume_page, sign_in_page};
use crate::web::{ConsoleMethod, ConsoleRequest, ConsoleResponse};

/// Responds to a request without a session: redirects a GET request to the sign-in page, and keeps the fields of a form
/// post until the operator has signed in.
pub(crate) fn require_sign_in(
    console: &Console,
    request: &ConsoleRequest,
    context: RequestContext,
) -> ConsoleResponse {
    let pending = pending_form(request);
    if request.method == ConsoleMethod::Get {
        let query = crate::Inputs::default().with("then", pending.return_path);
        return ConsoleResponse::redirect(&format!("/console/sign-in?{}", query.encode()));
    }
    let visitor = Session::start("", context.random, context.now);
    page(console, &visitor, 401, "", None, &pending)
}

/// Returns the sign-in page and handles its form.
pub(crate) async fn sign_in(
    console: &Console,
    signed_in: bool,
    request: &ConsoleRequest,
    context: RequestContext,
) -> ConsoleResponse {
    let visitor = console.session(request.visitor_cookie.as_deref(), context);
    let visitor = visitor.filter(|session| !session.signed_in());
    if signed_in && request.method == ConsoleMethod::Get {
        return ConsoleResponse::redirect(&PendingForm::read(&request.query).return_path);
    }
    if request.method == ConsoleMethod::Get {
        let pending = PendingForm {
            return_path: PendingForm::read(&request.query).return_path,
            ..PendingForm::default()
        };
        let visitor = visitor.unwrap_or_else(|| Session::start("", context.random, context.now));
        return page(console, &visitor, 200, "", None, &pending);
    }
    let token = request.body.get("token");
    let valid = |visitor: &Session| visitor.token_valid(&console.key, FormId::SignIn, token);
    let Some(visitor) = visitor.filter(valid) else {
        let message = "The sign-in form has expired or is not valid. Open the sign-in page again.";
        return error_response(403, "Refused", message);
    };
    check_credentials(console, &visitor, request, context).await
}

async fn check_credentials(
    console: &Console,
    visitor: &Session,
    request: &ConsoleRequest,
    context: RequestContext,
) -> ConsoleResponse {
    let pending = PendingForm::read(&request.body);
    let (name, secret) = (request.body.get("operator"), request.body.get("secret"));
    let wait_ms = console
        .limiter
        .lock()
        .wait_ms(&console.operators, name, context.now);
    if wait_ms > 0 {
        let wait_s = wait_ms.div_ceil(1000);
        let problem =
            format!("There were too many failed sign-in attempts. Try again in {wait_s} s.");
        let response = page(console, visitor, 429, name, Some(&problem), &pending);
        return response.with("retry-after", wait_s.to_string());
    }
    let Some(operator) = console.operators.authenticate(name, secret) else {
        console
            .limiter
            .lock()
            .record_failure(&console.operators, name, context.now);
        log::warn!("console: sign-in failed for {name:?}");
        let problem = "The operator name or the secret is wrong. Check both and try again.";
        return page(console, visitor, 401, name, Some(problem), &pending);
    };
    console.limiter.lock().record_success(name);
    log::info!("console: {name:?} signed in");
    let session = Session::start(&operator.name, context.random, context.now);
    let response = match pending.has_fields() {
        true => {
            let message = "You are signed in. What you typed before is kept; continue below.";
            resume(console, &session, &pending, context, (200, message)).await
        }
        false => ConsoleResponse::redirect(&pending.return_path),
    };
    with_cookie(response, SESSION_COOKIE, console, &session)
}

/// Rejects a form post without a valid token.
///
/// The page lets the operator resubmit a form of an earlier session, for example after a new sign-in in another tab. A
/// post without an `Origin` header may come from another site, so none of its fields are shown.
pub(crate) async fn reject_token(
    console: &Console,
    session: &Session,
    request: &ConsoleRequest,
    context: RequestContext,
) -> ConsoleResponse {
    let pending = pending_form(request);
    if !pending.has_fields() {
        return error_response(
            403,
            "Refused",
            "The form does not belong to your session, and nothing was done. Open the page again and send the form once more.",
        );
    }
    let message = "Nothing was done because the form belongs to another session. What you typed is kept; continue below to send it again.";
    resume(console, session, &pending, context, (403, message)).await
}

/// Returns a page with a button that resubmits the kept fields with a valid token.
async fn resume(
    console: &Console,
    session: &Session,
    pending: &PendingForm,
    context: RequestContext,
    (status, message): (u16, &str),
) -> ConsoleResponse {
    let path = pending.return_path.split('?').next().unwrap_or("");
    let Some(route) = Route::parse(path) else {
        return ConsoleResponse::redirect("/console");
    };
    let draft = Draft::read(&pending.fields).ok().flatten();
    let head = (console.backend.current)().await;
    let draft = draft.unwrap_or_else(|| {
        head.as_ref()
            .map_or_else(|_| placeholder_draft(), Draft::empty)
    });
    let view = View {
        session,
        key: &console.key,
        draft: &draft,
        head_revision: head.map_or(draft.base_revision, |head| head.revision),
        now: context.now,
    };
    let html = resume_page(&view, pending, route.form(), message);
    ConsoleResponse::html(status, &html)
}

/// Ends the session in this browser.
pub(crate) fn sign_out() -> ConsoleResponse {
    let cookie = format!("{SESSION_COOKIE}=; Path=/console; HttpOnly; SameSite=Strict; Max-Age=0");
    ConsoleResponse::redirect("/console/sign-in").with("set-cookie", cookie)
}

fn page(
    console: &Console,
    visitor: &Session,
    status: u16,
    operator: &str,
    problem: Option<&str>,
    pending: &PendingForm,
) -> ConsoleResponse {
    let html = sign_in_page(SignInView {
        session: visitor,
        key: &console.key,
        operator,
        problem,
        pending,
    });
    let response = ConsoleResponse::html(status, &html);
    with_cookie(response, VISITOR_COOKIE, console, visitor)
}

fn with_cookie(
    response: ConsoleResponse,
    name: &str,
    console: &Console,
    session: &Session,
) -> ConsoleResponse {
    let value = session.cookie(&console.key, &console.operators);
    let max_age_s = SESSION_MS / 1000;
    let cookie =
        format!("{name}={value}; Path=/console; HttpOnly; SameSite=Strict; Max-Age={max_age_s}");
    response.with("set-cookie", cookie)
}
