//! The draft of a request, its base revision and the revision in force.

use lw_doc::{Document, Fault, SourceMap, validate};

use crate::answers::console::Console;
use crate::answers::request_context::RequestContext;
use crate::auth::Session;
use crate::backend::StoredDocument;
use crate::draft::{Draft, collisions, field_changes};
use crate::html::Html;
use crate::pages::{ConflictView, View, conflict_page, draft_page, message_page};
use crate::web::{ConsoleRequest, ConsoleResponse};

/// The session, context, draft and documents of one request.
pub(crate) struct Workspace<'a> {
    pub(crate) console: &'a Console,
    pub(crate) session: &'a Session,
    pub(crate) context: RequestContext,
    /// The revision in force.
    pub(crate) head: StoredDocument,
    /// The revision that the draft is based on; `None` when it is no longer stored.
    pub(crate) base: Option<StoredDocument>,
    pub(crate) draft: Draft,
}

impl<'a> Workspace<'a> {
    /// Reads the draft from the form and loads the documents that it needs; returns an error page on failure.
    ///
    /// With `keep_base`, a draft without changes keeps its base revision; otherwise it is based on the head.
    pub(crate) async fn load(
        console: &'a Console,
        session: &'a Session,
        request: &ConsoleRequest,
        context: RequestContext,
        keep_base: bool,
    ) -> Result<Self, ConsoleResponse> {
        let draft = Draft::read(&request.body);
        let head = (console.backend.current)().await;
        let known = draft.as_ref().ok().and_then(Clone::clone);
        let problem = |status, title, message: &str| {
            let draft = known.clone().unwrap_or_else(placeholder_draft);
            let view = View {
                session,
                key: &console.key,
                head_revision: draft.base_revision,
                draft: &draft,
                now: context.now,
            };
            ConsoleResponse::html(status, &message_page(&view, title, message))
        };
        let draft = match &draft {
            Ok(draft) => draft.clone(),
            Err(error) => return Err(problem(400, "The form cannot be read", &error.to_string())),
        };
        let head = head.map_err(|error| {
            let message = format!("The configuration cannot be read: {error}. Try again.");
            problem(503, "Configuration not available", &message)
        })?;
        let draft = draft
            .filter(|draft| keep_base || !draft.changes.is_empty())
            .unwrap_or_else(|| Draft::empty(&head));
        let base = console
            .find_stored(&head, draft.base_revision, draft.base_digest)
            .await;
        let base = base.map_err(|error| {
            let message = format!(
                "The revision that the draft is based on cannot be read: {error}. Try again."
            );
            problem(503, "Configuration not available", &message)
        })?;
        Ok(Self {
            console,
            session,
            context,
            head,
            base,
            draft,
        })
    }

    pub(crate) fn view(&self) -> View<'_> {
        View {
            session: self.session,
            key: &self.console.key,
            draft: &self.draft,
            head_revision: self.head.revision,
            now: self.context.now,
        }
    }

    /// Returns the base document and the document with the draft applied, or an error page.
    pub(crate) fn documents(&self) -> Result<(&Document, Document), ConsoleResponse> {
        let Some(base) = &self.base else {
            return Err(self.conflict());
        };
        match self.draft.apply(&base.document) {
            Ok(next) => Ok((&base.document, next)),
            Err(error) => Err(self.draft_unusable(&error.to_string())),
        }
    }

    pub(crate) fn base_is_outdated(&self) -> bool {
        let base = (self.draft.base_revision, self.draft.base_digest);
        base != (self.head.revision, self.head.digest)
    }

    pub(crate) fn faults(&self, document: &Document) -> Vec<Fault> {
        let addresses = (self.console.backend.gateway_addresses)();
        validate(document, &SourceMap::default(), &addresses)
    }

    pub(crate) fn html(&self, status: u16, html: &Html) -> ConsoleResponse {
        ConsoleResponse::html(status, html)
    }

    pub(crate) fn message(&self, status: u16, title: &str, message: &str) -> ConsoleResponse {
        self.html(status, &message_page(&self.view(), title, message))
    }

    /// Returns the draft page with the reason why the draft cannot be applied to its base.
    pub(crate) fn draft_unusable(&self, message: &str) -> ConsoleResponse {
        let base = self.base.as_ref().map(|base| &*base.document);
        self.html(422, &draft_page(&self.view(), base, &[], Some(message)))
    }

    /// Returns the page that shows what others changed since the base revision.
    pub(crate) fn conflict(&self) -> ConsoleResponse {
        let Some(base) = &self.base else {
            let unknown = ConflictView {
                theirs: None,
                collisions: &[],
            };
            return self.html(409, &conflict_page(&self.view(), unknown));
        };
        let theirs = lw_doc::changes_between(&base.document, &self.head.document);
        let colliding = collisions(&base.document, &theirs, &self.draft.changes);
        let theirs = field_changes(&base.document, &theirs);
        let conflict = ConflictView {
            theirs: Some(&theirs),
            collisions: &colliding,
        };
        self.html(409, &conflict_page(&self.view(), conflict))
    }
}

/// Returns the draft for pages that are shown when neither a draft nor the head is known.
pub(crate) fn placeholder_draft() -> Draft {
    Draft {
        base_revision: 0,
        base_digest: lw_doc::Digest::default(),
        changes: Vec::new(),
    }
}
