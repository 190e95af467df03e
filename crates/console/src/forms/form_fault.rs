//! Validation faults of a form.

/// A validation fault and the field that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormFault {
    /// The name of the field; `None` when the fault belongs to the whole form.
    pub field: Option<String>,
    /// What is wrong and what to do.
    pub message: String,
}

impl FormFault {
    pub(crate) fn for_field(field: &str, message: impl Into<String>) -> Self {
        Self {
            field: Some(field.to_owned()),
            message: message.into(),
        }
    }

    pub(crate) fn for_form(message: impl Into<String>) -> Self {
        Self {
            field: None,
            message: message.into(),
        }
    }
}
