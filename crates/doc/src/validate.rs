//! Validates documents.

use std::net::SocketAddr;

use crate::check_customers::check_customers;
use crate::check_regions::{check_audit, check_regions, check_weights};
use crate::check_services::{check_models, check_services};
use crate::check_stops::check_stops;
use crate::check_targets::check_targets;
use crate::checker::Checker;
use crate::document::Document;
use crate::fault::Fault;
use crate::fault_kind::FaultKind;
use crate::source_map::SourceMap;

/// The supported document format.
const SUPPORTED_FORMAT: u32 = 1;

/// Returns every fault of a document, in the order of its sections.
///
/// `source` provides line numbers; pass the default for a document that was not read from a file. `gateway_addresses`
/// are the addresses of the gateway's own listeners, which no target may have.
#[must_use]
pub fn validate(
    document: &Document,
    source: &SourceMap,
    gateway_addresses: &[SocketAddr],
) -> Vec<Fault> {
    let mut checker = Checker::new(document, source);
    checker.check_duplicate_entities();
    if document.format != SUPPORTED_FORMAT {
        let found = document.format;
        checker.fault("format", FaultKind::UnsupportedFormat { found });
    }
    check_weights(&mut checker);
    check_audit(&mut checker);
    check_regions(&mut checker);
    check_services(&mut checker);
    check_targets(&mut checker, gateway_addresses);
    check_customers(&mut checker);
    check_stops(&mut checker);
    check_models(&mut checker);
    checker.into_faults()
}
