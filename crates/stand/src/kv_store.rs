//! State of the fake key-value service: versions, leases and an undo log.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use lw_base::MonoMs;
use lw_plat::{KvCall, KvError, KvReply};

/// Maximum value size that the platform accepts.
pub(crate) const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum number of writes that can be reverted.
const MAX_UNDO_ENTRIES: usize = 1_024;

/// The state of a key; the version is kept after a deletion, so a key that is written again has a higher version.
#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Option<Bytes>,
    lease_id: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    expires_at: MonoMs,
}

/// The whole state of the service.
#[derive(Debug, Default)]
pub(crate) struct KvStore {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    leases_opened: u64,
    undo: VecDeque<(String, Option<Entry>)>,
}

impl KvStore {
    /// Performs a call without waiting; a watch whose key has not changed returns [`KvReply::Unchanged`].
    pub(crate) fn apply(&mut self, now: MonoMs, call: KvCall) -> Result<KvReply, KvError> {
        self.expire_leases(now);
        match call {
            KvCall::Get { key } => Ok(self.get(&key)),
            KvCall::Watch {
                key, after_version, ..
            } => Ok(self.watch(&key, after_version)),
            KvCall::Put {
                key,
                value,
                if_version,
                lease_id,
            } => self.put(&key, value, if_version, lease_id),
            KvCall::Delete { key, if_version } => self.delete(&key, if_version),
            KvCall::List { prefix } => Ok(self.list(&prefix)),
            KvCall::LeaseOpen { ttl_ms } => Ok(self.open_lease(now, ttl_ms)),
            KvCall::LeaseRenew { lease_id } => self.renew_lease(now, lease_id),
            KvCall::LeaseClose { lease_id } => self.close_lease(lease_id),
        }
    }

    /// Reverts the last `count` changes of keys; leases and their epochs are kept.
    pub(crate) fn revert_last_writes(&mut self, count: usize) {
        for _ in 0..count {
            let Some((key, before)) = self.undo.pop_back() else {
                return;
            };
            match before {
                Some(entry) => self.entries.insert(key, entry),
                None => self.entries.remove(&key),
            };
        }
    }

    fn version(&self, key: &str) -> u64 {
        match self.entries.get(key) {
            Some(entry) if entry.value.is_some() => entry.version,
            _ => 0,
        }
    }

    fn get(&self, key: &str) -> KvReply {
        let Some(entry) = self.entries.get(key) else {
            return KvReply::Absent;
        };
        match &entry.value {
            Some(value) => KvReply::Value {
                version: entry.version,
                value: value.clone(),
            },
            None => KvReply::Absent,
        }
    }

    fn watch(&self, key: &str, after_version: u64) -> KvReply {
        let version = self.version(key);
        let removed = version == 0 && after_version > 0;
        if version > after_version || removed {
            return self.get(key);
        }
        KvReply::Unchanged
    }

    fn put(
        &mut self,
        key: &str,
        value: Bytes,
        if_version: u64,
        lease_id: Option<u64>,
    ) -> Result<KvReply, KvError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(KvError::TooLarge);
        }
        if lease_id.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(KvError::LeaseExpired);
        }
        self.check_version(key, if_version)?;
        let version = self.replace(key, Some(value), lease_id);
        Ok(KvReply::Written { version })
    }

    fn delete(&mut self, key: &str, if_version: u64) -> Result<KvReply, KvError> {
        self.check_version(key, if_version)?;
        if if_version > 0 {
            self.replace(key, None, None);
        }
        Ok(KvReply::Done)
    }

    fn check_version(&self, key: &str, if_version: u64) -> Result<(), KvError> {
        let current = self.version(key);
        if current == if_version {
            return Ok(());
        }
        Err(KvError::Conflict { current })
    }

    fn replace(&mut self, key: &str, value: Option<Bytes>, lease_id: Option<u64>) -> u64 {
        let before = self.entries.get(key).cloned();
        let version = before.as_ref().map_or(0, |entry| entry.version) + 1;
        let entry = Entry {
            version,
            value,
            lease_id,
        };
        self.entries.insert(key.to_owned(), entry);
        self.undo.push_back((key.to_owned(), before));
        if self.undo.len() > MAX_UNDO_ENTRIES {
            self.undo.pop_front();
        }
        version
    }

    fn list(&self, prefix: &str) -> KvReply {
        let present = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.value.is_some());
        KvReply::Keys(present.map(|(key, _)| key.clone()).collect())
    }

    fn open_lease(&mut self, now: MonoMs, ttl_ms: u64) -> KvReply {
        self.leases_opened += 1;
        let epoch = self.leases_opened;
        // The id differs from the epoch, so that tests fail if code confuses the two.
        let lease_id = 1_000_000 + epoch;
        let expires_at = now.plus_ms(ttl_ms);
        self.leases.insert(lease_id, Lease { ttl_ms, expires_at });
        KvReply::Lease { lease_id, epoch }
    }

    fn renew_lease(&mut self, now: MonoMs, lease_id: u64) -> Result<KvReply, KvError> {
        let Some(lease) = self.leases.get_mut(&lease_id) else {
            return Err(KvError::LeaseExpired);
        };
        lease.expires_at = now.plus_ms(lease.ttl_ms);
        Ok(KvReply::Done)
    }

    fn close_lease(&mut self, lease_id: u64) -> Result<KvReply, KvError> {
        if self.leases.remove(&lease_id).is_none() {
            return Err(KvError::LeaseExpired);
        }
        self.remove_keys_of(lease_id);
        Ok(KvReply::Done)
    }

    fn expire_leases(&mut self, now: MonoMs) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease_id in expired {
            self.leases.remove(&lease_id);
            self.remove_keys_of(lease_id);
        }
    }

    fn remove_keys_of(&mut self, lease_id: u64) {
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease_id == Some(lease_id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.replace(&key, None, None);
        }
    }
}
