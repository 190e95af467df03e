//! Unpublished changes.

use lw_doc::{Change, Digest, Document, apply_changes, changes_between};

use crate::backend::StoredDocument;
use crate::draft::draft_error::DraftError;
use crate::inputs::Inputs;

/// The document format that the console writes.
const FORMAT: u32 = 1;

/// Unpublished changes on top of a published revision. The browser sends them with each form, so any host can handle
/// the next request.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// The revision that the changes apply to.
    pub base_revision: u64,
    /// The digest of the document of the base revision.
    pub base_digest: Digest,
    /// The changes, at most one per entity.
    pub changes: Vec<Change>,
}

impl Draft {
    /// The names of the hidden fields that contain the draft.
    pub const FIELDS: [&'static str; 3] = ["base_revision", "base_digest", "draft"];

    /// Returns a draft without changes.
    #[must_use]
    pub fn empty(base: &StoredDocument) -> Self {
        Self {
            base_revision: base.revision,
            base_digest: base.digest,
            changes: Vec::new(),
        }
    }

    /// Reads the draft from the hidden fields; `None` when the form has none.
    ///
    /// # Errors
    ///
    /// Returns an error when the fields are malformed.
    pub fn read(inputs: &Inputs) -> Result<Option<Self>, DraftError> {
        if !inputs.has("draft") {
            return Ok(None);
        }
        let revision = inputs.get("base_revision").parse();
        let digest = Digest::from_hex(inputs.get("base_digest"));
        let (Ok(base_revision), Some(base_digest)) = (revision, digest) else {
            return Err(DraftError::NoBase);
        };
        let changes = serde_json::from_str(inputs.get("draft")).map_err(|error| {
            let message = error.to_string();
            DraftError::Unreadable { message }
        })?;
        Ok(Some(Self {
            base_revision,
            base_digest,
            changes,
        }))
    }

    /// Returns the hidden fields.
    #[must_use]
    pub fn inputs(&self) -> Inputs {
        // A change contains only names, numbers and text, which always serialize to JSON.
        let changes = serde_json::to_string(&self.changes).unwrap_or_else(|_| "[]".to_owned());
        Inputs::default()
            .with("base_revision", self.base_revision.to_string())
            .with("base_digest", self.base_digest.to_string())
            .with("draft", changes)
    }

    /// Applies the draft to its base document.
    ///
    /// # Errors
    ///
    /// Returns an error when a change cannot be applied to the document.
    pub fn apply(&self, base: &Document) -> Result<Document, DraftError> {
        Ok(apply_changes(base, &self.changes)?)
    }

    /// Returns the draft with one more change; a change that restores the base value is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when a change cannot be applied to the document.
    pub fn with(&self, base: &Document, change: Change) -> Result<Self, DraftError> {
        let before = self.apply(base)?;
        let mut next = apply_changes(&before, &[change])?;
        if next.format == 0 {
            // Before the first revision there is no document to copy the format from, and no form has a field for it.
            next.format = FORMAT;
        }
        Ok(Self {
            changes: changes_between(base, &next),
            ..self.clone()
        })
    }

    /// Returns the draft without the change of one entity.
    #[must_use]
    pub fn without(&self, path: &str) -> Self {
        let mut draft = self.clone();
        draft.changes.retain(|change| change.path != path);
        draft
    }
}
