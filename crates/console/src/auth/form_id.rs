//! The kinds of forms that a token is bound to.

/// The form that a token belongs to; a token for one form is rejected by every other form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormId {
    /// Signs in.
    SignIn,
    /// Signs out.
    SignOut,
    /// Opens a page and sends the draft with the request.
    Navigate,
    /// Saves an entity to the draft.
    Save,
    /// Adds the removal of an entity to the draft.
    Remove,
    /// Undoes changes of the draft.
    Undo,
    /// Publishes the draft.
    Publish,
    /// Rebases the draft onto a newer revision, or creates one that rolls back to an earlier revision.
    Rebase,
    /// Uploads a document.
    Upload,
}

impl FormId {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::SignIn => "sign-in",
            Self::SignOut => "sign-out",
            Self::Navigate => "navigate",
            Self::Save => "save",
            Self::Remove => "remove",
            Self::Undo => "undo",
            Self::Publish => "publish",
            Self::Rebase => "rebase",
            Self::Upload => "upload",
        }
    }
}
