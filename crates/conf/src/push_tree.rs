//! The tree along which new revisions are pushed inside a region.

use lw_base::{ranked, stable_hash};

/// The number of children per host: two levels below the root reach 20 hosts, four levels reach 340.
pub const FAN_OUT: usize = 4;

/// The number of relays per region.
pub const RELAYS_PER_REGION: usize = 2;

/// The live hosts of the region in rendezvous order.
#[derive(Clone, Debug, Default)]
pub(crate) struct PushTree {
    ranked: Vec<String>,
}

impl PushTree {
    /// Ranks the live hosts of a region.
    pub(crate) fn new(region: &str, hosts: &[String]) -> Self {
        let key = stable_hash(region.as_bytes());
        let order = ranked(key, hosts);
        Self {
            ranked: order
                .into_iter()
                .map(|index| hosts[index].clone())
                .collect(),
        }
    }

    pub(crate) fn is_relay(&self, host: &str) -> bool {
        self.ranked
            .iter()
            .take(RELAYS_PER_REGION)
            .any(|relay| relay == host)
    }

    pub(crate) fn is_first(&self, host: &str) -> bool {
        self.ranked.first().is_some_and(|first| first == host)
    }

    /// Returns the children of `host` in the tree with the root `root`.
    pub(crate) fn children<'a>(&'a self, root: &'a str, host: &str) -> Vec<&'a str> {
        let others = self.ranked.iter().map(String::as_str);
        let order: Vec<&str> = std::iter::once(root)
            .chain(others.filter(|name| *name != root))
            .collect();
        let Some(position) = order.iter().position(|name| *name == host) else {
            return Vec::new();
        };
        let first = position * FAN_OUT + 1;
        order.into_iter().skip(first).take(FAN_OUT).collect()
    }
}
