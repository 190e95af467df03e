//! Credentials of customers and operators.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// An operator who may use the admin listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name, written to the audit log.
    pub name: String,
    /// The SHA-256 digest of the bearer token.
    pub token_digest: [u8; 32],
}

/// Returns the bearer token of a request.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Returns true when the request has the bearer token with this digest. The comparison takes constant time.
pub(crate) fn has_token(headers: &HeaderMap, digest: &[u8; 32]) -> bool {
    let Some(token) = bearer_token(headers) else {
        return false;
    };
    bool::from(Sha256::digest(token.as_bytes()).as_slice().ct_eq(digest))
}

/// Returns the operator whose token the request has.
///
/// All operators are compared, so that the response time does not reveal which one matched.
pub(crate) fn find_operator<'a>(
    headers: &HeaderMap,
    operators: &'a [Operator],
) -> Option<&'a Operator> {
    let mut found = None;
    for operator in operators {
        if has_token(headers, &operator.token_digest) {
            found = Some(operator);
        }
    }
    found
}
