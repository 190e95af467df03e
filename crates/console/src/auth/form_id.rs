//! Kinds of form posts that a token is bound to.

/// The form that a token belongs to; a token of one form is refused by every other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormId {
    /// Signing in.
    SignIn,
    /// Signing out.
    SignOut,
    /// Opening a page together with the draft.
    Navigate,
    /// Keeping an entity in the draft.
    Save,
    /// Removing an entity in the draft.
    Remove,
    /// Undoing changes of the draft.
    Undo,
    /// Publishing the draft.
    Publish,
    /// Applying the draft to a newer revision.
    Rebase,
    /// Reading a document from a file.
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
