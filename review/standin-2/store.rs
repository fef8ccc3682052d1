//! The platform's store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{self, Json};

/// Items in a page of a listing.
const PAGE_ITEMS: usize = 500;

struct Item {
    /// Value as base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    span: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change so far: its revision, key and event.
    changes: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, Lease>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Item {
    fn text(&self, key: &str) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
            self.value, self.revision, self.created, self.lease
        )
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let event = (self.revision, key.to_owned(), item.text(key));
        self.changes.push(event);
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                r#"{{"key":"{key}","revision":{},"deleted":true}}"#,
                self.revision
            );
            self.changes.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.until <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            addr: listener.local_addr()?,
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 100;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(call)) = connection.read() {
                        let (status, body) = store.answer(&call);
                        let kind = [("Content-Type", "application/json")];
                        if connection.answer(status, &kind, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Writes a value as the operator or a target does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.put(key, encode(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let last = call.path().rsplit('/').next().unwrap_or_default();
        let id: u64 = last.parse().unwrap_or_default();
        match (call.method(), call.path()) {
            ("GET", "/v1/kv-range") => (200, self.range(call)),
            ("GET", "/v1/kv-watch") => self.watch(call),
            ("POST", "/v1/kv-txn") => self.transact(call),
            ("POST", "/v1/kv-lease") => (200, self.grant(call)),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.keep(id),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                self.state.0.lock().unwrap().end_lease(id);
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, call: &Message) -> String {
        let prefix = call.query("prefix").unwrap_or_default();
        let after = call.query("after").unwrap_or_default();
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let texts: Vec<String> = found.map(|(key, item)| item.text(key)).collect();
        let has_more = texts.len() > PAGE_ITEMS;
        let page = texts[..texts.len().min(PAGE_ITEMS)].join(",");
        let revision = state.revision;
        format!(r#"{{"items":[{page}],"has_more":{has_more},"as_of":{revision}}}"#)
    }

    fn watch(&self, call: &Message) -> (u16, String) {
        let prefix = call.query("prefix").unwrap_or_default();
        let after = call.number("after").unwrap_or_default();
        let wait = Duration::from_millis(call.number("wait_ms").unwrap_or_default());
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            state.expire();
            let is_new = |c: &&(u64, String, String)| c.0 > after && c.1.starts_with(&prefix);
            let events = state.changes.iter().filter(is_new);
            let events: Vec<&str> = events.map(|c| c.2.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!(r#"{{"events":[{events}],"as_of":{revision}}}"#),
                );
            }
            let pause = left.min(Duration::from_millis(50));
            state = self.state.1.wait_timeout(state, pause).unwrap().0;
        }
    }

    fn transact(&self, call: &Message) -> (u16, String) {
        let Some(body) = json::parse(&call.body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        for row in body.get("expect").list() {
            let held = state.items.get(row.get("key").text());
            let held = held.map_or(0, |item| item.revision);
            if held != row.get("revision").number() as u64 {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        let lease = |put: &Json| put.get("lease").number() as u64;
        let puts = body.get("puts").list();
        if puts
            .iter()
            .any(|put| lease(put) != 0 && !state.leases.contains_key(&lease(put)))
        {
            return (404, "{}".to_owned());
        }
        for put in puts {
            state.put(
                put.get("key").text(),
                put.get("value").text().to_owned(),
                lease(put),
            );
        }
        for key in body.get("deletes").list() {
            state.delete(key.text());
        }
        self.state.1.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, state.revision))
    }

    fn grant(&self, call: &Message) -> String {
        let span = json::parse(&call.body).map_or(1.0, |b| b.get("ttl_s_time").number());
        let mut state = self.state.0.lock().unwrap();
        let id = 70_000 + state.leases.keys().last().map_or(0, |last| last - 70_000) + 1;
        let length = Duration::from_secs_f64(span.max(1.0));
        let lease = Lease {
            span: length,
            until: Instant::now() + length,
        };
        state.leases.insert(id, lease);
        format!(r#"{{"lease":{id},"ttl_s_time":{span}}}"#)
    }

    fn keep(&self, id: u64) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        let Some(lease) = state.leases.get_mut(&id) else {
            return (404, "{}".to_owned());
        };
        lease.until = Instant::now() + lease.span;
        let span = lease.span.as_secs_f64();
        (200, format!(r#"{{"ttl_s_time":{span}}}"#))
    }
}

/// Standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut bits = 0_u32;
        for at in 0..3 {
            bits = bits << 8 | u32::from(chunk.get(at).copied().unwrap_or_default());
        }
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
