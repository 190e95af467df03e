//! Stand-ins of the platform.

use std::net::SocketAddr;

use lw_doc::Document;
use lw_stand::{FakeHostList, FakeKv, FakeWeightStore, ServerHandle};

use crate::demo_error::DemoError;

/// Loads of weights that the weight store serves per second.
const WEIGHT_LOADS_PER_S: f64 = 2.0;

/// The addresses of the platform; port 0 picks a free port.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlatformAddresses {
    pub(crate) key_value: SocketAddr,
    pub(crate) host_list: SocketAddr,
    pub(crate) weights: SocketAddr,
}

/// The running stand-ins of the platform.
pub(crate) struct Platform {
    pub(crate) kv: FakeKv,
    pub(crate) hosts: FakeHostList,
    pub(crate) addresses: PlatformAddresses,
    _servers: [ServerHandle; 3],
}

impl Platform {
    /// Starts key-value service, host list with directory, and weight store.
    pub(crate) async fn start(
        wanted: PlatformAddresses,
        document: &Document,
    ) -> Result<Self, DemoError> {
        let kv = FakeKv::default();
        let hosts = FakeHostList::default();
        let weights = FakeWeightStore::new(WEIGHT_LOADS_PER_S);
        for (model, entry) in &document.engine.models {
            weights.add(model, &entry.version, format!("{model} {}", entry.version));
        }
        let kv_server = named(
            "key_value",
            wanted.key_value,
            kv.start(wanted.key_value).await,
        )?;
        let host_server = named(
            "host_list",
            wanted.host_list,
            hosts.start(wanted.host_list).await,
        )?;
        let weight_server = named(
            "weights",
            wanted.weights,
            weights.start(wanted.weights).await,
        )?;
        Ok(Self {
            addresses: PlatformAddresses {
                key_value: kv_server.address(),
                host_list: host_server.address(),
                weights: weight_server.address(),
            },
            kv,
            hosts,
            _servers: [kv_server, host_server, weight_server],
        })
    }
}

fn named(
    what: &str,
    address: SocketAddr,
    started: std::io::Result<ServerHandle>,
) -> Result<ServerHandle, DemoError> {
    started.map_err(|error| DemoError::Listen {
        what: what.to_owned(),
        address,
        error,
    })
}
