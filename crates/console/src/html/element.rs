//! HTML elements with attributes.

use crate::html::html_text::{Html, push_escaped};

/// An HTML element; its tag and attribute names are compile-time constants, so they need no escaping.
#[derive(Clone, Debug)]
pub struct Element {
    tag: &'static str,
    attributes: String,
    content: Html,
}

/// Starts an element.
#[must_use]
pub fn element(tag: &'static str) -> Element {
    Element {
        tag,
        attributes: String::new(),
        content: Html::new(),
    }
}

impl Element {
    /// Sets an attribute; the value is escaped.
    #[must_use]
    pub fn attr(mut self, name: &'static str, value: &str) -> Self {
        self.attributes.push(' ');
        self.attributes.push_str(name);
        self.attributes.push_str("=\"");
        push_escaped(&mut self.attributes, value);
        self.attributes.push('"');
        self
    }

    /// Sets an attribute when there is a value.
    #[must_use]
    pub fn attr_if(self, name: &'static str, value: Option<&str>) -> Self {
        match value {
            Some(value) => self.attr(name, value),
            None => self,
        }
    }

    /// Sets an attribute without a value when `on` is true.
    #[must_use]
    pub fn flag(mut self, name: &'static str, on: bool) -> Self {
        if on {
            self.attributes.push(' ');
            self.attributes.push_str(name);
        }
        self
    }

    /// Appends text, escaped.
    #[must_use]
    pub fn text(mut self, text: &str) -> Self {
        self.content = self.content.text(text);
        self
    }

    /// Appends HTML.
    #[must_use]
    pub fn child(mut self, part: impl Into<Html>) -> Self {
        self.content = self.content.child(part);
        self
    }

    /// Appends several pieces of HTML.
    #[must_use]
    pub fn children<T: Into<Html>>(mut self, parts: impl IntoIterator<Item = T>) -> Self {
        self.content = self.content.children(parts);
        self
    }
}

impl From<Element> for Html {
    fn from(element: Element) -> Self {
        let mut html = Self::new();
        html.push_raw("<");
        html.push_raw(element.tag);
        html.push_raw(&element.attributes);
        html.push_raw(">");
        if matches!(element.tag, "input" | "meta" | "br") {
            return html;
        }
        html = html.child(element.content);
        html.push_raw("</");
        html.push_raw(element.tag);
        html.push_raw(">\n");
        html
    }
}
