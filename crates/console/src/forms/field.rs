//! Descriptions of form fields.

/// An option of a list field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The value that the form sends.
    pub value: String,
    /// The text that the page shows.
    pub label: String,
}

/// The input type of a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// One line of text.
    Text,
    /// A number, in a text input so that invalid text is not lost.
    Number,
    /// Several values, one per line.
    Lines,
    /// Yes or no.
    Flag,
    /// One option from a list.
    Select(Vec<Choice>),
    /// Any number of options from a list.
    Choices(Vec<Choice>),
}

/// A field of a form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name, which is also the name in the document.
    pub name: &'static str,
    /// The label.
    pub label: &'static str,
    /// What to enter and in which format; may be empty.
    pub hint: &'static str,
    /// The input type.
    pub kind: FieldKind,
}

impl Choice {
    /// Creates a choice whose label is its value.
    #[must_use]
    pub fn of(value: &str) -> Self {
        Self::labelled(value, value)
    }

    /// Creates a choice with a separate label.
    #[must_use]
    pub fn labelled(value: &str, label: &str) -> Self {
        Self {
            value: value.to_owned(),
            label: label.to_owned(),
        }
    }
}

pub(crate) fn field(
    name: &'static str,
    label: &'static str,
    hint: &'static str,
    kind: FieldKind,
) -> Field {
    Field {
        name,
        label,
        hint,
        kind,
    }
}

pub(crate) fn choices<'a>(values: impl IntoIterator<Item = &'a str>) -> Vec<Choice> {
    values.into_iter().map(Choice::of).collect()
}
