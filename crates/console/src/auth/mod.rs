//! Sign-in, sessions, form tokens and the origin check. Sessions live in signed cookies; hosts store none.

mod form_id;
mod mac;
mod operator;
mod origin;
mod session;
mod sign_in_limiter;

pub use form_id::FormId;
pub use operator::{Operator, Operators};
pub use origin::origin_allowed;
pub use session::{SESSION_COOKIE, SESSION_MS, Session, SessionKey, VISITOR_COOKIE};
pub use sign_in_limiter::SignInLimiter;
