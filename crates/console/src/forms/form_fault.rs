//! Faults of a form.

/// A fault, next to the field that has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormFault {
    /// The field; `None` when the form as a whole has the fault.
    pub field: Option<String>,
    /// What is wrong and what to do.
    pub message: String,
}

impl FormFault {
    pub(crate) fn of(field: &str, message: impl Into<String>) -> Self {
        Self {
            field: Some(field.to_owned()),
            message: message.into(),
        }
    }

    pub(crate) fn of_form(message: impl Into<String>) -> Self {
        Self {
            field: None,
            message: message.into(),
        }
    }
}
