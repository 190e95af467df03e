//! Operators and their secrets.

use lw_doc::Digest;
use subtle::{Choice, ConstantTimeEq};

/// An operator from the settings.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The name, as recorded in the audit trail.
    pub name: String,
    /// The SHA-256 digest of the secret.
    pub secret_digest: Digest,
}

/// The operators who may sign in.
#[derive(Clone, Debug, Default)]
pub struct Operators(pub Vec<Operator>);

impl Operators {
    /// Returns the operator with this name and secret.
    ///
    /// Runs in constant time: the duration depends neither on the secret nor on which operator matches.
    #[must_use]
    pub fn authenticate(&self, name: &str, secret: &str) -> Option<&Operator> {
        let given_name = Digest::of(name.as_bytes());
        let given_secret = Digest::of(secret.as_bytes());
        let mut found = None;
        for operator in &self.0 {
            let known_name = Digest::of(operator.name.as_bytes());
            let name_matches: Choice = known_name.0.ct_eq(&given_name.0);
            let secret_matches = operator.secret_digest.0.ct_eq(&given_secret.0);
            if (name_matches & secret_matches).into() {
                found = Some(operator);
            }
        }
        found
    }

    pub(crate) fn find(&self, name: &str) -> Option<&Operator> {
        self.0.iter().find(|operator| operator.name == name)
    }
}
