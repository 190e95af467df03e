//! Kinds of faults in a document.

use thiserror::Error;

/// What is wrong with a part of a document.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FaultKind {
    /// The format is not one that this version reads.
    #[error("format {found} is not supported")]
    UnsupportedFormat {
        /// The format of the document.
        found: u32,
    },
    /// The same name is given twice in the file.
    #[error("the name is given more than once")]
    DuplicateEntity,
    /// A name is empty, too long or has a character that headers and keys cannot carry.
    #[error("`{name}` is not a valid name")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A number is outside of its range.
    #[error("{value} is not between {min} and {max}")]
    OutOfRange {
        /// The number.
        value: f64,
        /// The smallest allowed number.
        min: f64,
        /// The largest allowed number.
        max: f64,
    },
    /// All weights are zero, so that no policy remains.
    #[error("all weights are 0")]
    WeightsAllZero,
    /// A list is empty that needs an element.
    #[error("the list is empty")]
    EmptyList,
    /// A list names the same element twice.
    #[error("`{name}` is listed more than once")]
    DuplicateElement {
        /// The element.
        name: String,
    },
    /// An availability zone is listed by two regions.
    #[error("availability zone `{zone}` already belongs to region `{region}`")]
    ZoneOfOtherRegion {
        /// The availability zone.
        zone: String,
        /// The region that lists it too.
        region: String,
    },
    /// No region has the name.
    #[error("no region is named `{name}`")]
    UnknownRegion {
        /// The name.
        name: String,
    },
    /// No availability zone has the name.
    #[error("no availability zone is named `{name}`")]
    UnknownZone {
        /// The name.
        name: String,
    },
    /// No service has the name.
    #[error("no service is named `{name}`")]
    UnknownService {
        /// The name.
        name: String,
    },
    /// No target has the name.
    #[error("no target is named `{name}`")]
    UnknownTarget {
        /// The name.
        name: String,
    },
    /// A region gives a delay to itself.
    #[error("the region gives a delay to itself")]
    DelayToItself,
    /// A region has targets of a service but must not process its requests.
    #[error("region `{region}` is not among the allowed regions")]
    RegionNotAllowed {
        /// The region.
        region: String,
    },
    /// A target stands in a region that its service does not list.
    #[error("the target stands in region `{region}`, which service `{service}` does not list")]
    TargetOutsideService {
        /// The region of the target.
        region: String,
        /// The service.
        service: String,
    },
    /// An HTTP method is not a token in upper case.
    #[error("`{method}` is not an HTTP method in upper case")]
    InvalidMethod {
        /// The method.
        method: String,
    },
    /// An address is not an IP address with a port.
    #[error("`{address}` is not an IP address with a port")]
    InvalidAddress {
        /// The address.
        address: String,
    },
    /// A target address is one of the gateway's own, which would forward requests in a loop.
    #[error("`{address}` is an address of the gateway itself")]
    AddressOfGateway {
        /// The address.
        address: String,
    },
    /// Two targets have the same address.
    #[error("target `{target}` has the same address")]
    AddressInUse {
        /// The other target.
        target: String,
    },
    /// A digest is not 64 hex digits.
    #[error("the digest is not 64 hex digits")]
    InvalidDigest,
    /// A time is not RFC 3339.
    #[error("`{text}` is not an RFC 3339 time")]
    InvalidTime {
        /// The text.
        text: String,
    },
    /// A planned stop ends before it starts.
    #[error("the stop ends at or before its start")]
    StopEndsBeforeStart,
    /// A planned stop names nothing that stops.
    #[error("the stop names no availability zone, host or target")]
    EmptyPlannedStop,
    /// A model is wanted for a service that engines do not serve.
    #[error("service `{service}` is not a model service")]
    ModelOfPlainService {
        /// The service.
        service: String,
    },
}

impl FaultKind {
    /// Returns what the operator should do about it.
    #[must_use]
    pub fn fix(&self) -> &'static str {
        match self {
            Self::UnsupportedFormat { .. } => "set format to 1",
            Self::DuplicateEntity => "remove one of the two or rename it",
            Self::InvalidName { .. } => {
                "use 1 to 64 letters, digits, `-` and `_`, and `.` only in names of targets, hosts and customers"
            }
            Self::OutOfRange { .. } => "choose a number in the range",
            Self::WeightsAllZero => "set at least one weight above 0",
            Self::EmptyList => "add at least one element",
            Self::DuplicateElement { .. } => "list it once",
            Self::ZoneOfOtherRegion { .. } => "list the availability zone in one region only",
            Self::UnknownRegion { .. } => "add the region or correct the name",
            Self::UnknownZone { .. } => "add the availability zone to a region or correct the name",
            Self::UnknownService { .. } => "add the service or correct the name",
            Self::UnknownTarget { .. } => "add the target or correct the name",
            Self::DelayToItself => "remove the entry",
            Self::RegionNotAllowed { .. } => {
                "add the region to allowed_regions or remove it from regions"
            }
            Self::TargetOutsideService { .. } => {
                "add the region to the service or move the target to another availability zone"
            }
            Self::InvalidMethod { .. } => "write the method as in POST or PATCH",
            Self::InvalidAddress { .. } => {
                "write the address as in 10.0.0.7:9001 or [fd00::7]:9001"
            }
            Self::AddressOfGateway { .. } => "give the address of the back end",
            Self::AddressInUse { .. } => "give each target its own address",
            Self::InvalidDigest => "give the SHA-256 digest of the key in hex, or leave it empty",
            Self::InvalidTime { .. } => "write the time as in 2026-12-03T20:00:00Z",
            Self::StopEndsBeforeStart => "set the end after the start",
            Self::EmptyPlannedStop => "name what stops, or remove the stop",
            Self::ModelOfPlainService { .. } => {
                "remove the model or change the kind of the service"
            }
        }
    }
}
