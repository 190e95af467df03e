//! Signing in and out.

use crate::answers::console::{Console, carried_of, refuse};
use crate::answers::request_context::RequestContext;
use crate::answers::route::Route;
use crate::answers::work::no_draft;
use crate::auth::{FormId, SESSION_COOKIE, SESSION_MS, Session, VISITOR_COOKIE};
use crate::draft::Draft;
use crate::pages::{PendingForm, SignInView, View, resume_page, sign_in_page};
use crate::web::{ConsoleMethod, ConsoleRequest, ConsoleResponse};

/// Answers a request without a session: pages lead to the sign-in, forms are kept until the operator has signed in.
pub(crate) fn ask(
    console: &Console,
    request: &ConsoleRequest,
    moment: RequestContext,
) -> ConsoleResponse {
    let carried = carried_of(request);
    if request.method == ConsoleMethod::Get {
        let query = crate::Inputs::default().with("then", carried.then);
        return ConsoleResponse::redirect(&format!("/console/sign-in?{}", query.encode()));
    }
    let visitor = Session::start("", moment.random, moment.now);
    page(console, &visitor, 401, "", None, &carried)
}

/// Answers the sign-in page and its form.
pub(crate) async fn sign_in(
    console: &Console,
    signed_in: bool,
    request: &ConsoleRequest,
    moment: RequestContext,
) -> ConsoleResponse {
    let visitor = console.session(request.visitor_cookie.as_deref(), moment);
    let visitor = visitor.filter(|session| !session.signed_in());
    if signed_in && request.method == ConsoleMethod::Get {
        return ConsoleResponse::redirect(&PendingForm::read(&request.query).then);
    }
    if request.method == ConsoleMethod::Get {
        let carried = PendingForm {
            then: PendingForm::read(&request.query).then,
            ..PendingForm::default()
        };
        let visitor = visitor.unwrap_or_else(|| Session::start("", moment.random, moment.now));
        return page(console, &visitor, 200, "", None, &carried);
    }
    let token = request.body.get("token");
    let valid = |visitor: &Session| visitor.token_valid(&console.key, FormId::SignIn, token);
    let Some(visitor) = visitor.filter(valid) else {
        let message = "The form is too old. Open the sign-in page again.";
        return refuse(403, "Refused", message);
    };
    check(console, &visitor, request, moment).await
}

async fn check(
    console: &Console,
    visitor: &Session,
    request: &ConsoleRequest,
    moment: RequestContext,
) -> ConsoleResponse {
    let carried = PendingForm::read(&request.body);
    let (name, secret) = (request.body.get("operator"), request.body.get("secret"));
    let wait_ms = console
        .limiter
        .lock()
        .wait_ms(&console.operators, name, moment.now);
    if wait_ms > 0 {
        let wait_s = wait_ms.div_ceil(1000);
        let problem = format!("There were too many failed attempts. Try again in {wait_s} s.");
        let response = page(console, visitor, 429, name, Some(&problem), &carried);
        return response.with("retry-after", wait_s.to_string());
    }
    let Some(operator) = console.operators.authenticate(name, secret) else {
        console
            .limiter
            .lock()
            .record_failure(&console.operators, name, moment.now);
        log::warn!("console: sign-in failed for {name:?}");
        let problem = "Operator name or secret is wrong.";
        return page(console, visitor, 401, name, Some(problem), &carried);
    };
    console.limiter.lock().record_success(name);
    log::info!("console: {name:?} signed in");
    let session = Session::start(&operator.name, moment.random, moment.now);
    let response = match carried.has_fields() {
        true => {
            let message = "You are signed in. What you typed before is kept.";
            resume(console, &session, &carried, moment, (200, message)).await
        }
        false => ConsoleResponse::redirect(&carried.then),
    };
    with_cookie(response, SESSION_COOKIE, console, &session)
}

/// Refuses a form without a valid token.
///
/// A form of an older session, as when the operator signed in again in another tab, is shown for sending again. Without
/// `Origin` the form may come from another site, so nothing of it is shown.
pub(crate) async fn refuse_token(
    console: &Console,
    session: &Session,
    request: &ConsoleRequest,
    moment: RequestContext,
) -> ConsoleResponse {
    let carried = carried_of(request);
    if !carried.has_fields() {
        return refuse(
            403,
            "Refused",
            "The form carries no valid token of your session.",
        );
    }
    let message = "Nothing was done: the form belongs to another session. What you typed is kept.";
    resume(console, session, &carried, moment, (403, message)).await
}

/// Answers with a button that sends the kept form again, now with a valid token.
async fn resume(
    console: &Console,
    session: &Session,
    carried: &PendingForm,
    moment: RequestContext,
    (status, message): (u16, &str),
) -> ConsoleResponse {
    let path = carried.then.split('?').next().unwrap_or("");
    let Some(route) = Route::parse(path) else {
        return ConsoleResponse::redirect("/console");
    };
    let draft = Draft::read(&carried.fields).ok().flatten();
    let head = (console.backend.current)().await;
    let draft = draft.unwrap_or_else(|| head.as_ref().map_or_else(|_| no_draft(), Draft::empty));
    let view = View {
        session,
        key: &console.key,
        draft: &draft,
        head_revision: head.map_or(draft.base_revision, |head| head.revision),
        now: moment.now,
    };
    let html = resume_page(&view, carried, route.form(), message);
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
    carried: &PendingForm,
) -> ConsoleResponse {
    let html = sign_in_page(SignInView {
        session: visitor,
        key: &console.key,
        operator,
        problem,
        carried,
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
