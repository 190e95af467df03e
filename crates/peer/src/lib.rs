//! Authenticated messages between hosts, and their transport.

mod codec;
mod frame_refusal;
mod message;
mod network;
mod nng_network;
mod peer_keys;
mod peer_link;
mod replay_window;

pub use codec::{Codec, FRAME_BYTES_MAX, FRAME_VERSION, ReceivedMessage};
pub use frame_refusal::{FrameRefusal, FrameRefusalCounts};
pub use message::{MESSAGE_KINDS, Message};
pub use network::{Network, SendOutcome};
pub use nng_network::NngNetwork;
pub use peer_keys::PeerKeys;
