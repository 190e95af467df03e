//! Sessions in signed cookies.

use lw_base::WallMs;
use subtle::ConstantTimeEq;

use crate::auth::form_id::FormId;
use crate::auth::mac::mac_hex;
use crate::auth::operator::Operators;

/// The name of the session cookie.
pub const SESSION_COOKIE: &str = "lacewingstile_console";
/// The name of the cookie of a visitor who has not signed in.
///
/// Browsers omit the session cookie when the user follows a link from another site. The sign-in page shown then must
/// not replace the session cookie, so it uses this one.
pub const VISITOR_COOKIE: &str = "lacewingstile_visitor";
/// The lifetime of a session. It covers one working shift: operators sign in once per shift, and a session left open
/// ends with the shift.
pub const SESSION_MS: u64 = 10 * 60 * 60 * 1000;

/// The key that signs session cookies and form tokens; it must be the same on every host.
#[derive(Clone)]
pub struct SessionKey(pub Vec<u8>);

/// A session; an empty operator name means a visitor who has not signed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The name of the operator.
    pub operator: String,
    /// Distinguishes the sessions of one operator.
    pub nonce: [u8; 16],
    /// When the session ends.
    pub expires: WallMs,
}

impl Session {
    /// Starts a session at `now`.
    #[must_use]
    pub fn start(operator: &str, nonce: [u8; 16], now: WallMs) -> Self {
        Self {
            operator: operator.to_owned(),
            nonce,
            expires: now.plus_ms(SESSION_MS),
        }
    }

    /// Returns true when an operator has signed in.
    #[must_use]
    pub fn signed_in(&self) -> bool {
        !self.operator.is_empty()
    }

    /// Returns the signed cookie value.
    #[must_use]
    pub fn cookie(&self, key: &SessionKey, operators: &Operators) -> String {
        let name = hex::encode(&self.operator);
        let nonce = hex::encode(self.nonce);
        let tag = self.tag(key, operators);
        format!("{name}.{nonce}.{}.{tag}", self.expires.0)
    }

    /// Verifies a cookie; returns `None` when it is malformed, forged or expired, or the operator no longer exists.
    #[must_use]
    pub fn read(
        cookie: &str,
        key: &SessionKey,
        operators: &Operators,
        now: WallMs,
    ) -> Option<Self> {
        let mut parts = cookie.split('.');
        let operator = String::from_utf8(hex::decode(parts.next()?).ok()?).ok()?;
        let mut nonce = [0; 16];
        hex::decode_to_slice(parts.next()?, &mut nonce).ok()?;
        let expires = WallMs(parts.next()?.parse().ok()?);
        let tag = parts.next()?;
        let session = Self {
            operator,
            nonce,
            expires,
        };
        let tag_valid = session.tag(key, operators).as_bytes().ct_eq(tag.as_bytes());
        let operator_valid = !session.signed_in() || operators.find(&session.operator).is_some();
        let no_extra_parts = parts.next().is_none();
        (bool::from(tag_valid) && operator_valid && no_extra_parts && now < expires)
            .then_some(session)
    }

    /// Returns the token of this session for a form.
    #[must_use]
    pub fn token(&self, key: &SessionKey, form: FormId) -> String {
        let expires = self.expires.0.to_be_bytes();
        let operator = self.operator.as_bytes();
        let form = form.name().as_bytes();
        mac_hex(&key.0, &[b"form", operator, &self.nonce, &expires, form])
    }

    /// Returns true when `token` is the token of this session for the form.
    #[must_use]
    pub fn token_valid(&self, key: &SessionKey, form: FormId, token: &str) -> bool {
        let expected = self.token(key, form);
        expected.as_bytes().ct_eq(token.as_bytes()).into()
    }

    /// Returns the signature of the session. It covers the digest of the secret, so changing the secret ends the
    /// sessions of the operator.
    fn tag(&self, key: &SessionKey, operators: &Operators) -> String {
        let expires = self.expires.0.to_be_bytes();
        let known = operators.find(&self.operator);
        let secret = known.map_or([0; 32], |operator| operator.secret_digest.0);
        let operator = self.operator.as_bytes();
        mac_hex(
            &key.0,
            &[b"session", operator, &self.nonce, &expires, &secret],
        )
    }
}
