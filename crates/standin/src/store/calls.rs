//! The calls of the platform's service, with whatever fault is switched on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;
use trillium::{Conn, Handler, Method, Status};
use wire::{instance, kv};

use super::fault::Fault;
use super::{Shared, Waiter};
use crate::http;
use crate::table::Refused;

/// Longest wait of a watch.
const WAIT_MAX: Duration = Duration::from_mins(1);

pub(super) fn handler(shared: Arc<Shared>) -> impl Handler {
    move |conn: Conn| {
        let shared = Arc::clone(&shared);
        async move { route(&shared, conn).await }
    }
}

enum Call {
    Get(String),
    Watch(String),
    List,
    Put(String),
    Delete(String),
    Grant,
    Renew(u64),
    Instances(instance::Filter),
}

impl Call {
    fn new(conn: &Conn) -> Option<Self> {
        let path = conn.path();
        if let Some(key) = path.strip_prefix("/kv/") {
            let key = key.to_owned();
            return match conn.method() {
                Method::Get if http::query(conn, "after").is_some() => Some(Self::Watch(key)),
                Method::Get => Some(Self::Get(key)),
                Method::Put => Some(Self::Put(key)),
                Method::Delete => Some(Self::Delete(key)),
                _ => None,
            };
        }
        match (conn.method(), path) {
            (Method::Get, "/kv") => Some(Self::List),
            (Method::Get, "/instances") => Some(Self::Instances(part(conn)?)),
            (Method::Post, "/leases") => Some(Self::Grant),
            (Method::Post, _) => {
                let id = path.strip_prefix("/leases/")?.strip_suffix("/renew")?;
                Some(Self::Renew(id.parse().ok()?))
            }
            _ => None,
        }
    }

    const fn is_write(&self) -> bool {
        matches!(
            self,
            Self::Put(_) | Self::Delete(_) | Self::Grant | Self::Renew(_)
        )
    }

    const fn is_list(&self) -> bool {
        matches!(self, Self::Instances(_))
    }

    fn key(&self) -> &str {
        match self {
            Self::Get(key) | Self::Watch(key) | Self::Put(key) | Self::Delete(key) => key,
            Self::List | Self::Grant | Self::Renew(_) | Self::Instances(_) => "",
        }
    }
}

/// The part of the list that a call asks for.
fn part(conn: &Conn) -> Option<instance::Filter> {
    match (http::query(conn, "kind"), http::query(conn, "domain")) {
        (None, None) => Some(instance::Filter::All),
        (Some("entry"), None) => Some(instance::Filter::Entries),
        (Some("target"), Some(domain)) => Some(instance::Filter::Targets(domain.to_owned())),
        _ => None,
    }
}

async fn route(shared: &Shared, mut conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/stats") => {
            let stats = shared.lock().stats;
            return http::json(conn, Status::Ok, &stats);
        }
        (Method::Post, "/fault") => {
            let Some(fault) = http::parse(&mut conn).await else {
                return http::status(conn, Status::BadRequest);
            };
            shared.lock().fault = fault;
            return http::status(conn, Status::NoContent);
        }
        (Method::Put, "/instances") => {
            let Some(list) = http::parse::<instance::Instances>(&mut conn).await else {
                return http::status(conn, Status::BadRequest);
            };
            shared.list(list);
            return http::status(conn, Status::NoContent);
        }
        _ => {}
    }
    let Some(call) = Call::new(&conn) else {
        return http::status(conn, Status::NotFound);
    };
    count(shared, &call);
    // Read first: a slow store has got the call, and makes it in its own time.
    let Some(body) = http::body(&mut conn).await else {
        return http::cut(conn);
    };
    let fault = shared.lock().fault.clone();
    match fault {
        Fault::Outage => return http::cut(conn),
        Fault::KeysOutage if !call.is_list() => return http::cut(conn),
        Fault::Refuse => return http::status(conn, Status::ServiceUnavailable),
        Fault::Hang => {
            let _ = conn.cancel_on_disconnect(Timer::after(WAIT_MAX)).await;
            return http::cut(conn);
        }
        Fault::Slow { ms } => {
            Timer::after(Duration::from_millis(ms)).await;
        }
        Fault::None | Fault::KeysOutage | Fault::LostAnswer { .. } | Fault::MissedEvents => {}
    }
    let lost = match &fault {
        Fault::LostAnswer { prefix, reads } => {
            (call.is_write() || *reads) && call.key().starts_with(&**prefix)
        }
        _ => false,
    };
    let conn = answer(shared, conn, call, &body).await;
    if lost { http::cut(conn) } else { conn }
}

fn count(shared: &Shared, call: &Call) {
    let stats = &mut shared.lock().stats;
    stats.calls += 1;
    match call {
        Call::Get(_) | Call::List | Call::Instances(_) => stats.reads += 1,
        Call::Watch(_) => stats.watches += 1,
        Call::Put(_) | Call::Delete(_) => stats.writes += 1,
        Call::Grant | Call::Renew(_) => stats.leases += 1,
    }
}

async fn answer(shared: &Shared, conn: Conn, call: Call, body: &[u8]) -> Conn {
    let now = Instant::now();
    match call {
        Call::Get(key) => {
            let entry = shared.lock().table.get(now, &key);
            match entry {
                Some(entry) => http::json(conn, Status::Ok, &entry),
                None => http::status(conn, Status::NotFound),
            }
        }
        Call::Watch(key) => watch(shared, conn, key).await,
        Call::List => {
            let prefix = http::query(&conn, "prefix").unwrap_or_default();
            let entries = shared.lock().table.list(now, prefix);
            http::json(conn, Status::Ok, &kv::Listing { entries })
        }
        Call::Put(key) => {
            let Ok(put) = serde_json::from_slice(body) else {
                return http::status(conn, Status::BadRequest);
            };
            let mut state = shared.lock();
            let result = state.table.put(now, &key, put);
            state.wake(&key);
            drop(state);
            written(conn, result)
        }
        Call::Delete(key) => {
            let revision = http::number(&conn, "revision");
            let result = shared.lock().table.delete(now, &key, revision);
            written(conn, result)
        }
        Call::Grant => {
            let Ok(grant) = serde_json::from_slice(body) else {
                return http::status(conn, Status::BadRequest);
            };
            let lease = shared.lock().table.grant(now, grant);
            http::json(conn, Status::Ok, &lease)
        }
        Call::Renew(id) => {
            let result = shared.lock().table.renew(now, id);
            written(conn, result)
        }
        Call::Instances(part) => {
            let mut list = shared.listed(now);
            list.instances.retain(|instance| part.matches(instance));
            http::json(conn, Status::Ok, &list)
        }
    }
}

fn written<T: serde::Serialize>(conn: Conn, result: Result<T, Refused>) -> Conn {
    match result {
        Ok(value) => http::json(conn, Status::Ok, &value),
        Err(Refused::Conflict(current)) => {
            http::json(conn, Status::Conflict, &kv::Conflict { current })
        }
        Err(Refused::TooLarge) => http::status(conn, Status::PayloadTooLarge),
        Err(Refused::NoLease) => http::status(conn, Status::NotFound),
    }
}

async fn watch(shared: &Shared, mut conn: Conn, key: String) -> Conn {
    let after = http::number(&conn, "after").unwrap_or(0);
    let wait = Duration::from_millis(http::number(&conn, "wait_ms").unwrap_or(0));
    let until = Instant::now() + wait.min(WAIT_MAX);
    let stopper = conn.inner().stopper();
    let found = stopper.stop_future(newer(shared, key, after, until));
    match conn.cancel_on_disconnect(found).await {
        Some(Some(Some(entry))) => http::json(conn, Status::Ok, &entry),
        Some(_) => http::status(conn, Status::NoContent),
        None => http::cut(conn),
    }
}

/// Waits for an entry above `after`; `None` once the time is `until`.
async fn newer(shared: &Shared, key: String, after: u64, until: Instant) -> Option<kv::Entry> {
    loop {
        let (wake, woken) = async_channel::bounded::<()>(1);
        {
            let mut state = shared.lock();
            let entry = state.table.get(Instant::now(), &key);
            if entry.as_ref().is_some_and(|e| e.revision > after) {
                return entry;
            }
            state.waiters.retain(|waiter| !waiter.wake.is_closed());
            let key = key.clone();
            state.waiters.push(Waiter { key, wake });
        }
        // The write drops its waiters, which closes the channel.
        let written = async { woken.recv().await.is_err() };
        let late = async {
            Timer::at(until).await;
            false
        };
        if !written.or(late).await {
            return None;
        }
    }
}
