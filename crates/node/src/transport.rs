//! How peer messages travel.

use lw_peer::Network;

/// The transport of peer messages.
pub enum Transport {
    /// nng over TCP, listening on this address; port 0 picks a free port.
    Nng {
        /// The IP address and port to listen on.
        listen: String,
    },
    /// A transport of the caller, who passes received frames to [`crate::Node::on_frame`].
    Attached {
        /// The address by which other hosts reach this one.
        address: String,
        /// The sending side.
        network: Network,
    },
}
