//! Keeps up with the platform's store: the operator's document, evacuations,
//! targets and instances, read from the store or from another instance.
//!
//! Invariants: after each answer the process knows at least what the store held
//! at the revision it goes on from, and nothing it knows is older than what it
//! has already applied.

mod apply;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apply::{take, take_changes};
use futures_lite::future;
use platform::document;
use platform::store::{Changes, Error, Freshness, Listing};
use steer::clock::Time;
use steer::process::direct::replica::{Item, Update};
use steer::process::direct::upstream::{STALE, Upstream, weight};
use steer::process::direct::{Contact, Direct};
use wire::near;

use super::peer::Connection;
use super::{Executor, Shared, events, lock, member};

/// Time that a watch waits for changes. Also the longest time for which a
/// connection that went silent goes unnoticed, with the time of a call.
const WAIT: Duration = Duration::from_secs(2);

/// The same for a call to another instance, which costs nothing.
const WAIT_PEER: Duration = Duration::from_secs(1);

/// Pause after a call to the store failed, so that a store that is down or busy
/// isn't pressed further; each call is paid.
const PAUSE: Duration = Duration::from_millis(400);

/// The same for an instance that usually reads from another: if the store is
/// away for all, that one finds out soon enough when it is back.
const PAUSE_OTHERS: Duration = Duration::from_millis(1600);

/// Pause before another instance is tried in place of one that failed.
const PAUSE_PEER: Duration = Duration::from_millis(50);

/// Time for the list of instances that a start begins with.
const MEMBERS: Duration = Duration::from_millis(600);

/// Instances of the own domain that are asked at the start.
const ASKED: usize = 2;

/// Time that neighbours have to answer before the store is listed, which is paid
/// and takes longer.
const AHEAD: Duration = Duration::from_millis(150);

/// Pause after a start that read the store: where all start together, the rows
/// that say who reads for whom are written meanwhile.
const SETTLE: Duration = Duration::from_millis(800);

/// Time between looks at whether another instance knows more.
const LOOK: Duration = Duration::from_millis(300);

/// Everything is read by one call: it costs the same as one prefix.
const ALL: &str = "";

/// Keeps up for as long as the process runs.
pub async fn follow(shared: Arc<Shared>, executor: Executor) {
    let mut reader = Reader {
        shared,
        executor,
        link: None,
        lost: false,
        from: None,
    };
    while !reader.begin().await {
        smol::Timer::after(PAUSE).await;
    }
    loop {
        reader.go_on().await;
    }
}

struct Reader {
    shared: Arc<Shared>,
    executor: Executor,
    /// Connection to the instance last read from.
    link: Option<Connection>,
    /// Whether the last call to the store failed.
    lost: bool,
    /// Where it last read from, as the log names it.
    from: Option<Arc<str>>,
}

impl Reader {
    /// Learns everything for the first time: from an instance of the own domain
    /// that is in touch or from the store, whichever is sooner, else from whoever
    /// the settings name. Callers wait meanwhile, and neighbours that are listed
    /// may have ended with all the others.
    async fn begin(&mut self) -> bool {
        let neighbours = self.neighbours().await;
        let shared = Arc::clone(&self.shared);
        let told = async {
            for (name, addr) in neighbours {
                let asked = shared.now();
                if let Some((link, changes)) = first_told(&shared, addr, &self.executor).await {
                    return First::Told(name, link, changes, asked);
                }
            }
            future::pending().await
        };
        let read = async {
            smol::Timer::after(AHEAD).await;
            First::Read(list_and_watch(&shared).await)
        };
        match future::or(told, read).await {
            First::Told(name, link, changes, asked) => {
                self.link = Some(link);
                if take_changes(&shared, changes, asked) {
                    self.reads_from(&name);
                    return true;
                }
            }
            First::Read(read) => {
                if self.take_all(read) {
                    self.reads_from("store");
                    smol::Timer::after(SETTLE).await;
                    return true;
                }
            }
        }
        // Better what is a little older than nothing: the store is away.
        let seeds = self.shared.settings.seeds.clone();
        for seed in seeds {
            let own = seed == self.shared.settings.listen.peers;
            if !own && self.ask(seed, Duration::ZERO, |_, _| true).await {
                self.reads_from("seed");
                return true;
            }
        }
        false
    }

    /// Instances of the own domain by the store's list, in the order in which
    /// they read the store.
    async fn neighbours(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let shared = &self.shared;
        let late = async {
            smol::Timer::after(MEMBERS).await;
            Err(Error::Lost)
        };
        let list = shared.store.list(member::KEY_PREFIX, Freshness::Stale);
        let Ok(listing) = future::or(list, late).await else {
            return Vec::new();
        };
        let row = |item: &platform::store::Item| {
            let name = item.key.strip_prefix(member::KEY_PREFIX)?;
            let row: near::Row = serde_json::from_slice(item.value.as_deref()?).ok()?;
            let near = *row.domain == *shared.settings.domain && *name != *shared.settings.name;
            near.then(|| (Arc::from(name), row.peers))
        };
        let mut found: Vec<(Arc<str>, SocketAddr)> = listing.items.iter().filter_map(row).collect();
        found.sort_by_key(|(name, _)| core::cmp::Reverse(weight(name)));
        found.truncate(ASKED);
        found
    }

    /// Reads on from where the next changes are to come from.
    async fn go_on(&mut self) {
        let upstream = self.shared.read(|now, d| d.upstream(now));
        match &upstream {
            Upstream::Store => {
                self.link = None;
                if self.watch().await {
                    self.reads_from("store");
                    let pause = self.shared.read(|now, d| d.gather(now));
                    smol::Timer::after(pause).await;
                    return;
                }
                self.shared
                    .update(|now, d| d.upstream_failed(now, &upstream));
                let first = self.shared.read(|now, d| d.is_reader(now));
                smol::Timer::after(if first { PAUSE } else { PAUSE_OTHERS }).await;
            }
            Upstream::Peer { name, addr } => {
                if self.ask(*addr, WAIT_PEER, is_useful).await {
                    self.reads_from(name);
                    return;
                }
                events::upstream_failed(&self.shared, name);
                self.shared
                    .update(|now, d| d.upstream_failed(now, &upstream));
                smol::Timer::after(PAUSE_PEER).await;
            }
        }
    }

    fn reads_from(&mut self, name: &str) {
        if self.from.as_deref() != Some(name) {
            events::upstream_changed(&self.shared, name);
            self.from = Some(name.into());
        }
    }

    /// Asks another instance for what is missing. Says whether its answer was
    /// good for something.
    async fn ask(
        &mut self,
        addr: SocketAddr,
        wait: Duration,
        fit: impl Fn(&Shared, (&near::Changes, Time)) -> bool,
    ) -> bool {
        if self.link.as_ref().is_none_or(|link| link.addr() != addr) {
            self.link = Connection::open(addr, &self.executor).await;
        }
        let Some(link) = &self.link else {
            return false;
        };
        let known = lock(&self.shared.replica).revision();
        let asked = self.shared.now();
        let answer = link.changes(known, wait).await;
        match answer {
            Some(changes) if changes.revision > 0 && fit(&self.shared, (&changes, asked)) => {
                take_changes(&self.shared, changes, asked)
            }
            Some(_) => false,
            None => {
                self.link = None;
                false
            }
        }
    }

    /// Takes everything as the store has told it.
    fn take_all(&mut self, read: Result<Read, Error>) -> bool {
        let Some(read) = self.heard(read) else {
            return false;
        };
        let Read {
            listing,
            changes,
            asked,
        } = read;
        let revision = changes.revision.max(listing.revision);
        let items = listing.items.into_iter().chain(changes.events);
        let update = Update {
            revision,
            whole: true,
            items: items.map(|i| item(&self.shared, i)).collect(),
        };
        take(&self.shared, update, Contact::NOW, Some(asked));
        true
    }

    /// Waits for changes in the store.
    async fn watch(&mut self) -> bool {
        let known = lock(&self.shared.replica).revision();
        let wait = self.shared.read(|now, d| d.watch_wait(now, WAIT));
        let asked = self.shared.now();
        let watched = self.shared.store.watch(ALL, known, wait).await;
        if let Err(Error::Compacted | Error::Garbled(_)) = watched {
            let read = list_and_watch(&self.shared).await;
            return self.take_all(read);
        }
        let Some(changes) = self.heard(watched) else {
            return false;
        };
        // That nothing has changed is said at the end of the wait; when the store
        // told of a change isn't known.
        let waited = self.shared.now().since(asked) >= wait;
        let confirmed = if waited && changes.events.is_empty() {
            asked + wait
        } else {
            asked
        };
        let items = changes.events.into_iter();
        let update = Update {
            revision: changes.revision.max(known),
            whole: false,
            items: items.map(|i| item(&self.shared, i)).collect(),
        };
        take(&self.shared, update, Contact::NOW, Some(confirmed));
        true
    }

    /// Says in the log when the store is lost, and when it is back.
    fn heard<T>(&mut self, answer: Result<T, Error>) -> Option<T> {
        let lost = core::mem::replace(&mut self.lost, answer.is_err());
        match answer {
            Ok(answer) => {
                if lost {
                    events::store_recovered(&self.shared, "watch");
                }
                Some(answer)
            }
            Err(error) => {
                if !lost {
                    events::store_lost(&self.shared, "watch", &error.to_string());
                }
                None
            }
        }
    }
}

/// What came first at a start.
enum First {
    /// An instance, by name, has told everything.
    Told(Arc<str>, Connection, near::Changes, Time),
    /// The store has answered.
    Read(Result<Read, Error>),
}

/// Asks an instance for everything; `None` if it gives no answer, or one that
/// lies behind the store.
async fn first_told(
    shared: &Shared,
    addr: SocketAddr,
    executor: &Executor,
) -> Option<(Connection, near::Changes)> {
    let link = Connection::open(addr, executor).await?;
    let known = lock(&shared.replica).revision();
    let changes = link.changes(known, Duration::ZERO).await?;
    is_fresh(&changes).then_some((link, changes))
}

fn is_fresh(changes: &near::Changes) -> bool {
    changes.revision > 0 && changes.age().is_some_and(|age| age < STALE)
}

/// Whether what an upstream told, asked at `asked`, is worth reading on from it.
fn is_useful(shared: &Shared, (changes, asked): (&near::Changes, Time)) -> bool {
    let useful = |now: Time, direct: &Direct| {
        let stale = changes.staleness(now.since(asked));
        // One that tells of everything is asked again at once for the rest.
        stale.is_none() && direct.revision() == 0 || direct.is_useful(stale)
    };
    is_fresh(changes) && shared.read(useful)
}

/// Everything that the store holds.
struct Read {
    listing: Listing,
    /// What has changed since.
    changes: Changes,
    /// When the last of it was asked for.
    asked: Time,
}

/// Reads everything from the store: a list that may be old, at a tenth of the
/// price, and what has changed since.
async fn list_and_watch(shared: &Shared) -> Result<Read, Error> {
    let store = &shared.store;
    let listing = store.list(ALL, Freshness::Stale).await?;
    let asked = shared.now();
    match store.watch(ALL, listing.revision, Duration::ZERO).await {
        Ok(changes) => Ok(Read {
            listing,
            changes,
            asked,
        }),
        Err(Error::Compacted) => {
            let asked = shared.now();
            let listing = store.list(ALL, Freshness::Latest).await?;
            Ok(Read {
                listing,
                changes: Changes::default(),
                asked,
            })
        }
        Err(error) => Err(error),
    }
}

/// An item as it is kept and told to others: without keys.
fn item(shared: &Shared, item: platform::store::Item) -> Item {
    let value = match item.value {
        Some(value) if item.key == document::KEY => match document::conceal(&value) {
            Ok(concealed) => Some(concealed),
            Err(error) => {
                events::input_rejected(shared, &item.key, &error.to_string());
                Some(Vec::new())
            }
        },
        other => other,
    };
    Item {
        key: item.key.into(),
        revision: item.revision,
        value: value.map(Arc::from),
    }
}

/// Asks another instance whenever one has known more than this one for two
/// looks in a row. One look isn't enough: what the store has just told one
/// instance is on its way to the others.
pub async fn catch_up(shared: Arc<Shared>, executor: Executor) {
    let mut before = None;
    loop {
        smol::Timer::after(LOOK).await;
        let (ahead, freshest, revision) =
            shared.read(|now, d| (d.ahead(now), d.freshest(now), d.revision()));
        let stuck = before == Some(revision);
        before = ahead.map(|_| revision);
        if let Some(addr) = freshest.or(ahead.filter(|_| stuck)) {
            let asked = shared.now();
            let answer = match Connection::open(addr, &executor).await {
                Some(link) => link.changes(revision, Duration::ZERO).await,
                None => None,
            };
            let outcome = if answer.is_some() { "told" } else { "nothing" };
            events::peer_queried(&shared, addr, revision, outcome);
            if let Some(changes) = answer {
                take_changes(&shared, changes, asked);
            }
        }
    }
}
