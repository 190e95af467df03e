//! Form fields as the browser sent them.

use url::form_urlencoded::{Serializer, parse};

/// Pairs of field name and value in the order of the form; a name may occur several times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inputs(Vec<(String, String)>);

impl Inputs {
    /// Parses URL-encoded fields; bytes that are not UTF-8 become replacement characters.
    #[must_use]
    pub fn parse(encoded: &[u8]) -> Self {
        let pairs = parse(encoded);
        Self(
            pairs
                .map(|(k, v)| (k.into_owned(), v.into_owned()))
                .collect(),
        )
    }

    /// Returns the first value of a field, or an empty string.
    #[must_use]
    pub fn get(&self, name: &str) -> &str {
        let found = self.0.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns true when the field is present.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.0.iter().any(|(key, _)| key == name)
    }

    /// Returns every value of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let found = self.0.iter().filter(move |(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Appends a field.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.push(name, value);
        self
    }

    /// Appends a field.
    pub fn push(&mut self, name: &str, value: impl Into<String>) {
        self.0.push((name.to_owned(), value.into()));
    }

    /// Appends the fields of `other`.
    pub fn extend(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Returns the fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_str()))
    }

    /// Returns the fields in URL-encoded form.
    #[must_use]
    pub fn encode(&self) -> String {
        Serializer::new(String::new())
            .extend_pairs(self.iter())
            .finish()
    }
}
