//! Follows the platform's store: the operator's configuration, evacuations, targets
//! and registrations of instances, read from the store or from another instance.
//!
//! Invariants: after each update the process knows everything that the store held
//! at the revision it continues from, and no item is replaced by an older revision
//! of it.

mod apply;
mod items;
mod read;
mod start;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use apply::{Query, apply_changes, apply_update};
use futures_lite::future;
use platform::store::{Changes, Error, Freshness};
use read::Snapshot;
use start::StartPeers;
use steer::clock::Time;
use steer::process::direct::lag::UpstreamCall;
use steer::process::direct::replica::Update;
use steer::process::direct::upstream::{START_DELAY, UPSTREAM_STALE_AGE, Upstream};
use steer::process::direct::{Direct, StoreContact};
use wire::direct;

use super::peer::{CALL_TIMEOUT, Connection};
use super::{Executor, Shared, events, lock};

/// Maximum time that a watch of the store waits for changes. A connection that goes
/// silent is noticed after this time and the time limit of a call.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Call for a first answer, for which an instance that knows nothing yet waits.
const FIRST_CALL: UpstreamCall = UpstreamCall {
    wait: Duration::from_secs(1),
    timeout: Duration::from_millis(1700),
};

/// Call that is answered at once.
const AT_ONCE: UpstreamCall = UpstreamCall {
    wait: Duration::ZERO,
    timeout: CALL_TIMEOUT,
};

/// Pause after a failed call to the store, so as not to add load to a store that is
/// down or busy; each call is billed.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// The same for an instance that usually reads from another: while the store is
/// unreachable for all, that instance retries sooner and notices the recovery.
const NON_READER_RETRY_PAUSE: Duration = Duration::from_millis(1600);

/// Pause after a failed call to another instance, before the next one is tried.
const PEER_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Pause after the store was read at the start. Where all instances start together
/// they register meanwhile, and their names decide which of them read the store.
const START_PAUSE: Duration = Duration::from_millis(800);

/// Time between two checks by [`catch_up`].
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(300);

/// Reads the store's content for the first time, then follows its changes for as
/// long as the process runs.
pub async fn follow(shared: Arc<Shared>, executor: Executor) {
    let mut reader = Reader {
        shared,
        executor,
        connection: None,
        is_lost: false,
        source: None,
    };
    while !reader.bootstrap().await {
        smol::Timer::after(STORE_RETRY_PAUSE).await;
    }
    loop {
        reader.advance().await;
    }
}

/// Reads the store's content from the present upstream.
struct Reader {
    shared: Arc<Shared>,
    executor: Executor,
    /// Connection to the instance last read from.
    connection: Option<Connection>,
    /// Whether the last read of the store failed.
    is_lost: bool,
    /// Last source as logged: `store`, `seed` or the name of an instance.
    source: Option<Arc<str>>,
}

impl Reader {
    /// Reads everything for the first time: from an instance of the own domain that
    /// is in touch with the store or from the store, whichever answers first, else
    /// from the seeds in the settings. Returns whether it succeeded. The store isn't
    /// left to the last, as callers wait meanwhile and all listed instances may have
    /// ended.
    async fn bootstrap(&mut self) -> bool {
        let StartPeers { peers, delay } = start::start_peers(&self.shared, &self.executor).await;
        let shared = Arc::clone(&self.shared);
        // Whether an instance that is asked is there.
        let is_starting = AtomicBool::new(false);
        let from_peer = async {
            if peers.is_empty() {
                return future::pending().await;
            }
            // They may be starting too, and answer once they know something.
            loop {
                for (name, addr) in &peers {
                    let Some(connection) = Connection::open(*addr, &self.executor).await else {
                        continue;
                    };
                    is_starting.store(true, Ordering::Relaxed);
                    let query = Query::new(&shared);
                    if let Some(changes) = read_snapshot(&connection, query).await {
                        return FirstAnswer::Peer(Arc::clone(name), connection, changes, query);
                    }
                }
                smol::Timer::after(PEER_RETRY_PAUSE).await;
            }
        };
        let from_store = async {
            smol::Timer::after(START_DELAY.min(delay)).await;
            if is_starting.load(Ordering::Relaxed) {
                smol::Timer::after(delay.saturating_sub(START_DELAY)).await;
            }
            FirstAnswer::Store(read::list_and_watch(&shared, Freshness::Stale).await)
        };
        match future::or(from_peer, from_store).await {
            FirstAnswer::Peer(name, connection, changes, query) => {
                self.connection = Some(connection);
                if apply_changes(&shared, changes, query) {
                    self.set_source(&name);
                    return true;
                }
            }
            FirstAnswer::Store(result) => {
                if self.apply_full(result) {
                    self.set_source("store");
                    smol::Timer::after(START_PAUSE).await;
                    return true;
                }
            }
        }
        // The store is unreachable: a seed's data is accepted at any age.
        let seeds = self.shared.settings.seeds.clone();
        for seed in seeds {
            let is_own = seed == self.shared.settings.listen.peers;
            if !is_own && self.read_peer(seed, AT_ONCE, |_, _| true).await {
                self.set_source("seed");
                return true;
            }
        }
        false
    }

    /// Waits for the next changes from the present upstream and applies them. After
    /// a failure it pauses; the next call may then choose another upstream.
    async fn advance(&mut self) {
        let upstream = self.shared.read(|now, d| d.upstream(now));
        match &upstream {
            Upstream::Store => {
                self.connection = None;
                if self.watch().await {
                    self.set_source("store");
                    let pause = self.shared.read(|now, d| d.read_pause(now));
                    smol::Timer::after(pause).await;
                    return;
                }
                self.shared
                    .update(|now, d| d.upstream_failed(now, &upstream));
                let is_reader = self.shared.read(|now, d| d.is_reader(now));
                smol::Timer::after(if is_reader {
                    STORE_RETRY_PAUSE
                } else {
                    NON_READER_RETRY_PAUSE
                })
                .await;
            }
            Upstream::Peer { name, addr } => {
                let call = self.shared.read(|now, d| d.upstream_call(now));
                if self.read_peer(*addr, call, is_useful).await {
                    self.set_source(name);
                    return;
                }
                events::upstream_failed(&self.shared, name);
                self.shared
                    .update(|now, d| d.upstream_failed(now, &upstream));
                smol::Timer::after(PEER_RETRY_PAUSE).await;
            }
        }
    }

    /// Logs the source that was read from, if it has changed.
    fn set_source(&mut self, name: &str) {
        if self.source.as_deref() != Some(name) {
            events::upstream_changed(&self.shared, name);
            self.source = Some(name.into());
        }
    }

    /// Applies the changes that another instance knows of, if `accept` holds for its
    /// answer. Returns whether they were applied.
    async fn read_peer(
        &mut self,
        addr: SocketAddr,
        call: UpstreamCall,
        accept: impl Fn(&Shared, (&direct::Changes, Time)) -> bool,
    ) -> bool {
        if self
            .connection
            .as_ref()
            .is_none_or(|connection| connection.addr() != addr)
        {
            self.connection = Connection::open(addr, &self.executor).await;
        }
        let Some(connection) = &self.connection else {
            return false;
        };
        let query = Query::new(&self.shared);
        let answer = connection.changes(query.known, call).await;
        match answer {
            Some(changes)
                if changes.revision > 0 && accept(&self.shared, (&changes, query.sent_at)) =>
            {
                apply_changes(&self.shared, changes, query)
            }
            Some(_) => false,
            None => {
                self.connection = None;
                false
            }
        }
    }

    /// Applies a full read of the store.
    fn apply_full(&mut self, result: Result<Snapshot, Error>) -> bool {
        let Some(snapshot) = self.log_transition(result) else {
            return false;
        };
        let update = Update {
            revision: snapshot.revision,
            is_full: true,
            since: None,
            items: snapshot.items,
        };
        let confirmed = Some(snapshot.confirmed);
        apply_update(&self.shared, update, StoreContact::NOW, confirmed);
        true
    }

    /// Applies changes that the store told, by which all that it held at `confirmed` is
    /// known.
    fn apply_events(&self, changes: Changes, confirmed: Option<Time>) {
        let update = Update {
            revision: changes.revision.max(self.known()),
            is_full: false,
            since: None,
            items: items::convert(&self.shared, changes.events),
        };
        apply_update(&self.shared, update, StoreContact::NOW, confirmed);
    }

    /// Revision up to which everything is known.
    fn known(&self) -> u64 {
        lock(&self.shared.replica).revision()
    }

    /// Waits for changes in the store and applies them. If they are too long for one
    /// answer, reads them in parts; if their history is gone or the answer malformed,
    /// reads everything anew.
    async fn watch(&mut self) -> bool {
        let known = self.known();
        let wait = self.shared.read(|now, d| d.watch_wait(now, WATCH_WAIT));
        let sent_at = self.shared.now();
        let watched = self.shared.store.watch(read::ALL_KEYS, known, wait).await;
        match &watched {
            Err(error @ Error::TooLong { .. }) => {
                events::store_reread(&self.shared, "parts", known, error);
                return self.read_parts(known).await;
            }
            Err(error @ (Error::Compacted | Error::Malformed(_))) => {
                return self.relist(known, error).await;
            }
            _ => {}
        }
        let Some(changes) = self.log_transition(watched) else {
            return false;
        };
        // An answer without changes after the whole wait describes the store at the
        // end of it. When an answer with changes was made isn't known, so it only
        // describes the store at the time of the call.
        let is_timeout = self.shared.now().since(sent_at) >= wait;
        let confirmed = if is_timeout && changes.events.is_empty() {
            sent_at + wait
        } else {
            sent_at
        };
        self.apply_events(changes, Some(confirmed));
        true
    }

    /// Reads the changes after a revision in parts, each applied as soon as it is there.
    async fn read_parts(&mut self, known: u64) -> bool {
        let sent_at = self.shared.now();
        match self.apply_parts(known).await {
            Ok(revision) => {
                self.log_transition(Ok(()));
                let end = Changes {
                    events: Vec::new(),
                    revision,
                };
                self.apply_events(end, Some(sent_at));
                true
            }
            Err(error @ (Error::TooLong { .. } | Error::Compacted | Error::Malformed(_))) => {
                self.relist(known, &error).await
            }
            Err(error) => self.log_transition(Err::<(), _>(error)).is_some(),
        }
    }

    /// Applies the changes after a revision in parts; returns the revision up to which all
    /// are known then.
    async fn apply_parts(&self, known: u64) -> Result<u64, Error> {
        let store = &self.shared.store;
        let mut revision = u64::MAX;
        for prefix in read::PARTS {
            let changes = store.watch(prefix, known, Duration::ZERO).await?;
            revision = revision.min(changes.revision);
            self.apply_part(changes.events);
        }
        let config = read::config(&self.shared).await?;
        self.apply_part(config.events);
        Ok(revision.min(config.revision))
    }

    /// Applies items of which no earlier change is missing. Others may be missing up to
    /// their revision.
    fn apply_part(&self, events: Vec<platform::store::Item>) {
        let revision = self.known();
        self.apply_events(Changes { events, revision }, None);
    }

    /// Reads everything anew after `error`; the configuration first, since the list of
    /// everything may take seconds.
    async fn relist(&mut self, known: u64, error: &Error) -> bool {
        events::store_reread(&self.shared, "list", known, error);
        // If it fails, the list of everything tells.
        if let Ok(config) = read::config(&self.shared).await {
            self.apply_part(config.events);
        }
        // A list that may be old may end before the history that is left.
        let result = read::list_and_watch(&self.shared, Freshness::Latest).await;
        self.apply_full(result)
    }

    /// Logs when reads of the store begin to fail and when they succeed again.
    fn log_transition<T>(&mut self, answer: Result<T, Error>) -> Option<T> {
        let was_lost = core::mem::replace(&mut self.is_lost, answer.is_err());
        match answer {
            Ok(answer) => {
                if was_lost {
                    events::store_recovered(&self.shared, "watch");
                }
                Some(answer)
            }
            Err(error) => {
                if !was_lost {
                    events::store_lost(&self.shared, "watch", &error.to_string());
                }
                None
            }
        }
    }
}

/// First answer at the start.
enum FirstAnswer {
    /// Everything that the named instance knows, and when it was queried.
    Peer(Arc<str>, Connection, direct::Changes, Query),
    /// Result of reading the store.
    Store(Result<Snapshot, Error>),
}

/// Reads everything from another instance; `None` if it does not answer or isn't up
/// to date with the store.
async fn read_snapshot(connection: &Connection, query: Query) -> Option<direct::Changes> {
    let changes = connection.changes(query.known, FIRST_CALL).await?;
    is_fresh(&changes).then_some(changes)
}

/// Whether a peer has a store revision that the store has confirmed lately.
fn is_fresh(changes: &direct::Changes) -> bool {
    changes.revision > 0 && changes.age().is_some_and(|age| age < UPSTREAM_STALE_AGE)
}

/// Whether an answer to a query sent at `sent_at` is recent enough to go on reading
/// from that instance.
fn is_useful(shared: &Shared, (changes, sent_at): (&direct::Changes, Time)) -> bool {
    let useful = |now: Time, direct: &Direct| {
        // One that has just started may not know a bound on its lag yet.
        let lag = changes.staleness(now.since(sent_at)).or(changes.age());
        direct.is_worth_reading(now, lag)
    };
    shared.read(useful)
}

/// Reads changes from another instance while this one is too stale to take callers
/// with keys, or when another has been ahead for two checks in a row without progress
/// here. One check isn't enough: a change that has just reached one instance is
/// usually on its way to the others.
pub async fn catch_up(shared: Arc<Shared>, executor: Executor) {
    let mut previous = None;
    loop {
        smol::Timer::after(CATCH_UP_INTERVAL).await;
        let (ahead, freshest, revision) =
            shared.read(|now, d| (d.peer_ahead(now), d.fresh_peer(now), d.revision()));
        let is_stuck = previous == Some(revision);
        previous = ahead.map(|_| revision);
        if let Some(addr) = freshest.or(ahead.filter(|_| is_stuck)) {
            let query = Query::new(&shared);
            let answer = match Connection::open(addr, &executor).await {
                Some(connection) => connection.changes(query.known, AT_ONCE).await,
                None => None,
            };
            let outcome = if answer.is_some() { "told" } else { "nothing" };
            events::peer_queried(&shared, addr, revision, outcome);
            if let Some(changes) = answer {
                apply_changes(&shared, changes, query);
            }
        }
    }
}
