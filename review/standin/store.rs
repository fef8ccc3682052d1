//! Stand-in of the platform's store.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, base64, quote};

#[derive(Clone, Debug)]
struct Item {
    key: String,
    /// Base64; `None` in the history of a deletion.
    value: Option<String>,
    revision: u64,
    lease: u64,
}

/// Time for which the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Debug, Default)]
struct State {
    items: Vec<Item>,
    /// Changes of the last [`HISTORY`], oldest first.
    history: Vec<(Instant, Item)>,
    /// Last revision that the history no longer holds.
    forgotten: u64,
    revision: u64,
    next_lease: u64,
    /// Id, life and end of each lease.
    leases: Vec<(u64, Duration, Instant)>,
}

/// Handle of a running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            revision: 1,
            next_lease: 1,
            ..State::default()
        };
        let store = Self {
            addr: listener.local_addr().expect("it is bound"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key as the operator or a server does; what returns is acknowledged.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.delete(key);
        self.state.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics")
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        while let Ok(Some(call)) = http::read(&mut reader) {
            let (status, body) = self.answer(&call);
            let fields = [("Content-Type", "application/json")];
            if http::respond(&mut stream, status, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let path = call.path().to_owned();
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
        let lease: u64 = lease.unwrap_or_default();
        match (&*call.first, &*path) {
            ("GET", "/v1/kv-key") => self.key(call),
            ("GET", "/v1/kv-range") => self.range(call),
            ("GET", "/v1/kv-watch") => self.watch(call),
            ("POST", "/v1/kv-lease") => self.grant(call),
            ("POST", "/v1/kv-txn") => self.transact(call),
            ("POST", _) if path.starts_with("/v1/kv-keep/") => self.keep(lease),
            ("DELETE", _) if path.starts_with("/v1/kv-lease-end/") => self.end(lease),
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, call: &Message) -> (u16, String) {
        let key = call.query("key").unwrap_or_default();
        let mut state = self.lock();
        state.expire();
        match state.items.iter().find(|i| i.key == key) {
            Some(item) if item.value.is_some() => (200, item.encode()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, call: &Message) -> (u16, String) {
        let prefix = call.query("prefix").unwrap_or_default();
        let after = call.query("after").unwrap_or_default();
        let mut state = self.lock();
        state.expire();
        let mut items: Vec<&Item> = state.items.iter().filter(|i| i.value.is_some()).collect();
        items.retain(|i| i.key.starts_with(&prefix) && (after.is_empty() || i.key > after));
        items.sort_by(|a, b| a.key.cmp(&b.key));
        let has_more = items.len() > 500;
        let items: Vec<String> = items.iter().take(500).map(|i| i.encode()).collect();
        let (items, as_of) = (items.join(","), state.revision);
        let body = format!("{{\"items\":[{items}],\"has_more\":{has_more},\"as_of\":{as_of}}}");
        (200, body)
    }

    fn watch(&self, call: &Message) -> (u16, String) {
        let number = |name| call.query(name).and_then(|n| n.parse::<u64>().ok());
        let prefix = call.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut state = self.lock();
        loop {
            state.expire();
            let now = Instant::now();
            state.forget(now);
            if after < state.forgotten {
                return (410, "{}".to_owned());
            }
            let is_new = |i: &&Item| i.revision > after && i.key.starts_with(&prefix);
            let events: Vec<&Item> = state.history.iter().map(|h| &h.1).filter(is_new).collect();
            if !events.is_empty() || now >= until {
                let events: Vec<String> = events.iter().map(|i| i.encode()).collect();
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            // Leases end without a call.
            let pause = (until - now).min(Duration::from_millis(100));
            state = self
                .state
                .1
                .wait_timeout(state, pause)
                .expect("no thread panics")
                .0;
        }
    }

    fn grant(&self, call: &Message) -> (u16, String) {
        let asked = Json::parse(&call.body).unwrap_or(Json::Null);
        let ttl = asked
            .get("ttl_s_time")
            .map_or(1.0, Json::number)
            .clamp(1.0, 600.0);
        let mut state = self.lock();
        let id = state.next_lease;
        state.next_lease += 1;
        let life = Duration::from_secs_f64(ttl);
        state.leases.push((id, life, Instant::now() + life));
        (200, format!("{{\"lease\":{id},\"ttl_s_time\":{ttl}}}"))
    }

    fn keep(&self, id: u64) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        match state.leases.iter_mut().find(|l| l.0 == id) {
            Some(lease) => {
                lease.2 = Instant::now() + lease.1;
                (200, format!("{{\"ttl_s_time\":{}}}", lease.1.as_secs_f64()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end(&self, id: u64) -> (u16, String) {
        let mut state = self.lock();
        if let Some(lease) = state.leases.iter_mut().find(|l| l.0 == id) {
            lease.2 = Instant::now();
        }
        state.expire();
        self.state.1.notify_all();
        (200, "{}".to_owned())
    }

    fn transact(&self, call: &Message) -> (u16, String) {
        let Some(txn) = Json::parse(&call.body) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| txn.get(name).map_or(&[][..], Json::list).to_vec();
        let text = |row: &Json, name: &str| row.get(name).map_or("", Json::text).to_owned();
        let number = |row: &Json, name: &str| row.get(name).map_or(0.0, Json::number) as u64;
        let mut state = self.lock();
        state.expire();
        for row in rows("expect") {
            let key = text(&row, "key");
            let held = state
                .items
                .iter()
                .find(|i| i.key == key && i.value.is_some());
            if held.map_or(0, |i| i.revision) != number(&row, "revision") {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let puts = rows("puts");
        let is_known = |id: u64| id == 0 || state.leases.iter().any(|l| l.0 == id);
        if !puts.iter().all(|row| is_known(number(row, "lease"))) {
            return (404, "{}".to_owned());
        }
        for row in &puts {
            state.put(&text(row, "key"), text(row, "value"), number(row, "lease"));
        }
        for row in rows("deletes") {
            state.delete(row.text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.set(key, Some(value), lease);
    }

    fn delete(&mut self, key: &str) {
        if self.items.iter().any(|i| i.key == key && i.value.is_some()) {
            self.set(key, None, 0);
        }
    }

    fn set(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        self.items.retain(|i| i.key != key);
        let item = Item {
            key: key.to_owned(),
            value,
            revision: self.revision,
            lease,
        };
        self.history.push((Instant::now(), item.clone()));
        if item.value.is_some() {
            self.items.push(item);
        }
    }

    /// Drops history that is older than [`HISTORY`].
    fn forget(&mut self, now: Instant) {
        let is_old = |h: &(Instant, Item)| now.saturating_duration_since(h.0) > HISTORY;
        let count = self.history.iter().take_while(|h| is_old(h)).count();
        if let Some((_, last)) = self.history.drain(..count).last() {
            self.forgotten = last.revision;
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|l| l.2 <= now)
            .map(|l| l.0)
            .collect();
        self.leases.retain(|l| l.2 > now);
        let held = |i: &&Item| i.value.is_some() && ended.contains(&i.lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(held)
            .map(|i| i.key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

impl Item {
    fn encode(&self) -> String {
        let (key, revision) = (quote(&self.key), self.revision);
        match &self.value {
            Some(value) => format!(
                "{{\"key\":{key},\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":{}}}",
                self.lease
            ),
            None => format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}"),
        }
    }
}
