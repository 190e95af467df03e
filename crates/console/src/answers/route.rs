//! URL routes of the console.

use crate::auth::FormId;
use crate::section::Section;

/// A page or an action of the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The overview.
    Overview,
    /// The sign-in page and its form.
    SignIn,
    /// Ends the session.
    SignOut,
    /// The list of a section.
    List(Section),
    /// The form for a new entity.
    New(Section),
    /// The form of an existing entity.
    Edit(Section),
    /// Saves an entity to the draft.
    Save(Section),
    /// The page that asks for confirmation before an entity is removed.
    ConfirmRemoval(Section),
    /// Adds the removal of an entity to the draft.
    RemoveEntity(Section),
    /// The form that starts a planned stop now.
    StopNow,
    /// Saves a planned stop that starts now to the draft.
    SaveStopNow,
    /// The draft.
    Draft,
    /// Undoes one change of the draft.
    Undo,
    /// Discards the draft.
    Discard,
    /// The preview of the draft.
    Preview,
    /// Publishes the draft.
    Publish,
    /// Rebases the draft onto the revision in force.
    Rebase,
    /// The audit trail.
    Audit,
    /// The list of revisions.
    Revisions,
    /// One revision.
    Revision,
    /// Creates a draft that rolls back to an earlier revision.
    Rollback,
    /// The page for download and upload of the document.
    Document,
    /// Downloads the document as a file.
    Download,
    /// Uploads a document.
    Upload,
}

impl Route {
    /// Parses a URL path; returns `None` for an unknown path.
    #[must_use]
    pub fn parse(path: &str) -> Option<Self> {
        let rest = path.strip_prefix("/console")?;
        let rest = rest.strip_suffix('/').unwrap_or(rest);
        Some(match rest {
            "" => Self::Overview,
            "/sign-in" => Self::SignIn,
            "/sign-out" => Self::SignOut,
            "/planned-stops/now" => Self::StopNow,
            "/planned-stops/now/save" => Self::SaveStopNow,
            "/draft" => Self::Draft,
            "/draft/undo" => Self::Undo,
            "/draft/discard" => Self::Discard,
            "/preview" => Self::Preview,
            "/publish" => Self::Publish,
            "/rebase" => Self::Rebase,
            "/audit" => Self::Audit,
            "/revisions" => Self::Revisions,
            "/revision" => Self::Revision,
            "/revision/return" => Self::Rollback,
            "/document" => Self::Document,
            "/document.json" => Self::Download,
            "/document/upload" => Self::Upload,
            _ => return Self::parse_section(rest.strip_prefix('/')?),
        })
    }

    fn parse_section(rest: &str) -> Option<Self> {
        let (slug, action) = rest.split_once('/').unwrap_or((rest, ""));
        let section = Section::from_slug(slug)?;
        match action {
            "" => Some(Self::List(section)),
            "edit" => Some(Self::Edit(section)),
            "save" => Some(Self::Save(section)),
            "new" if section.has_names() => Some(Self::New(section)),
            "remove" if section.has_names() => Some(Self::ConfirmRemoval(section)),
            "removed" if section.has_names() => Some(Self::RemoveEntity(section)),
            _ => None,
        }
    }

    /// Returns the form whose token a post to this route must contain.
    #[must_use]
    pub fn form(self) -> FormId {
        match self {
            Self::SignIn => FormId::SignIn,
            Self::SignOut => FormId::SignOut,
            Self::Save(_) | Self::SaveStopNow => FormId::Save,
            Self::RemoveEntity(_) => FormId::Remove,
            Self::Undo | Self::Discard => FormId::Undo,
            Self::Publish => FormId::Publish,
            Self::Rebase | Self::Rollback => FormId::Rebase,
            Self::Upload => FormId::Upload,
            Self::Overview
            | Self::List(_)
            | Self::New(_)
            | Self::Edit(_)
            | Self::ConfirmRemoval(_)
            | Self::StopNow
            | Self::Draft
            | Self::Preview
            | Self::Audit
            | Self::Revisions
            | Self::Revision
            | Self::Document
            | Self::Download => FormId::Navigate,
        }
    }

    /// Returns true when the route only accepts POST requests.
    #[must_use]
    pub fn is_action(self) -> bool {
        self.form() != FormId::Navigate && self != Self::SignIn
    }
}
