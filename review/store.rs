//! The platform's metadata store: keys with revisions, leases, transactions and watches.

use crate::http::Connection;
use crate::http::Message;
use crate::json::Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

#[derive(Clone)]
struct Item {
    /// The value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order, with the key; a deletion has no item.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, i)| i.lease == id);
        let keys: Vec<String> = held.map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item, current: u64) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created_rev":{},"lease":{},"current_rev":{current}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let state = State {
            revision: 1,
            ..State::default()
        };
        let store = Self {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(call)) = connection.read_request() {
                        let (status, body) = store.answer(&call);
                        let headers = "content-type: application/json\r\n";
                        if connection
                            .write_answer(status, headers, body.as_bytes())
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes a key, as the operator or a worker does.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, &base64(text.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key, as when its writer has left.
    pub fn delete(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.shared.1.notify_all();
    }

    fn answer(&self, call: &Message) -> (&'static str, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let parameter = |name: &str| query.get(name).copied().unwrap_or_default();
        let mut state = self.shared.0.lock().unwrap();
        state.expire();
        match path {
            "/hornbeampitch/kv-key" => match state.items.get(parameter("key")) {
                Some(item) => ("200 OK", item_json(parameter("key"), item, state.revision)),
                None => ("404 Not Found", "{}".to_owned()),
            },
            "/hornbeampitch/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let found = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
                let items: Vec<String> = found
                    .map(|(k, i)| item_json(k, i, state.revision))
                    .collect();
                let text = format!(
                    r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
                    items.join(","),
                    state.revision
                );
                ("200 OK", text)
            }
            "/hornbeampitch/kv-watch" => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait: u64 = parameter("wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let prefix = parameter("prefix").to_owned();
                loop {
                    let new = state
                        .events
                        .iter()
                        .filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
                    let events: Vec<String> = new
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item, state.revision),
                            None => {
                                format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#)
                            }
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let text = format!(
                            r#"{{"events":[{}],"current_rev":{}}}"#,
                            events.join(","),
                            state.revision
                        );
                        return ("200 OK", text);
                    }
                    state = self
                        .shared
                        .1
                        .wait_timeout(state, left.min(Duration::from_millis(200)))
                        .unwrap()
                        .0;
                    state.expire();
                }
            }
            "/hornbeampitch/kv-txn" => {
                let body = Json::parse(&call.body);
                let holds = body.get("expected").items().iter().all(|e| {
                    let known = state
                        .items
                        .get(e.get("key").text())
                        .map_or(0, |i| i.revision);
                    known == e.get("revision").number()
                });
                if !holds {
                    return ("412 Precondition Failed", r#"{"items":[]}"#.to_owned());
                }
                let writes = body.get("writes").items();
                let leases = writes.iter().map(|w| w.get("lease").number());
                if leases
                    .into_iter()
                    .any(|l| l != 0 && !state.leases.contains_key(&l))
                {
                    return ("404 Not Found", "{}".to_owned());
                }
                state.revision += 1;
                for write in writes {
                    state.put(
                        write.get("key").text(),
                        write.get("value").text(),
                        write.get("lease").number(),
                    );
                }
                for key in body.get("remove").items() {
                    state.remove(key.text());
                }
                self.shared.1.notify_all();
                ("200 OK", format!(r#"{{"revision":{}}}"#, state.revision))
            }
            "/hornbeampitch/kv-lease" => {
                let ttl = Duration::from_millis(Json::parse(&call.body).get("ttl_ms").number());
                state.next_lease += 1;
                let id = state.next_lease;
                let ends = Instant::now() + ttl;
                state.leases.insert(id, Lease { ttl, ends });
                (
                    "200 OK",
                    format!(r#"{{"lease":{id},"ttl_ms":{}}}"#, ttl.as_millis()),
                )
            }
            _ => {
                let id: u64 = path
                    .rsplit('/')
                    .next()
                    .unwrap_or_default()
                    .parse()
                    .unwrap_or(0);
                if path.starts_with("/hornbeampitch/kv-keep/") {
                    return match state.leases.get_mut(&id) {
                        Some(lease) => {
                            lease.ends = Instant::now() + lease.ttl;
                            ("200 OK", "{}".to_owned())
                        }
                        None => ("404 Not Found", "{}".to_owned()),
                    };
                }
                if path.starts_with("/hornbeampitch/kv-lease-end/") {
                    state.end_lease(id);
                    return ("200 OK", "{}".to_owned());
                }
                ("404 Not Found", "{}".to_owned())
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0;
        for index in 0..3 {
            number = number << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
