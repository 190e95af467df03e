//! Keys of prompt parts and of whole requests.

use std::fmt::{Display, Formatter};
use std::num::ParseIntError;
use std::str::FromStr;

use lw_base::{stable_hash, stable_hash_pair};
use serde::{Deserialize, Serialize};

/// The hash of a prompt part's id, or of the content of a whole request. It is the same on every host and wherever the part
/// stands in a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey(u64);

impl PartKey {
    /// Returns the key of the part with this id.
    #[must_use]
    pub fn of_id(id: &[u8]) -> Self {
        Self(stable_hash(id))
    }

    /// Returns the key of the request with these fields, such as its method, path, caller and body.
    #[must_use]
    pub fn of_request<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let fields = fields.into_iter();
        Self(fields.fold(0, stable_hash_pair))
    }
}

impl Display for PartKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for PartKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
