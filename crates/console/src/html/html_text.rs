//! Escaped HTML.

/// An HTML fragment.
///
/// It can be built only from elements with constant names and from text, which is escaped when it is added.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Html(String);

impl Html {
    /// Returns an empty fragment.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends text, escaped.
    #[must_use]
    pub fn text(mut self, text: &str) -> Self {
        push_escaped(&mut self.0, text);
        self
    }

    /// Appends HTML.
    #[must_use]
    pub fn child(mut self, part: impl Into<Self>) -> Self {
        self.0.push_str(&part.into().0);
        self
    }

    /// Appends several HTML fragments.
    #[must_use]
    pub fn children<T: Into<Self>>(mut self, parts: impl IntoIterator<Item = T>) -> Self {
        for part in parts {
            self.0.push_str(&part.into().0);
        }
        self
    }

    /// Returns the HTML text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns a complete HTML document with `root` as its only element.
    pub(crate) fn document(root: impl Into<Self>) -> Self {
        Self("<!DOCTYPE html>\n".to_owned()).child(root)
    }

    /// Returns an inline style sheet; HTML does not allow escapes in its text.
    pub(crate) fn style_sheet(css: &'static str) -> Self {
        Self(format!("<style>{css}</style>"))
    }

    pub(crate) fn push_raw(&mut self, markup: &str) {
        self.0.push_str(markup);
    }
}

/// Appends `text`, escaped so that it can neither be markup nor end a quoted attribute.
pub(crate) fn push_escaped(out: &mut String, text: &str) {
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            '\'' => out.push_str("&#39;"),
            '\n' | '\t' => out.push(c),
            // Browsers normalize a bare carriage return, so it is written as a character reference.
            '\r' => out.push_str("&#13;"),
            c if c.is_control() => out.push(char::REPLACEMENT_CHARACTER),
            c => out.push(c),
        }
    }
}
