//! The transport of peer messages.

use lw_peer::Network;

/// The transport of peer messages.
pub enum Transport {
    /// nng over TCP.
    Nng {
        /// The IP address and port to listen on, at which other hosts reach this one; port 0 picks a free port.
        listen: String,
    },
    /// A transport that the embedding code provides; it passes received frames to [`crate::Node::on_frame`].
    Custom {
        /// The address at which other hosts reach this one.
        address: String,
        /// The sending half of the transport.
        network: Network,
    },
}
