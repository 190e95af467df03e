//! The kinds of faults in a document.

use thiserror::Error;

/// What is wrong with a part of a document.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FaultKind {
    /// The document format is not supported.
    #[error("format {found} is not supported")]
    UnsupportedFormat {
        /// The format of the document.
        found: u32,
    },
    /// The file contains the same name twice.
    #[error("this name appears more than once")]
    DuplicateEntity,
    /// A name is empty, too long or contains a character that headers or keys do not allow.
    #[error("`{name}` is not a valid name")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A number is out of range.
    #[error("{value} is out of range; it must be between {min} and {max}")]
    OutOfRange {
        /// The number.
        value: f64,
        /// The smallest allowed number.
        min: f64,
        /// The largest allowed number.
        max: f64,
    },
    /// All weights are zero, so the routing policy has no criterion.
    #[error("all three weights are 0")]
    WeightsAllZero,
    /// A list that needs at least one element is empty.
    #[error("the list is empty")]
    EmptyList,
    /// A list contains the same element twice.
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
        /// The other region that lists it.
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
    /// A region lists a delay to itself.
    #[error("the region has a delay to itself")]
    DelayToItself,
    /// A service lists a region that is not among its allowed regions.
    #[error("the service lists region `{region}`, which is not among its allowed regions")]
    RegionNotAllowed {
        /// The region.
        region: String,
    },
    /// A target is in a region that its service does not list.
    #[error("the target is in region `{region}`, which service `{service}` does not list")]
    TargetOutsideService {
        /// The region of the target.
        region: String,
        /// The service.
        service: String,
    },
    /// An HTTP method is not written in upper-case letters.
    #[error("`{method}` is not an HTTP method in upper-case letters")]
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
    /// A target has an address of the gateway itself, so the gateway would forward requests to itself in a loop.
    #[error("`{address}` is an address of the gateway, not of a target")]
    AddressOfGateway {
        /// The address.
        address: String,
    },
    /// Two targets have the same address.
    #[error("target `{target}` already uses this address")]
    AddressInUse {
        /// The other target.
        target: String,
    },
    /// A digest is not 64 hex digits.
    #[error("the key digest is not 64 hexadecimal digits")]
    InvalidDigest,
    /// A time is not in RFC 3339 format.
    #[error("`{text}` is not a date and time in RFC 3339 format")]
    InvalidTime {
        /// The text.
        text: String,
    },
    /// A planned stop ends before it starts.
    #[error("the planned stop ends at or before its start")]
    StopEndsBeforeStart,
    /// A planned stop lists no availability zone, host or target.
    #[error("the planned stop lists no availability zone, host or target")]
    EmptyPlannedStop,
    /// A model is set for a service that is not served by model engines.
    #[error("a model is set, but service `{service}` is not a model service")]
    ModelOfPlainService {
        /// The service.
        service: String,
    },
}

impl FaultKind {
    /// Returns the instruction to the operator that resolves the fault.
    #[must_use]
    pub fn fix(&self) -> &'static str {
        match self {
            Self::UnsupportedFormat { .. } => "please set `format` to 1",
            Self::DuplicateEntity => "please remove or rename one of the two entries",
            Self::InvalidName { .. } => {
                "please use 1 to 64 letters, digits, `-` and `_`, and `.` only in names of targets, hosts and customers"
            }
            Self::OutOfRange { .. } => "please choose a number in this range",
            Self::WeightsAllZero => "please set at least one weight above 0",
            Self::EmptyList => "please add at least one entry to the list",
            Self::DuplicateElement { .. } => "please keep one of the entries and remove the others",
            Self::ZoneOfOtherRegion { .. } => {
                "please list the availability zone in one region only"
            }
            Self::UnknownRegion { .. } => "please correct the name, or add the region",
            Self::UnknownZone { .. } => {
                "please correct the name, or add the availability zone to a region"
            }
            Self::UnknownService { .. } => "please correct the name, or add the service",
            Self::UnknownTarget { .. } => "please correct the name, or add the target",
            Self::DelayToItself => "please remove this delay",
            Self::RegionNotAllowed { .. } => {
                "please add the region to `allowed_regions`, or remove it from `regions`"
            }
            Self::TargetOutsideService { .. } => {
                "please add the region to the service, or move the target to another availability zone"
            }
            Self::InvalidMethod { .. } => "please write the method like POST or PATCH",
            Self::InvalidAddress { .. } => {
                "please write the address like 10.0.0.7:9001 or [fd00::7]:9001"
            }
            Self::AddressOfGateway { .. } => "please enter the address of the target itself",
            Self::AddressInUse { .. } => "please give each target its own address",
            Self::InvalidDigest => {
                "please enter the SHA-256 digest of the key in hexadecimal, or leave it empty if no key is required"
            }
            Self::InvalidTime { .. } => "please write the time like 2026-12-03T20:00:00Z",
            Self::StopEndsBeforeStart => "please set the end to a time after the start",
            Self::EmptyPlannedStop => "please list what stops, or remove the planned stop",
            Self::ModelOfPlainService { .. } => {
                "please remove the model, or change the kind of the service to `model`"
            }
        }
    }
}
