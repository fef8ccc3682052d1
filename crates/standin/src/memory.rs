//! A store in memory behind the same trait, for other crates' tests.
//!
//! Invariant: it keeps to the same rules as the store stand-in, for both run
//! the same [`table::Table`].

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use smol::Timer;
use smol::future::FutureExt;
use store::Pending;
use store::error::Error;
use wire::{instance, kv};

use crate::table;

/// What goes wrong with calls from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// No connection can be opened; nothing takes effect.
    Unreachable,
    /// Calls time out; nothing takes effect.
    TimedOut,
    /// Writes take effect, but their answers are lost.
    LostAnswer,
}

struct State {
    table: table::Table,
    instances: instance::Instances,
    fault: Fault,
    calls: u64,
    changed: (Sender<()>, Receiver<()>),
}

/// A store in memory.
pub struct Memory(Mutex<State>);

impl Default for Memory {
    fn default() -> Self {
        Self(Mutex::new(State {
            table: table::Table::default(),
            instances: instance::Instances::default(),
            fault: Fault::None,
            calls: 0,
            changed: async_channel::bounded(1),
        }))
    }
}

impl Memory {
    /// Switches a fault on; [`Fault::None`] heals.
    pub fn fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Replaces the list of instances.
    pub fn list(&self, instances: instance::Instances) {
        self.lock().instances = instances;
    }

    /// Calls counted so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read<T>(&self, read: impl FnOnce(&mut State) -> T) -> Result<T, Error> {
        let mut state = self.lock();
        state.calls += 1;
        match state.fault {
            Fault::None | Fault::LostAnswer => Ok(read(&mut state)),
            Fault::Unreachable => Err(Error::Unreachable),
            Fault::TimedOut => Err(Error::TimedOut),
        }
    }

    fn write<T>(
        &self,
        write: impl FnOnce(&mut State) -> Result<T, table::Refused>,
    ) -> Result<T, Error> {
        let mut state = self.lock();
        state.calls += 1;
        match state.fault {
            Fault::None | Fault::LostAnswer => {}
            Fault::Unreachable => return Err(Error::Unreachable),
            Fault::TimedOut => return Err(Error::TimedOut),
        }
        let result = write(&mut state);
        // Dropping the old channel wakes every watch.
        state.changed = async_channel::bounded(1);
        if state.fault == Fault::LostAnswer {
            return Err(Error::Lost);
        }
        result.map_err(|refused| match refused {
            table::Refused::Conflict(current) => Error::Conflict { current },
            table::Refused::TooLarge => Error::TooLarge {
                bytes: kv::VALUE_MAX + 1,
            },
            table::Refused::NoLease => Error::LeaseLapsed,
        })
    }
}

impl store::Store for Memory {
    fn get<'a>(&'a self, key: &'a str) -> Pending<'a, Option<kv::Entry>> {
        let now = Instant::now();
        Box::pin(async move { self.read(|state| state.table.get(now, key)) })
    }

    fn put<'a>(&'a self, key: &'a str, put: kv::Put) -> Pending<'a, kv::Written> {
        let now = Instant::now();
        Box::pin(async move { self.write(|state| state.table.put(now, key, put)) })
    }

    fn delete<'a>(&'a self, key: &'a str, revision: Option<u64>) -> Pending<'a, kv::Written> {
        let now = Instant::now();
        Box::pin(async move { self.write(|state| state.table.delete(now, key, revision)) })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait: Duration,
    ) -> Pending<'a, Option<kv::Entry>> {
        let until = Instant::now() + wait;
        let now = Instant::now;
        Box::pin(async move {
            loop {
                let seen = |state: &mut State| {
                    let entry = state.table.get(now(), key);
                    let newer = entry.filter(|e| e.revision > after);
                    (newer, state.changed.1.clone())
                };
                let (newer, changed) = self.read(seen)?;
                if newer.is_some() || now() >= until {
                    return Ok(newer);
                }
                let written = async {
                    let _ = changed.recv().await;
                };
                let late = async {
                    Timer::at(until).await;
                };
                written.or(late).await;
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> Pending<'a, Vec<kv::Entry>> {
        let now = Instant::now();
        Box::pin(async move { self.read(|state| state.table.list(now, prefix)) })
    }

    fn grant(&self, ttl: Duration) -> Pending<'_, kv::Lease> {
        let now = Instant::now();
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        Box::pin(async move {
            self.write(|state| Ok(state.table.grant(now, kv::LeaseRequest { ttl_ms })))
        })
    }

    fn renew(&self, id: u64) -> Pending<'_, kv::Lease> {
        let now = Instant::now();
        Box::pin(async move { self.write(|state| state.table.renew(now, id)) })
    }

    fn instances<'a>(&'a self, part: &'a instance::Filter) -> Pending<'a, instance::Instances> {
        Box::pin(async move {
            self.read(|state| {
                let mut list = state.instances.clone();
                list.instances.retain(|i| part.matches(i));
                list
            })
        })
    }
}
