//! An in-memory key-value service with injected faults, and documents for tests.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use lw_base::WallMs;
use lw_conf::{HEAD_KEY, Head, PublishRequest, RevisionMark};
use lw_doc::{CustomerEntry, Document, parse_document};
use lw_plat::{Kv, KvCall, KvError, KvReply};
use parking_lot::Mutex;
use uuid::Uuid;

pub(crate) mod sim;

/// A fault that is injected into a write of the head.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The write takes effect, but its reply is lost.
    ReplyLost,
    /// The write takes effect, its reply is lost, and the service is unavailable afterwards.
    ReplyLostThenOutage,
}

type Stored = Option<(u64, Bytes)>;

#[derive(Default)]
pub(crate) struct Store {
    values: BTreeMap<String, (u64, Bytes)>,
    undo: Vec<(String, Stored)>,
    pub(crate) head_faults: VecDeque<Fault>,
    pub(crate) outage: bool,
    /// The number of calls after which the service becomes unavailable.
    pub(crate) calls_left: Option<usize>,
    /// The number of further writes whose replies are lost.
    pub(crate) replies_to_drop: usize,
    pub(crate) latency_ms: u64,
    pub(crate) reads: usize,
    pub(crate) writes: usize,
    pub(crate) largest_value: usize,
}

#[derive(Clone, Default)]
pub(crate) struct FakeKv(pub(crate) Arc<Mutex<Store>>);

impl FakeKv {
    pub(crate) fn client(&self) -> Kv {
        let fake = self.clone();
        Kv::new(move |call| {
            let fake = fake.clone();
            Box::pin(async move { fake.perform(call).await })
        })
    }

    async fn perform(&self, call: KvCall) -> Result<KvReply, KvError> {
        let latency = Duration::from_millis(self.0.lock().latency_ms);
        tokio::time::sleep(latency).await;
        if let KvCall::Watch {
            key,
            after_version,
            wait_ms,
        } = call
        {
            return self.watch(&key, after_version, wait_ms).await;
        }
        let result = self.0.lock().perform(call);
        tokio::time::sleep(latency).await;
        result
    }

    async fn watch(&self, key: &str, after: u64, wait_ms: u64) -> Result<KvReply, KvError> {
        self.0.lock().reads += 1;
        for _ in 0..wait_ms / 20 {
            let found = self.0.lock().get(key)?;
            if let KvReply::Value { version, .. } = found
                && version > after
            {
                return Ok(found);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(KvReply::Unchanged)
    }

    /// Undoes the last `heads` writes of the head and all writes after them.
    pub(crate) fn lose_last_heads(&self, heads: usize) {
        let mut store = self.0.lock();
        let mut remaining = heads;
        while remaining > 0 {
            let Some((key, before)) = store.undo.pop() else {
                return;
            };
            remaining -= usize::from(key == HEAD_KEY);
            match before {
                Some(value) => store.values.insert(key, value),
                None => store.values.remove(&key),
            };
        }
    }

    pub(crate) fn head(&self) -> Option<RevisionMark> {
        let store = self.0.lock();
        let (_, value) = store.values.get(HEAD_KEY)?;
        let head: Head = serde_json::from_slice(value).expect("a head");
        Some(head.mark)
    }

    /// Returns the number of writes that can be undone.
    pub(crate) fn undoable(&self) -> usize {
        self.0.lock().undo.len()
    }

    /// Undoes the last `writes` writes of any key.
    pub(crate) fn lose_last_writes(&self, writes: usize) {
        let mut store = self.0.lock();
        for _ in 0..writes {
            let Some((key, before)) = store.undo.pop() else {
                return;
            };
            match before {
                Some(value) => store.values.insert(key, value),
                None => store.values.remove(&key),
            };
        }
    }

    pub(crate) fn bytes(&self, prefix: &str) -> usize {
        let store = self.0.lock();
        let found = store
            .values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        found.map(|(key, (_, value))| key.len() + value.len()).sum()
    }

    pub(crate) fn keys(&self, prefix: &str) -> usize {
        let store = self.0.lock();
        store
            .values
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }
}

impl Store {
    fn perform(&mut self, call: KvCall) -> Result<KvReply, KvError> {
        if self.calls_left == Some(0) {
            self.outage = true;
        }
        if self.outage {
            return Err(KvError::Unavailable);
        }
        self.calls_left = self.calls_left.map(|left| left - 1);
        let is_write = matches!(call, KvCall::Put { .. } | KvCall::Delete { .. });
        let reply = self.execute(call);
        if is_write && reply.is_ok() && self.replies_to_drop > 0 {
            self.replies_to_drop -= 1;
            return Err(KvError::ReplyLost);
        }
        reply
    }

    fn execute(&mut self, call: KvCall) -> Result<KvReply, KvError> {
        match call {
            KvCall::Get { key } => {
                self.reads += 1;
                self.get(&key)
            }
            KvCall::Put {
                key,
                value,
                if_version,
                ..
            } => self.put(key, value, if_version),
            KvCall::List { prefix } => {
                self.reads += 1;
                let keys = self.values.keys().filter(|key| key.starts_with(&prefix));
                Ok(KvReply::Keys(keys.cloned().collect()))
            }
            KvCall::Delete { key, if_version } => self.delete(key, if_version),
            _ => Err(KvError::Malformed),
        }
    }

    fn delete(&mut self, key: String, if_version: u64) -> Result<KvReply, KvError> {
        self.writes += 1;
        let before = self.values.get(&key).cloned();
        let current = before.as_ref().map_or(0, |(version, _)| *version);
        if current != if_version {
            return Err(KvError::Conflict { current });
        }
        self.values.remove(&key);
        self.undo.push((key, before));
        Ok(KvReply::Done)
    }

    fn get(&self, key: &str) -> Result<KvReply, KvError> {
        if self.outage {
            return Err(KvError::Unavailable);
        }
        let Some((version, value)) = self.values.get(key).cloned() else {
            return Ok(KvReply::Absent);
        };
        Ok(KvReply::Value { version, value })
    }

    fn put(&mut self, key: String, value: Bytes, if_version: u64) -> Result<KvReply, KvError> {
        self.writes += 1;
        let before = self.values.get(&key).cloned();
        let current = before.as_ref().map_or(0, |(version, _)| *version);
        if current != if_version {
            return Err(KvError::Conflict { current });
        }
        self.largest_value = self.largest_value.max(value.len());
        let version = current + 1;
        self.values.insert(key.clone(), (version, value));
        let fault = (key == HEAD_KEY)
            .then(|| self.head_faults.pop_front())
            .flatten();
        self.undo.push((key, before));
        match fault {
            None => Ok(KvReply::Written { version }),
            Some(Fault::ReplyLost) => Err(KvError::ReplyLost),
            Some(Fault::ReplyLostThenOutage) => {
                self.outage = true;
                Err(KvError::ReplyLost)
            }
        }
    }
}

pub(crate) fn sample() -> Document {
    let path = format!("{}/../../samples/sahyog.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the sample exists");
    parse_document("sahyog.json", &text)
        .expect("the sample is valid")
        .document
}

/// Returns `document` with one more customer.
pub(crate) fn with_customer(document: &Document, name: &str) -> Document {
    let mut next = document.clone();
    next.customers
        .insert(name.to_owned(), CustomerEntry::default());
    next
}

/// Returns the sample with as many customers as at the target size.
pub(crate) fn large_document() -> Document {
    let mut document = sample();
    for number in 0..38_000 {
        let customer = CustomerEntry {
            home_region: (number % 4 == 0).then(|| "gujarat-east".to_owned()),
            requests_per_s: Some(f64::from(number) / 7.0 + 0.1),
            key_digest: String::new(),
        };
        document
            .customers
            .insert(format!("customer-{number:05}"), customer);
    }
    document
}

pub(crate) fn request(operation: u128, base_revision: u64, next: Document) -> PublishRequest {
    PublishRequest {
        base_revision,
        base_digest: None,
        next,
        operator: format!("operator-{operation}"),
        operation: Uuid::from_u128(operation),
        wall: WallMs(1_764_800_000_000 + u64::try_from(operation).expect("small")),
        gateway_addresses: Vec::new(),
        confirmed: false,
        known: None,
    }
}
