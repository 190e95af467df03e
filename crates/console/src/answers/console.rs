//! Request dispatch of the console.

use lw_doc::Digest;
use parking_lot::Mutex;

use crate::answers::request_context::RequestContext;
use crate::answers::route::Route;
use crate::answers::workspace::Workspace;
use crate::answers::{
    document_handlers, entity_handlers, history_handlers, publish_handlers, sign_in_handlers,
};
use crate::auth::{Operators, Session, SessionKey, SignInLimiter, origin_allowed};
use crate::backend::{Backend, BackendError, StoredDocument};
use crate::html::Html;
use crate::pages::{OverviewView, PendingForm, overview_page};
use crate::web::{ConsoleMethod, ConsoleRequest, ConsoleResponse};

/// Handles console requests. The only state it keeps between requests is the count of failed sign-ins.
pub struct Console {
    pub(crate) operators: Operators,
    pub(crate) key: SessionKey,
    pub(crate) backend: Backend,
    pub(crate) limiter: Mutex<SignInLimiter>,
}

impl Console {
    /// Creates a console. Every host must have the same operators and key, since any host may receive the next request.
    #[must_use]
    pub fn new(operators: Operators, key: SessionKey, backend: Backend) -> Self {
        Self {
            operators,
            key,
            backend,
            limiter: Mutex::default(),
        }
    }

    /// Checks the origin, session and token of a request and returns the response of its route.
    pub async fn answer(
        &self,
        request: &ConsoleRequest,
        context: RequestContext,
    ) -> ConsoleResponse {
        let post = request.method == ConsoleMethod::Post;
        let Some(route) = Route::parse(&request.path) else {
            return error_response(
                404,
                "Not found",
                "There is no page at this address. Check the address, or go to the overview.",
            );
        };
        if post && !self.origin_allowed(request) {
            log::warn!(
                "console: rejected a form post from another site, origin {:?}",
                request.origin
            );
            let message = "The form was sent from a page of another site and was not processed. Open the console and fill in the form there.";
            return error_response(403, "Refused", message);
        }
        let session = self.session(request.session_cookie.as_deref(), context);
        let session = session.filter(Session::signed_in);
        if route == Route::SignIn {
            return sign_in_handlers::sign_in(self, session.is_some(), request, context).await;
        }
        let Some(session) = session else {
            return sign_in_handlers::require_sign_in(self, request, context);
        };
        if post && !session.token_valid(&self.key, route.form(), request.body.get("token")) {
            log::warn!(
                "console: rejected a form post without a valid token from {:?}",
                session.operator
            );
            return sign_in_handlers::reject_token(self, &session, request, context).await;
        }
        if !post && route.is_action() {
            return error_response(
                405,
                "Not a page",
                "This address only accepts submitted forms. Go to the overview and open the page from there.",
            );
        }
        if route == Route::SignOut {
            return sign_in_handlers::sign_out();
        }
        self.answer_route(route, &session, request, context).await
    }

    async fn answer_route(
        &self,
        route: Route,
        session: &Session,
        request: &ConsoleRequest,
        context: RequestContext,
    ) -> ConsoleResponse {
        let keep_base = matches!(
            route,
            Route::Save(_) | Route::SaveStopNow | Route::RemoveEntity(_) | Route::Publish
        );
        let workspace = match Workspace::load(self, session, request, context, keep_base).await {
            Ok(workspace) => workspace,
            Err(response) => return response,
        };
        match route {
            Route::Overview | Route::SignIn | Route::SignOut => overview(&workspace, request),
            Route::List(section) => entity_handlers::list(&workspace, request, section),
            Route::New(section) => entity_handlers::new(&workspace, request, section),
            Route::Edit(section) => entity_handlers::edit(&workspace, request, section),
            Route::Save(section) => entity_handlers::save(&workspace, request, section, false),
            Route::ConfirmRemoval(section) => {
                entity_handlers::confirm_removal(&workspace, request, section)
            }
            Route::RemoveEntity(section) => entity_handlers::remove(&workspace, request, section),
            Route::StopNow => entity_handlers::stop_now(&workspace),
            Route::SaveStopNow => {
                entity_handlers::save(&workspace, request, crate::Section::PlannedStops, true)
            }
            Route::Draft => publish_handlers::draft(&workspace),
            Route::Undo => publish_handlers::undo(workspace, request),
            Route::Discard => publish_handlers::discard(workspace),
            Route::Preview => publish_handlers::preview(&workspace),
            Route::Publish => publish_handlers::publish(workspace, request).await,
            Route::Rebase => publish_handlers::rebase_on_head(workspace),
            Route::Audit => history_handlers::audit(&workspace, request).await,
            Route::Revisions => history_handlers::revisions(&workspace, request).await,
            Route::Revision => history_handlers::revision(&workspace, request).await,
            Route::Rollback => history_handlers::roll_back(workspace, request).await,
            Route::Document => document_handlers::page(&workspace),
            Route::Download => document_handlers::download(&workspace),
            Route::Upload => document_handlers::upload(workspace, request).await,
        }
    }

    /// Returns the revision with this number and digest; `None` when it is no longer stored.
    ///
    /// Reads from the store only when the revision is not `head`.
    pub(crate) async fn find_stored(
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

    pub(crate) fn session(&self, cookie: Option<&str>, context: RequestContext) -> Option<Session> {
        Session::read(cookie?, &self.key, &self.operators, context.now)
    }

    fn origin_allowed(&self, request: &ConsoleRequest) -> bool {
        origin_allowed(
            request.origin.as_deref(),
            request.fetch_site.as_deref(),
            request.host.as_deref(),
        )
    }
}

fn overview(workspace: &Workspace<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    let status = (workspace.console.backend.status)();
    let digest = workspace.head.digest.to_string();
    let overview = OverviewView {
        document: &workspace.head.document,
        digest: &digest,
        status: &status,
        published: request.query.get("published").parse().ok(),
    };
    workspace.html(200, &overview_page(&workspace.view(), overview))
}

/// Returns an error page that needs no session.
pub(crate) fn error_response(status: u16, title: &str, message: &str) -> ConsoleResponse {
    let html: Html = crate::pages::plain_page(title, message);
    ConsoleResponse::html(status, &html)
}

/// Returns the part of a request to resume after the operator has signed in.
///
/// A post without an `Origin` header may come from another site, so none of its fields are kept.
pub(crate) fn pending_form(request: &ConsoleRequest) -> PendingForm {
    match (request.method, &request.origin) {
        (ConsoleMethod::Post, Some(_)) => {
            PendingForm::from_post(&request.path_and_query(), &request.body)
        }
        (ConsoleMethod::Post, None) => PendingForm::default(),
        (ConsoleMethod::Get, _) => PendingForm {
            return_path: request.path_and_query(),
            ..PendingForm::default()
        },
    }
}
