//! The fakes of the platform services.

use std::net::SocketAddr;

use lw_doc::Document;
use lw_stand::{FakeHostList, FakeKv, FakeWeightStore, ServerHandle};

use crate::demo_error::DemoError;

/// Rate limit of the weight store, in loads per second.
const WEIGHT_LOADS_PER_S: f64 = 2.0;

/// The addresses of the platform services; port 0 selects a free port.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlatformAddresses {
    pub(crate) key_value: SocketAddr,
    pub(crate) host_list: SocketAddr,
    pub(crate) weights: SocketAddr,
}

/// The running fakes of the platform services.
pub(crate) struct Platform {
    pub(crate) kv: FakeKv,
    pub(crate) hosts: FakeHostList,
    pub(crate) addresses: PlatformAddresses,
    _servers: [ServerHandle; 3],
}

impl Platform {
    /// Starts the key-value service, the host list with the directory, and the weight store.
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
        let kv_server = with_listen_error(
            "key_value",
            wanted.key_value,
            kv.start(wanted.key_value).await,
        )?;
        let host_server = with_listen_error(
            "host_list",
            wanted.host_list,
            hosts.start(wanted.host_list).await,
        )?;
        let weight_server = with_listen_error(
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

fn with_listen_error(
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
