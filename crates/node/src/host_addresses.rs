//! The addresses of a host, encoded as one string.
//!
//! Membership and region summaries carry one opaque address string per host. A node encodes its three addresses in it:
//! `<nng>;<peer HTTP>;<callers>`. An address with the same IP address as the first one is shortened to `:<port>`.
//! Seeds and host lists may contain only the first part.

use std::sync::Arc;

/// The addresses of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HostAddresses {
    /// The address for peer messages over nng.
    pub(crate) nng: String,
    /// The HTTP address for requests that other hosts forward; `None` if it is not known.
    pub(crate) peer_http: Option<String>,
    /// The HTTP address for callers; `None` if it is not known.
    pub(crate) caller: Option<String>,
}

impl HostAddresses {
    /// Parses the encoded string.
    pub(crate) fn parse(text: &str) -> Self {
        let mut parts = text.split(';');
        let nng = parts.next().unwrap_or_default().to_owned();
        let mut expand = || parts.next().and_then(|part| expand_address(part, &nng));
        Self {
            peer_http: expand(),
            caller: expand(),
            nng,
        }
    }

    /// Encodes the addresses as one string.
    pub(crate) fn encode(&self) -> Arc<str> {
        let short = |address: &Option<String>| shorten_address(address.as_deref(), &self.nng);
        format!(
            "{};{};{}",
            self.nng,
            short(&self.peer_http),
            short(&self.caller)
        )
        .into()
    }
}

/// Returns the address for peer messages from an encoded string.
pub(crate) fn nng_address_of(text: &str) -> &str {
    text.split(';').next().unwrap_or_default()
}

fn ip_of(address: &str) -> &str {
    address.rsplit_once(':').map_or(address, |(ip, _)| ip)
}

fn expand_address(part: &str, nng: &str) -> Option<String> {
    if part.is_empty() {
        return None;
    }
    match part.strip_prefix(':') {
        Some(port) => Some(format!("{}:{port}", ip_of(nng))),
        None => Some(part.to_owned()),
    }
}

fn shorten_address(address: Option<&str>, nng: &str) -> String {
    let Some(address) = address else {
        return String::new();
    };
    match address.rsplit_once(':') {
        Some((ip, port)) if ip == ip_of(nng) => format!(":{port}"),
        _ => address.to_owned(),
    }
}
