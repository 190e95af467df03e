//! Addresses and example commands that the demonstration prints.

use lw_doc::{Document, ServiceKind};

use crate::demo_request::{chat_body, new_idempotency_key};
use crate::hosts::{Hosts, OPERATOR, OPERATOR_SECRET};
use crate::platform::PlatformAddresses;
use crate::workload::{customer_in, customers_of};

/// Returns the addresses of the hosts, the fakes and the console.
pub(crate) fn address_text(hosts: &Hosts, platform: &PlatformAddresses) -> String {
    let mut text = String::from("\nhosts (region, zone: callers, admin)\n");
    for host in hosts.iter() {
        let addresses = host.daemon.addresses();
        text += &format!(
            "  {:16} {}, {}: {}, {}\n",
            host.placement.host,
            host.placement.region,
            host.placement.zone,
            addresses.callers,
            addresses.admin
        );
    }
    text += &format!(
        "stand-ins: key-value service {}, host list and directory {}, weight store {}\n",
        platform.key_value, platform.host_list, platform.weights
    );
    let first = hosts.iter().next();
    let admin = first.map(|host| host.daemon.addresses().admin.to_string());
    text + &format!(
        "console: http://{}/console operator {OPERATOR}, secret {OPERATOR_SECRET}\n",
        admin.unwrap_or_default()
    )
}

/// Returns example commands for all kinds of requests except orders.
pub(crate) fn command_text(document: &Document, hosts: &Hosts) -> String {
    let Some(host) = hosts.iter().next() else {
        return String::new();
    };
    let (callers, admin) = {
        let addresses = host.daemon.addresses();
        (addresses.callers, addresses.admin)
    };
    let region = &host.placement.region;
    let customer = customer_of(document, region);
    let chat_service = service_of(document, ServiceKind::Model);
    let plain_service = service_of(document, ServiceKind::Plain);
    let chat = |stream| chat_body(&chat_service, "How much is in stock?", 12, stream);
    let chat_url = format!("http://{callers}/v1/chat/completions -H 'X-Customer: {customer}'");
    let lines = [
        ("chat", format!("curl -si {chat_url} -d '{}'", chat(false))),
        (
            "streaming chat",
            format!("curl -siN {chat_url} -d '{}'", chat(true)),
        ),
        (
            "lookup",
            format!(
                "curl -si http://{callers}/s/{plain_service}/items/7 -H 'X-Customer: {customer}'"
            ),
        ),
        (
            "entry hosts",
            format!("curl -s 'http://{callers}/v1/entry-hosts?region={region}'"),
        ),
        (
            "status",
            format!(
                "curl -s http://{admin}/admin/status -H 'Authorization: Bearer {OPERATOR_SECRET}'"
            ),
        ),
        ("metrics", format!("curl -s http://{admin}/metrics")),
    ];
    let lines = lines.map(|(name, line)| format!("# {name}\n{line}\n"));
    lines.concat()
}

/// Returns an example command for an order with a new idempotency key, which is valid for 10 minutes.
pub(crate) fn order_text(document: &Document, hosts: &Hosts, region: &str) -> String {
    let Some(callers) = hosts.caller_address_in(region) else {
        return String::new();
    };
    let service = service_of(document, ServiceKind::Plain);
    let customer = customer_of(document, region);
    let key = new_idempotency_key(region);
    format!(
        "# order (the key is valid for 10 minutes; a repetition gets the recorded answer)\n\
         curl -si http://{callers}/s/{service}/orders -H 'X-Customer: {customer}' \
         -H 'Idempotency-Key: {key}' -d '{{\"item\":\"one\"}}'\n"
    )
}

/// Returns the service of the kind that runs in the most regions, preferably one with a deadline below 100 s.
fn service_of(document: &Document, kind: ServiceKind) -> String {
    let services = document.services.iter();
    let of_kind = services.filter(|(_, entry)| entry.kind == kind);
    let widest =
        of_kind.max_by_key(|(_, entry)| (entry.regions.len(), entry.deadline_ms < 100_000));
    widest.map(|(name, _)| name.clone()).unwrap_or_default()
}

fn customer_of(document: &Document, region: &str) -> String {
    let customers = customers_of(document);
    customer_in(&customers, region).unwrap_or_default()
}
