//! The console.

use lw_doc::Digest;
use parking_lot::Mutex;

use crate::answers::request_context::RequestContext;
use crate::answers::route::Route;
use crate::answers::work::Work;
use crate::answers::{
    document_answers, entity_answers, history_answers, publish_answers, sign_in_answers,
};
use crate::auth::{Operators, Session, SessionKey, SignInLimiter, origin_allowed};
use crate::backend::{Backend, BackendError, StoredDocument};
use crate::html::Html;
use crate::pages::{OverviewView, PendingForm, overview_page};
use crate::web::{ConsoleMethod, ConsoleRequest, ConsoleResponse};

/// The console; it keeps nothing but the counts of failed sign-ins.
pub struct Console {
    pub(crate) operators: Operators,
    pub(crate) key: SessionKey,
    pub(crate) backend: Backend,
    pub(crate) limiter: Mutex<SignInLimiter>,
}

impl Console {
    /// Returns a console; every host must have the same operators and key.
    #[must_use]
    pub fn new(operators: Operators, key: SessionKey, backend: Backend) -> Self {
        Self {
            operators,
            key,
            backend,
            limiter: Mutex::default(),
        }
    }

    /// Answers a request.
    pub async fn answer(
        &self,
        request: &ConsoleRequest,
        moment: RequestContext,
    ) -> ConsoleResponse {
        let post = request.method == ConsoleMethod::Post;
        let Some(route) = Route::parse(&request.path) else {
            return refuse(404, "Not found", "There is no such page.");
        };
        if post && !self.origin_allowed(request) {
            log::warn!("console: refused a form of the origin {:?}", request.origin);
            let message = "The form was sent by a page of another site.";
            return refuse(403, "Refused", message);
        }
        let session = self.session(request.session_cookie.as_deref(), moment);
        let session = session.filter(Session::signed_in);
        if route == Route::SignIn {
            return sign_in_answers::sign_in(self, session.is_some(), request, moment).await;
        }
        let Some(session) = session else {
            return sign_in_answers::ask(self, request, moment);
        };
        if post && !session.token_valid(&self.key, route.form(), request.body.get("token")) {
            log::warn!(
                "console: refused a form without a valid token of {:?}",
                session.operator
            );
            return sign_in_answers::refuse_token(self, &session, request, moment).await;
        }
        if !post && route.is_action() {
            return refuse(405, "Not a page", "This address only takes forms.");
        }
        if route == Route::SignOut {
            return sign_in_answers::sign_out();
        }
        self.answer_route(route, &session, request, moment).await
    }

    async fn answer_route(
        &self,
        route: Route,
        session: &Session,
        request: &ConsoleRequest,
        moment: RequestContext,
    ) -> ConsoleResponse {
        let keep_base = matches!(
            route,
            Route::Save(_) | Route::SaveStopNow | Route::RemoveEntity(_) | Route::Publish
        );
        let work = match Work::load(self, session, request, moment, keep_base).await {
            Ok(work) => work,
            Err(response) => return response,
        };
        match route {
            Route::Overview | Route::SignIn | Route::SignOut => overview(&work, request),
            Route::List(section) => entity_answers::list(&work, request, section),
            Route::New(section) => entity_answers::new(&work, request, section),
            Route::Edit(section) => entity_answers::edit(&work, request, section),
            Route::Save(section) => entity_answers::save(&work, request, section, false),
            Route::ConfirmRemoval(section) => entity_answers::ask_removal(&work, request, section),
            Route::RemoveEntity(section) => entity_answers::remove(&work, request, section),
            Route::StopNow => entity_answers::stop_now(&work),
            Route::SaveStopNow => {
                entity_answers::save(&work, request, crate::Section::PlannedStops, true)
            }
            Route::Draft => publish_answers::draft(&work),
            Route::Undo => publish_answers::undo(work, request),
            Route::Discard => publish_answers::discard(work),
            Route::Preview => publish_answers::preview(&work),
            Route::Publish => publish_answers::publish(work, request).await,
            Route::Rebase => publish_answers::rebase_draft(work),
            Route::Audit => history_answers::audit(&work, request).await,
            Route::Revisions => history_answers::revisions(&work, request).await,
            Route::Revision => history_answers::revision(&work, request).await,
            Route::Rollback => history_answers::return_to(work, request).await,
            Route::Document => document_answers::page(&work),
            Route::Download => document_answers::download(&work),
            Route::Upload => document_answers::upload(work, request).await,
        }
    }

    /// Returns a revision with a known digest, from the head when that is it; `None` when it is not kept any more.
    pub(crate) async fn find(
        &self,
        head: &StoredDocument,
        revision: u64,
        digest: Digest,
    ) -> Result<Option<StoredDocument>, BackendError> {
        if (head.revision, head.digest) == (revision, digest) {
            return Ok(Some(head.clone()));
        }
        let found = (self.backend.revision)(revision).await?;
        Ok(found.filter(|found| found.digest == digest))
    }

    pub(crate) fn session(&self, cookie: Option<&str>, moment: RequestContext) -> Option<Session> {
        Session::read(cookie?, &self.key, &self.operators, moment.now)
    }

    fn origin_allowed(&self, request: &ConsoleRequest) -> bool {
        origin_allowed(
            request.origin.as_deref(),
            request.fetch_site.as_deref(),
            request.host.as_deref(),
        )
    }
}

fn overview(work: &Work<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    let status = (work.console.backend.status)();
    let digest = work.head.digest.to_string();
    let overview = OverviewView {
        document: &work.head.document,
        digest: &digest,
        status: &status,
        published: request.query.get("published").parse().ok(),
    };
    work.html(200, &overview_page(&work.view(), overview))
}

/// Answers with a page that needs no session.
pub(crate) fn refuse(status: u16, title: &str, message: &str) -> ConsoleResponse {
    let html: Html = crate::pages::plain_page(title, message);
    ConsoleResponse::html(status, &html)
}

/// Returns what is kept of a form post until the operator has signed in.
///
/// A post without `Origin` may come from another site, so nothing of it is kept.
pub(crate) fn carried_of(request: &ConsoleRequest) -> PendingForm {
    match (request.method, &request.origin) {
        (ConsoleMethod::Post, Some(_)) => {
            PendingForm::from_post(&request.path_and_query(), &request.body)
        }
        (ConsoleMethod::Post, None) => PendingForm::default(),
        (ConsoleMethod::Get, _) => PendingForm {
            then: request.path_and_query(),
            ..PendingForm::default()
        },
    }
}
