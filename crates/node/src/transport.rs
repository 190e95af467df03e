//! How peer messages travel.

use lw_peer::Network;

/// The transport of peer messages.
pub enum Transport {
    /// nng over TCP.
    Nng {
        /// The IP address and port to listen on, by which other hosts reach this one; port 0 picks a free port.
        listen: String,
    },
    /// A transport of the caller, who passes received frames to [`crate::Node::on_frame`].
    Custom {
        /// The address by which other hosts reach this one.
        address: String,
        /// The sending side.
        network: Network,
    },
}
