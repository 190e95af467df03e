//! The addresses of a host in one text.
//!
//! Membership and region summaries carry one opaque address per host. A node puts its three addresses into it:
//! `<nng>;<peer HTTP>;<callers>`, where an address with the IP address of the first one is shortened to `:<port>`.
//! Seeds and host lists give only the first part.

use std::sync::Arc;

/// The addresses of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Contact {
    /// Peer messages.
    pub(crate) nng: String,
    /// HTTP for other hosts; `None` when it is not known.
    pub(crate) peer_http: Option<String>,
    /// HTTP for callers; `None` when it is not known.
    pub(crate) caller: Option<String>,
}

impl Contact {
    /// Parses the text form.
    pub(crate) fn parse(text: &str) -> Self {
        let mut parts = text.split(';');
        let nng = parts.next().unwrap_or_default().to_owned();
        let mut expand = || parts.next().and_then(|part| expanded(part, &nng));
        Self {
            peer_http: expand(),
            caller: expand(),
            nng,
        }
    }

    /// Returns the text form.
    pub(crate) fn text(&self) -> Arc<str> {
        let short = |address: &Option<String>| shortened(address.as_deref(), &self.nng);
        format!(
            "{};{};{}",
            self.nng,
            short(&self.peer_http),
            short(&self.caller)
        )
        .into()
    }
}

/// Returns the address for peer messages of a text form.
pub(crate) fn nng_part(text: &str) -> &str {
    text.split(';').next().unwrap_or_default()
}

fn ip_of(address: &str) -> &str {
    address.rsplit_once(':').map_or(address, |(ip, _)| ip)
}

fn expanded(part: &str, nng: &str) -> Option<String> {
    if part.is_empty() {
        return None;
    }
    match part.strip_prefix(':') {
        Some(port) => Some(format!("{}:{port}", ip_of(nng))),
        None => Some(part.to_owned()),
    }
}

fn shortened(address: Option<&str>, nng: &str) -> String {
    let Some(address) = address else {
        return String::new();
    };
    match address.rsplit_once(':') {
        Some((ip, port)) if ip == ip_of(nng) => format!(":{port}"),
        _ => address.to_owned(),
    }
}
