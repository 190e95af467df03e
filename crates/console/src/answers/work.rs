//! What an operator works on: the draft, its base and the revision in force.

use lw_doc::{Document, Fault, SourceMap, validate};

use crate::answers::console::Console;
use crate::answers::request_context::RequestContext;
use crate::auth::Session;
use crate::backend::StoredDocument;
use crate::draft::{Draft, collisions, field_changes};
use crate::html::Html;
use crate::pages::{ConflictView, View, conflict_page, draft_page, message_page};
use crate::web::{ConsoleRequest, ConsoleResponse};

/// The session, time and documents of one request.
pub(crate) struct Work<'a> {
    pub(crate) console: &'a Console,
    pub(crate) session: &'a Session,
    pub(crate) moment: RequestContext,
    /// The revision in force.
    pub(crate) head: StoredDocument,
    /// The document that the draft is based on; `None` when it is not kept any more.
    pub(crate) base: Option<StoredDocument>,
    pub(crate) draft: Draft,
}

impl<'a> Work<'a> {
    /// Reads the draft of the form and the documents that it needs, or answers why that fails.
    pub(crate) async fn load(
        console: &'a Console,
        session: &'a Session,
        request: &ConsoleRequest,
        moment: RequestContext,
        keep_base: bool,
    ) -> Result<Self, ConsoleResponse> {
        let draft = Draft::read(&request.body);
        let head = (console.backend.current)().await;
        let known = draft.as_ref().ok().and_then(Clone::clone);
        let problem = |status, title, message: &str| {
            let draft = known.clone().unwrap_or_else(no_draft);
            let view = View {
                session,
                key: &console.key,
                head_revision: draft.base_revision,
                draft: &draft,
                now: moment.now,
            };
            ConsoleResponse::html(status, &message_page(&view, title, message))
        };
        let draft = match &draft {
            Ok(draft) => draft.clone(),
            Err(error) => return Err(problem(400, "Damaged form", &error.to_string())),
        };
        let head = head.map_err(|error| {
            let message = format!("The configuration cannot be read: {error}. Try again.");
            problem(503, "Configuration not available", &message)
        })?;
        let draft = draft
            .filter(|draft| keep_base || !draft.changes.is_empty())
            .unwrap_or_else(|| Draft::empty(&head));
        let base = console
            .find(&head, draft.base_revision, draft.base_digest)
            .await;
        let base = base.map_err(|error| {
            let message = format!("The base of the draft cannot be read: {error}. Try again.");
            problem(503, "Configuration not available", &message)
        })?;
        Ok(Self {
            console,
            session,
            moment,
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
            now: self.moment.now,
        }
    }

    /// Returns the base and the document with the draft applied, or answers why there is none.
    pub(crate) fn documents(&self) -> Result<(&Document, Document), ConsoleResponse> {
        let Some(base) = &self.base else {
            return Err(self.conflict());
        };
        match self.draft.apply(&base.document) {
            Ok(next) => Ok((&base.document, next)),
            Err(error) => Err(self.unusable(&error.to_string())),
        }
    }

    pub(crate) fn moved(&self) -> bool {
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

    /// Answers with the draft that does not fit its base.
    pub(crate) fn unusable(&self, message: &str) -> ConsoleResponse {
        let base = self.base.as_ref().map(|base| &*base.document);
        self.html(422, &draft_page(&self.view(), base, &[], Some(message)))
    }

    /// Answers with what others changed since the base.
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

pub(crate) fn no_draft() -> Draft {
    Draft {
        base_revision: 0,
        base_digest: lw_doc::Digest::default(),
        changes: Vec::new(),
    }
}
