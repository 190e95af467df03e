//! The heartbeat datagram that hosts exchange.

use lw_quarantine::{PartReport, StreamReport};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::datagrams::HashRange;
use crate::host_entry::HostAddress;
use crate::host_status::HostStatus;
use crate::limit_report::{LimitLoan, LimitReport};
use crate::sighting::Sighting;

/// The sender's usage of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUsage {
    /// The low half of the stable hash of the target's incarnation.
    pub target: u32,
    /// The number of the sender's requests that run or wait at the target.
    pub running: u16,
    /// Prefill work that the sender assigned to the target and that is not finished, in milliseconds.
    pub backlog_ms: u16,
    /// The recent share of the target's time spent on the sender's prefill work, in thousandths.
    pub prefill_permille: u16,
    /// Tokens of the sender's requests held in the target's memory, in thousands.
    pub kilotokens: u16,
}

/// A prompt part that the sender routed to a target, whose prefix cache can hold it from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedPart {
    /// The low half of the stable hash of the target's incarnation.
    pub target: u32,
    /// The hash of the prompt prefix that ends with this part.
    pub part: u64,
    /// The size of the part, in tokens.
    pub tokens: u32,
}

/// The usage of a service in the sender's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// The low half of the stable hash of the service's name.
    pub service: u32,
    /// The time that a new request would wait at the best target, in milliseconds.
    pub wait_ms: u16,
    /// The number of targets that accept requests.
    pub targets: u16,
    /// The number of free request slots at the targets.
    pub free_slots: u16,
}

/// A heartbeat: the sender's address, status and usage of targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The address of the sender.
    pub address: HostAddress,
    /// The status of the sender.
    #[serde(rename = "word")]
    pub status: HostStatus,
    /// The sender's usage of targets; empty in heartbeats to other regions.
    pub targets: Vec<TargetUsage>,
    /// Prompt parts that the sender routed recently; empty in heartbeats to other regions.
    pub placed: Vec<PlacedPart>,
    /// Targets that have said in an answer that they are leaving, by the low half of the stable hash of their
    /// incarnation; empty in heartbeats to other regions.
    #[serde(skip)]
    pub leaving: Vec<u32>,
    /// When other hosts of the region were last in contact; empty in heartbeats to other regions.
    #[serde(skip)]
    pub sightings: Vec<Sighting>,
    /// Prompt parts that may crash targets.
    #[serde(skip)]
    pub parts: Vec<PartReport>,
    /// Limits that targets have named; empty in heartbeats to other regions.
    #[serde(skip)]
    pub limits: Vec<LimitReport>,
    /// Requests that the sender lends; empty in heartbeats to other regions.
    #[serde(skip)]
    pub loans: Vec<LimitLoan>,
    /// The number of the sender's heartbeats with loans, this one included.
    #[serde(skip)]
    pub loan_sequence: u32,
    /// Prompt parts that may crash targets in the middle of their answers.
    #[serde(skip)]
    pub streams: Vec<StreamReport>,
    /// The services of which the status states the usage; one that it does not list has none.
    #[serde(skip)]
    pub services_range: HashRange,
    /// The targets of which the heartbeat states the usage; one that it does not list is unused by the sender.
    #[serde(skip)]
    pub targets_range: HashRange,
}

/// The second part of an encoded heartbeat. Hosts of versions without it read only the first part.
#[derive(Default, Serialize, Deserialize)]
struct WireTrailer {
    era: u64,
    earlier_states: u16,
    leaving: Vec<u32>,
    sightings: Vec<Sighting>,
}

/// The third part of an encoded heartbeat, absent if it and all later parts are empty. Hosts of versions without it ignore it.
#[derive(Serialize, Deserialize)]
struct WireReports {
    parts: Vec<PartReport>,
}

/// The fourth part of an encoded heartbeat, absent without contact and later parts. Hosts of versions without it ignore it.
#[derive(Serialize, Deserialize)]
struct WireContact {
    platform_contact_age_ms: u16,
}

/// The fifth part of an encoded heartbeat, absent if it and all later parts are empty. Hosts of versions without it ignore it.
#[derive(Serialize, Deserialize)]
struct WireLimits {
    limits: Vec<LimitReport>,
    loan_sequence: u32,
    loans: Vec<LimitLoan>,
    has_platform_returned: bool,
}

/// The sixth part of an encoded heartbeat, absent if it and the later part are empty. Hosts of versions without it ignore it.
#[derive(Serialize, Deserialize)]
struct WireStreams {
    streams: Vec<StreamReport>,
}

/// The seventh part of an encoded heartbeat, absent if it and the later part are empty. Hosts of versions without it ignore
/// it.
#[derive(Serialize, Deserialize)]
struct WireWatch {
    region_watch_age_ms: u16,
    is_watch_failing: bool,
}

/// The eighth part of an encoded heartbeat, absent if the heartbeat states the usage of all services and targets. Hosts of
/// versions without it take what is not listed as unused.
#[derive(Serialize, Deserialize)]
struct WireRanges {
    services: HashRange,
    targets: HashRange,
}

/// The error of a heartbeat that cannot be encoded or decoded.
#[derive(Debug, Error)]
#[error("invalid heartbeat: {0}")]
pub struct HeartbeatError(#[from] postcard::Error);

impl Heartbeat {
    /// Creates a heartbeat without reports on targets and other hosts.
    #[must_use]
    pub fn new(address: HostAddress, status: HostStatus) -> Self {
        Self {
            address,
            status,
            targets: Vec::new(),
            placed: Vec::new(),
            leaving: Vec::new(),
            sightings: Vec::new(),
            parts: Vec::new(),
            limits: Vec::new(),
            loans: Vec::new(),
            loan_sequence: 0,
            streams: Vec::new(),
            services_range: HashRange::ALL,
            targets_range: HashRange::ALL,
        }
    }

    /// Encodes the heartbeat as a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, HeartbeatError> {
        let trailer = WireTrailer {
            era: self.status.as_of.era,
            earlier_states: self.status.earlier_states,
            leaving: self.leaving.clone(),
            sightings: self.sightings.clone(),
        };
        let mut bytes = postcard::to_stdvec(self)?;
        bytes = postcard::to_extend(&trailer, bytes)?;
        let contact_age_ms = self.status.platform_contact_age_ms;
        let has_ranges =
            self.services_range != HashRange::ALL || self.targets_range != HashRange::ALL;
        let has_watch = self.status.region_watch_age_ms < u16::MAX
            || self.status.is_watch_failing
            || has_ranges;
        let has_streams = !self.streams.is_empty() || has_watch;
        let has_limits = !self.limits.is_empty()
            || !self.loans.is_empty()
            || self.status.has_platform_returned
            || has_streams;
        let has_contact = contact_age_ms < u16::MAX || has_limits;
        if has_contact || !self.parts.is_empty() {
            let reports = WireReports {
                parts: self.parts.clone(),
            };
            bytes = postcard::to_extend(&reports, bytes)?;
        }
        if has_contact {
            let contact = WireContact {
                platform_contact_age_ms: contact_age_ms,
            };
            bytes = postcard::to_extend(&contact, bytes)?;
        }
        if has_limits {
            let limits = WireLimits {
                limits: self.limits.clone(),
                loan_sequence: self.loan_sequence,
                loans: self.loans.clone(),
                has_platform_returned: self.status.has_platform_returned,
            };
            bytes = postcard::to_extend(&limits, bytes)?;
        }
        if has_streams {
            let streams = WireStreams {
                streams: self.streams.clone(),
            };
            bytes = postcard::to_extend(&streams, bytes)?;
        }
        if has_watch {
            let watch = WireWatch {
                region_watch_age_ms: self.status.region_watch_age_ms,
                is_watch_failing: self.status.is_watch_failing,
            };
            bytes = postcard::to_extend(&watch, bytes)?;
        }
        if has_ranges {
            let ranges = WireRanges {
                services: self.services_range,
                targets: self.targets_range,
            };
            bytes = postcard::to_extend(&ranges, bytes)?;
        }
        Ok(bytes)
    }

    /// Decodes a heartbeat from a datagram. A heartbeat without the second part has era zero.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid heartbeat.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        let (mut heartbeat, rest): (Self, _) = postcard::take_from_bytes(bytes)?;
        if !rest.is_empty() {
            let (trailer, rest): (WireTrailer, _) = postcard::take_from_bytes(rest)?;
            heartbeat.status.as_of.era = trailer.era;
            heartbeat.status.earlier_states = trailer.earlier_states;
            heartbeat.leaving = trailer.leaving;
            heartbeat.sightings = trailer.sightings;
            if !rest.is_empty() {
                let (reports, rest): (WireReports, _) = postcard::take_from_bytes(rest)?;
                heartbeat.parts = reports.parts;
                if !rest.is_empty() {
                    let (contact, rest): (WireContact, _) = postcard::take_from_bytes(rest)?;
                    heartbeat.status.platform_contact_age_ms = contact.platform_contact_age_ms;
                    heartbeat.decode_limits(rest)?;
                }
            }
        }
        Ok(heartbeat)
    }

    fn decode_limits(&mut self, bytes: &[u8]) -> Result<(), HeartbeatError> {
        if bytes.is_empty() {
            return Ok(());
        }
        let (wire, rest): (WireLimits, _) = postcard::take_from_bytes(bytes)?;
        self.limits = wire.limits;
        self.loan_sequence = wire.loan_sequence;
        self.loans = wire.loans;
        self.status.has_platform_returned = wire.has_platform_returned;
        if !rest.is_empty() {
            let (wire, rest): (WireStreams, _) = postcard::take_from_bytes(rest)?;
            self.streams = wire.streams;
            if !rest.is_empty() {
                let (wire, rest): (WireWatch, _) = postcard::take_from_bytes(rest)?;
                self.status.region_watch_age_ms = wire.region_watch_age_ms;
                self.status.is_watch_failing = wire.is_watch_failing;
                if !rest.is_empty() {
                    let wire: WireRanges = postcard::from_bytes(rest)?;
                    self.services_range = wire.services;
                    self.targets_range = wire.targets;
                }
            }
        }
        Ok(())
    }
}
