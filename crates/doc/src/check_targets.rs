//! Validates targets.

use std::net::SocketAddr;

use lw_base::prelude::*;

use crate::checker::Checker;
use crate::document::TargetEntry;
use crate::fault_kind::FaultKind;

const MAX_SLOTS: f64 = 100_000.0;

/// Validates all targets; `gateway_addresses` are the addresses of the gateway's own listeners.
pub(crate) fn check_targets(checker: &mut Checker<'_>, gateway_addresses: &[SocketAddr]) {
    let document = checker.document;
    let gateway: FastSet<SocketAddr> = gateway_addresses.iter().copied().map(canonical).collect();
    let mut target_by_address: FastMap<SocketAddr, &str> = FastMap::default();
    checker.check_names("targets", &document.targets, true);
    for (name, entry) in &document.targets {
        let path = format!("targets/{name}");
        check_zone_and_service(checker, &path, entry);
        checker.check_range(&format!("{path}/slots"), entry.slots.into(), 1.0, MAX_SLOTS);

        let address_path = format!("{path}/address");
        let address = entry.address.clone();
        let Some(parsed) = parse_target_address(&entry.address) else {
            checker.fault(address_path, FaultKind::InvalidAddress { address });
            continue;
        };
        if gateway.contains(&parsed) {
            checker.fault(address_path, FaultKind::AddressOfGateway { address });
            continue;
        }
        if let Some(other) = target_by_address.insert(parsed, name) {
            let target = other.to_owned();
            checker.fault(address_path, FaultKind::AddressInUse { target });
        }
    }
}

fn check_zone_and_service(checker: &mut Checker<'_>, path: &str, entry: &TargetEntry) {
    let document = checker.document;
    let region = checker.region_of_zone.get(entry.zone.as_str()).copied();
    let service = document.services.get(&entry.service);
    if region.is_none() {
        let name = entry.zone.clone();
        checker.fault(format!("{path}/zone"), FaultKind::UnknownZone { name });
    }
    if service.is_none() {
        let name = entry.service.clone();
        checker.fault(
            format!("{path}/service"),
            FaultKind::UnknownService { name },
        );
    }
    let (Some(region), Some(service)) = (region, service) else {
        return;
    };
    if !service.regions.iter().any(|listed| listed == region) {
        let kind = FaultKind::TargetOutsideService {
            region: region.to_owned(),
            service: entry.service.clone(),
        };
        checker.fault(format!("{path}/zone"), kind);
    }
}

fn parse_target_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let usable = address.port() != 0 && !address.ip().is_unspecified();
    usable.then(|| canonical(address))
}

/// Converts IPv4-mapped IPv6 addresses to IPv4, so that both forms of an address compare as equal.
fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}
