//! Descriptions of form fields.

/// A choice of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The value that is sent.
    pub value: String,
    /// The text that is shown.
    pub label: String,
}

/// How a field is entered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// One line of text.
    Text,
    /// A number; it is typed as text, so that the typed characters survive a mistake.
    Number,
    /// Several values, one a line.
    Lines,
    /// Yes or no.
    Flag,
    /// One choice of a list.
    Select(Vec<Choice>),
    /// Any number of choices.
    Choices(Vec<Choice>),
}

/// A field of a form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name, which is also the name in the document.
    pub name: &'static str,
    /// The label.
    pub label: &'static str,
    /// What to write, with the format; may be empty.
    pub hint: &'static str,
    /// How it is entered.
    pub kind: FieldKind,
}

impl Choice {
    /// Returns a choice whose text is its value.
    #[must_use]
    pub fn of(value: &str) -> Self {
        Self::labelled(value, value)
    }

    /// Returns a choice with a text of its own.
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
