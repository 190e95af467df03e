//! Pages as pure functions from data to HTML.

mod audit_page;
mod conflict_page;
mod document_page;
mod draft_page;
mod entity_page;
mod fault_list;
mod field_html;
mod layout;
mod list_page;
mod message_page;
mod overview_page;
mod pending_form;
mod preview_page;
mod remove_page;
mod revision_page;
mod sign_in_page;
mod table;
mod value_text;
mod view;

pub use audit_page::audit_page;
pub use conflict_page::{ConflictView, conflict_page};
pub use document_page::{DocumentFaults, document_page};
pub use draft_page::draft_page;
pub use entity_page::{EntityView, entity_page};
pub use list_page::{ListQuery, list_page};
pub use message_page::{message_page, plain_page, resume_page};
pub use overview_page::{OverviewView, overview_page};
pub use pending_form::PendingForm;
pub use preview_page::{PreviewView, preview_page};
pub use remove_page::remove_page;
pub use revision_page::{revision_page, revisions_page};
pub use sign_in_page::{SignInView, sign_in_page};
pub use view::View;
