//! An in-memory configuration store and a simulated browser.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod browser;
pub(crate) mod store;

use std::sync::Arc;

use lw_base::WallMs;
use lw_console::answers::Console;
use lw_console::auth::{Operator, Operators, SessionKey};
use lw_doc::{Digest, Document, parse_document};

/// 2026-12-03 20:00:00 UTC.
pub(crate) const NOW: WallMs = WallMs(1_796_328_000_000);

pub(crate) fn sample() -> Document {
    let path = format!("{}/../../samples/sahyog.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the sample exists");
    parse_document("sahyog.json", &text)
        .expect("the sample is a valid document")
        .document
}

pub(crate) fn operators() -> Operators {
    let operator = |name: &str| Operator {
        name: name.to_owned(),
        secret_digest: Digest::of(format!("secret of {name}").as_bytes()),
    };
    Operators(vec![operator("asha"), operator("karim")])
}

pub(crate) fn key() -> SessionKey {
    SessionKey(b"the key of every host".to_vec())
}

pub(crate) fn console(store: &Arc<store::Store>) -> Arc<Console> {
    Arc::new(Console::new(operators(), key(), store.backend()))
}

/// Runs a future to completion.
pub(crate) fn run<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime")
        .block_on(future)
}
