//! Drafts: lists of changes that operators edit before they publish.

mod collision;
mod draft_changes;
mod draft_error;
mod field_change;
mod rebase;

pub use collision::{Collision, collisions};
pub use draft_changes::Draft;
pub use draft_error::DraftError;
pub use field_change::{FieldChange, field_changes};
pub use rebase::rebase;
