//! Contents of the fake of the platform's metadata store.

use base64::Engine;
use base64::engine::general_purpose;
use serde_json::Value;
use serde_json::json;
use std::collections;

#[derive(Clone, Default)]
pub(super) struct State {
    /// Number of times that the store came back from a copy.
    pub(super) era: u64,
    pub(super) revision: u64,
    /// First revision whose changes are kept.
    pub(super) first_revision: u64,
    pub(super) entries: collections::BTreeMap<String, Entry>,
    /// Changes with their revisions, oldest first.
    pub(super) events: Vec<(u64, Value)>,
    /// Number of leases granted; their ids count from 1.
    pub(super) lease_count: u64,
    pub(super) ended_leases: collections::BTreeSet<u64>,
    pub(super) calls: u64,
}

#[derive(Clone)]
pub(super) struct Entry {
    pub(super) value: Vec<u8>,
    pub(super) revision: u64,
    pub(super) created_revision: u64,
    /// Id of the lease that the key depends on; 0 for none.
    pub(super) lease: u64,
}

impl State {
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created_revision = self
            .entries
            .get(key)
            .map_or(self.revision, |e| e.created_revision);
        let entry = Entry {
            value,
            revision: self.revision,
            created_revision,
            lease,
        };
        self.events.push((self.revision, entry_json(key, &entry)));
        self.entries.insert(key.to_owned(), entry);
    }

    pub(super) fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            let event = json!({"key": key, "revision": self.revision, "deleted": true});
            self.events.push((self.revision, event));
        }
    }

    /// Ends a lease and removes its keys.
    pub(super) fn end_lease(&mut self, lease: u64) {
        self.ended_leases.insert(lease);
        let of_lease = self.entries.iter().filter(|(_, e)| e.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    pub(super) fn list(&self, prefix: &str) -> Value {
        let entries: Vec<Value> = self
            .entries
            .iter()
            .filter(|(k, _)| k.starts_with(prefix))
            .map(|(k, e)| entry_json(k, e))
            .collect();
        json!({"items": entries, "has_more": false, "current_rev": self.revision})
    }

    /// Returns the changes of keys with a prefix after a revision.
    pub(super) fn events_after(&self, prefix: &str, after: u64) -> Vec<Value> {
        let later_events = self.events.iter().filter(|(r, _)| *r > after);
        later_events
            .map(|(_, e)| e.clone())
            .filter(|e| e["key"].as_str().is_some_and(|k| k.starts_with(prefix)))
            .collect()
    }

    /// Writes keys if all expected revisions match. It stops with status 404 at the first
    /// write with an ended or unknown lease, and the writes before it stay. Returns the
    /// HTTP status and the body.
    pub(super) fn txn(&mut self, call: &Value) -> (u16, Value) {
        let array = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        for expected in array("expected") {
            let key = expected["key"].as_str().unwrap_or_default();
            let revision = self.entries.get(key).map_or(0, |e| e.revision);
            if expected["revision"].as_u64() != Some(revision) {
                return (412, json!({"items": []}));
            }
        }
        for write in array("writes") {
            let lease = write["lease"].as_u64().unwrap_or(0);
            if self.ended_leases.contains(&lease) || lease > self.lease_count {
                return (404, Value::Null);
            }
            let value = write["value"].as_str().unwrap_or_default();
            let value = general_purpose::STANDARD.decode(value);
            let key = write["key"].as_str().unwrap_or_default();
            self.put(key, value.unwrap_or_default(), lease);
        }
        for key in array("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({"revision": self.revision}))
    }
}

pub(super) fn entry_json(key: &str, entry: &Entry) -> Value {
    json!({
        "key": key,
        "value": general_purpose::STANDARD.encode(&entry.value),
        "revision": entry.revision,
        "created_rev": entry.created_revision,
        "lease": entry.lease,
    })
}
