//! Updates of the platform's state that hosts send one another.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::earlier_state::EarlierState;
use crate::mirror::{Item, KeyChange, Listing};
use crate::state_version::StateVersion;

/// An update from a host to another host whose mirror is older.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MirrorUpdate {
    /// The changes after the version of the other host's mirror, which has the same era.
    Changes {
        /// The changes, in revision order.
        changes: Vec<KeyChange>,
        /// The mirror contains every change up to this version once the changes are applied.
        as_of: StateVersion,
    },
    /// All keys and values.
    Listing {
        /// The keys and values as the store has them.
        listing: Listing,
        /// The states from before a restore that hold instead of the store's.
        earlier: Vec<EarlierState>,
    },
}

/// The first part of an encoded update. Hosts that know no eras read only this part.
#[derive(Deserialize, Serialize)]
enum WireContent {
    Changes {
        changes: Vec<KeyChange>,
        as_of: u64,
    },
    Listing {
        as_of: u64,
        items: BTreeMap<Arc<str>, Item>,
    },
}

/// The second part of an encoded update.
#[derive(Default, Deserialize, Serialize)]
struct WireTrailer {
    era: u64,
    earlier: Vec<EarlierState>,
}

/// The error of an update that cannot be encoded or decoded.
#[derive(Debug, Error)]
#[error("invalid update of the mirror: {0}")]
pub struct MirrorUpdateError(#[from] postcard::Error);

impl MirrorUpdate {
    /// Encodes the update.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn encode(self) -> Result<Vec<u8>, MirrorUpdateError> {
        let (content, trailer) = match self {
            Self::Changes { changes, as_of } => {
                let revision = as_of.revision;
                let trailer = WireTrailer {
                    era: as_of.era,
                    earlier: Vec::new(),
                };
                let content = WireContent::Changes {
                    changes,
                    as_of: revision,
                };
                (content, trailer)
            }
            Self::Listing { listing, earlier } => {
                let content = WireContent::Listing {
                    as_of: listing.as_of.revision,
                    items: listing.items,
                };
                let era = listing.as_of.era;
                (content, WireTrailer { era, earlier })
            }
        };
        let bytes = postcard::to_stdvec(&content)?;
        Ok(postcard::to_extend(&trailer, bytes)?)
    }

    /// Decodes an update. An update without the second part has era zero.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid update.
    pub fn decode(bytes: &[u8]) -> Result<Self, MirrorUpdateError> {
        let (content, rest) = postcard::take_from_bytes(bytes)?;
        let trailer: WireTrailer = match rest.is_empty() {
            true => WireTrailer::default(),
            false => postcard::from_bytes(rest)?,
        };
        let version = |revision| StateVersion {
            era: trailer.era,
            revision,
        };
        Ok(match content {
            WireContent::Changes { changes, as_of } => Self::Changes {
                changes,
                as_of: version(as_of),
            },
            WireContent::Listing { as_of, items } => {
                let as_of = version(as_of);
                Self::Listing {
                    listing: Listing { as_of, items },
                    earlier: trailer.earlier,
                }
            }
        })
    }
}
