//! Authenticated messages between hosts.

mod codec;
mod keys;
mod message;
mod network;
mod nng_network;
mod peer_link;
mod refusal;
mod replay;

pub use codec::{Codec, FRAME_BYTES_MAX, FRAME_VERSION, Received};
pub use keys::PeerKeys;
pub use message::{MESSAGE_KINDS, Message};
pub use network::{Network, SendOutcome};
pub use nng_network::NngNetwork;
pub use refusal::{Refusal, RefusalCounts};
