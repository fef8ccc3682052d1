//! Connections to one place: bounded, warmed, and never reused in doubt.
//!
//! A connection whose attempt was cancelled or timed out may still carry that
//! attempt's answer; reused, it would give a caller another caller's answer.
//! The type keeps it out: only [`Connection::into_idle`] leads back to the pool,
//! and it is for the driver to call when the answer was read to its end.

use core::marker::PhantomData;
use core::time::Duration;

use crate::clock::Time;

/// A connection that carries no request.
#[derive(Debug)]
pub struct Idle;

/// A connection that carries a request.
#[derive(Debug)]
pub struct Busy;

/// One connection in a state of its life.
#[derive(Debug)]
pub struct Connection<C, S> {
    inner: C,
    state: PhantomData<S>,
}

impl<C> Connection<C, Busy> {
    /// A connection just opened for a request.
    #[must_use]
    pub const fn opened(inner: C) -> Self {
        let state = PhantomData;
        Self { inner, state }
    }

    /// The connection, to write and read.
    pub const fn get(&mut self) -> &mut C {
        &mut self.inner
    }

    /// The whole answer was read: it may carry another request.
    #[must_use]
    pub fn into_idle(self) -> Connection<C, Idle> {
        let state = PhantomData;
        Connection {
            inner: self.inner,
            state,
        }
    }

    /// Anything else happened: it is for closing.
    #[must_use]
    pub fn into_inner(self) -> C {
        self.inner
    }
}

impl<C> Connection<C, Idle> {
    /// A connection opened ahead of need.
    #[must_use]
    pub const fn warm(inner: C) -> Self {
        let state = PhantomData;
        Self { inner, state }
    }

    fn into_busy(self) -> Connection<C, Busy> {
        Connection::opened(self.inner)
    }
}

/// What a request gets.
#[derive(Debug)]
pub enum Checkout<C> {
    /// A connection that is open.
    Open(Connection<C, Busy>),
    /// Leave to open one; [`Pool::release`] is due if that fails.
    Permit,
    /// The capacity is reached: the place counts as busy.
    Full,
}

/// Time after which an idle connection above the warm ones is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Connections of one instance to one place.
#[derive(Debug)]
pub struct Pool<C> {
    idle: Vec<(Time, Connection<C, Idle>)>,
    open: usize,
    capacity: usize,
    warm: usize,
}

impl<C> Pool<C> {
    /// An empty pool of at most `capacity` connections, `warm` of them kept open
    /// ahead of need.
    #[must_use]
    pub const fn new(capacity: usize, warm: usize) -> Self {
        Self {
            idle: Vec::new(),
            open: 0,
            capacity,
            warm,
        }
    }

    /// This instance's share of the connections that a target takes.
    #[must_use]
    pub fn per_instance(connections: usize, instances: usize) -> usize {
        (connections / instances.max(1)).max(1)
    }

    /// Takes the connection used last: the others age and can be closed.
    pub fn take(&mut self) -> Checkout<C> {
        if let Some((_, connection)) = self.idle.pop() {
            return Checkout::Open(connection.into_busy());
        }
        self.permit()
    }

    /// Leave to open a connection, whatever lies idle.
    pub fn permit(&mut self) -> Checkout<C> {
        if self.open >= self.capacity {
            return Checkout::Full;
        }
        self.open += 1;
        Checkout::Permit
    }

    /// Takes back a connection that has carried its whole answer, or a warm
    /// one that [`Pool::reserve_warm`] asked for.
    pub fn put(&mut self, now: Time, connection: Connection<C, Idle>) {
        self.idle.push((now, connection));
    }

    /// A connection was closed or couldn't be opened.
    pub const fn release(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Whether one should be opened ahead of need; counts it as open.
    pub const fn reserve_warm(&mut self) -> bool {
        let is_due = self.open < self.warm && self.open < self.capacity;
        self.open += is_due as usize;
        is_due
    }

    /// Takes out what has been idle too long, for closing.
    pub fn expire(&mut self, now: Time) -> Vec<C> {
        let stale = self
            .idle
            .partition_point(|i| now.since(i.0) >= IDLE_TIMEOUT);
        let surplus = self.open.saturating_sub(self.warm);
        let count = stale.min(surplus);
        self.open -= count;
        self.idle.drain(..count).map(|i| i.1.inner).collect()
    }

    /// Connections open or being opened.
    #[must_use]
    pub const fn open(&self) -> usize {
        self.open
    }
}
