//! Bytes of the membership protocol per node, by region size.
//!
//! Frames are measured. Their number follows the schedule of design 5.8: each node sends one probe a second and is
//! probed once a second on average, and each probe is acknowledged.

use lw_base::WallMs;
use lw_member::{Beat, MemberMessage, MemberState, UPDATES_PER_MESSAGE, Update};
use lw_peer::Message;

use crate::slopes::slope::Slope;
use crate::slopes::target::{host_name, largest_region};
use crate::slopes::wire::Wire;

/// Region sizes of the measurement.
const SIZES: [usize; 4] = [2, 8, 22, 40];
/// Frames per node and second: a probe and an acknowledgement sent, and both received.
const FRAMES_PER_S: f64 = 4.0;

pub(crate) fn measure() -> Vec<Slope> {
    let wire = Wire::new();
    let quiet = SIZES.map(|size| (size as f64, FRAMES_PER_S * probe(&wire, 0)));
    let full = SIZES.map(|size| {
        let updates = size.min(UPDATES_PER_MESSAGE);
        (size as f64, FRAMES_PER_S * probe(&wire, updates))
    });
    let largest = largest_region() as f64;
    let slope = |id, what, points: [(f64, f64); 4]| {
        Slope::new(id, what, "bytes/s", "nodes of the region", points, largest)
    };
    vec![
        slope(
            "member.quiet_bytes_per_s",
            "probes and acknowledgements sent and received, without news",
            quiet,
        ),
        slope(
            "member.full_bytes_per_s",
            "the same with as many member updates as a message carries",
            full,
        ),
    ]
}

fn probe(wire: &Wire, updates: usize) -> f64 {
    let beat = Beat {
        nonce: u64::MAX / 3,
        wall: WallMs(1_800_000_000_000),
        conf_revision: 26_000_000,
        map_revision: 100_000,
        updates: (0..updates).map(update).collect(),
    };
    let frame = Message::Member(MemberMessage::ProbeAck {
        beat,
        evidence: true,
    });
    wire.bytes(&frame) as f64
}

fn update(number: usize) -> Update {
    Update {
        host: host_name(44, number).into(),
        zone: "zone-112".into(),
        address: "10.244.112.207:7443".into(),
        incarnation: 1_800_000_000_000,
        refutation: 300,
        state: MemberState::Alive,
    }
}
