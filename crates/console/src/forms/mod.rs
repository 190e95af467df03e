//! Forms as pure functions that turn form values into document changes or faults.

mod audit_form;
mod customer_form;
mod entity_form;
mod field;
mod form_fault;
mod model_form;
mod reader;
mod region_form;
mod service_form;
mod stop_form;
mod stop_now_form;
mod submit;
mod target_form;
mod time_text;
mod weights_form;

pub use entity_form::{blank, entity_fields, fill, read_entity};
pub use field::{Choice, Field, FieldKind};
pub use form_fault::FormFault;
pub use stop_now_form::{stop_now_blank, stop_now_fields};
pub use submit::{FormSubmission, SubmitOutcome, submit};
pub(crate) use time_text::show_wall_time;
pub use time_text::{read_time, show_time};
