//! Builds the console of a host.

use std::sync::{Arc, Weak};

use lw_console::answers::Console;
use lw_console::auth::{Operator, Operators, SessionKey};
use lw_console::backend::{Backend, ConfBackendDeps, StatusRow};
use lw_doc::Digest;
use lw_member::MemberState;
use lw_node::Node;
use lw_plat::Kv;

use crate::daemon::Addresses;
use crate::settings::Settings;

/// Builds the console; it reads the configuration replica of this host.
pub(crate) fn build_console(
    settings: &Settings,
    node: &Arc<Node>,
    kv: Kv,
    addresses: Addresses,
) -> Console {
    let own = own_row(settings);
    let node_ref = Arc::downgrade(node);
    let backend = Backend::from_conf(ConfBackendDeps {
        replica: node.conf().clone(),
        kv,
        status: Arc::new(move || status_rows(&own, &node_ref)),
        gateway_addresses: Arc::new(move || vec![addresses.callers, addresses.peers]),
    });
    Console::new(operators(settings), session_key(settings), backend)
}

fn operators(settings: &Settings) -> Operators {
    let operators = settings.operators.iter().filter_map(|operator| {
        Some(Operator {
            name: operator.name.clone(),
            secret_digest: Digest::from_hex(&operator.token_digest)?,
        })
    });
    Operators(operators.collect())
}

/// Derives the session key from the peer key, which all hosts share, so that a session is valid on every host.
fn session_key(settings: &Settings) -> SessionKey {
    let text = format!("lacewingstile console sessions\0{}", settings.peer_key);
    SessionKey(Digest::of(text.as_bytes()).0.to_vec())
}

fn own_row(settings: &Settings) -> StatusRow {
    StatusRow {
        host: settings.host.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        state: "alive".to_owned(),
        revision: None,
    }
}

fn status_rows(own: &StatusRow, node: &Weak<Node>) -> Vec<StatusRow> {
    let Some(node) = node.upgrade() else {
        return Vec::new();
    };
    let config = node.reader().load();
    let own_row = StatusRow {
        revision: config.map(|config| config.mark.revision),
        state: if node.status().leaving {
            "leaving"
        } else {
            "alive"
        }
        .to_owned(),
        ..own.clone()
    };
    let others = node
        .members()
        .into_iter()
        .map(|(member, revision)| StatusRow {
            host: member.host.to_string(),
            region: own.region.clone(),
            zone: member.zone.to_string(),
            state: state_name(member.state).to_owned(),
            revision: (revision > 0).then_some(revision),
        });
    std::iter::once(own_row).chain(others).collect()
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    }
}
