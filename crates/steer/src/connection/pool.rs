//! Bounded pool of connections to one address.
//!
//! Invariant: a connection is only reused after its answer was read completely. One
//! whose attempt was cancelled or timed out may still deliver that answer, and would
//! give it to another caller. The types enforce this: only [`Connection::into_idle`]
//! leads back to the pool, and drivers call it after a complete answer.

use core::marker::PhantomData;
use core::time::Duration;

use crate::clock::Time;

/// State of a connection without a request in flight.
#[derive(Debug)]
pub struct Idle;

/// State of a connection with a request in flight.
#[derive(Debug)]
pub struct Busy;

/// A connection in the state `S`, [`Idle`] or [`Busy`].
#[derive(Debug)]
pub struct Connection<C, S> {
    inner: C,
    state: PhantomData<S>,
}

impl<C> Connection<C, Busy> {
    /// Wraps a connection that was opened for a request.
    #[must_use]
    pub const fn opened(inner: C) -> Self {
        let state = PhantomData;
        Self { inner, state }
    }

    /// Returns the connection for reading and writing.
    pub const fn get(&mut self) -> &mut C {
        &mut self.inner
    }

    /// Makes the connection reusable, after its answer was read completely.
    #[must_use]
    pub fn into_idle(self) -> Connection<C, Idle> {
        let state = PhantomData;
        Connection {
            inner: self.inner,
            state,
        }
    }

    /// Returns the connection to be closed, after anything but a complete answer.
    #[must_use]
    pub fn into_inner(self) -> C {
        self.inner
    }
}

impl<C> Connection<C, Idle> {
    /// Wraps a connection that was opened ahead of need.
    #[must_use]
    pub const fn warm(inner: C) -> Self {
        let state = PhantomData;
        Self { inner, state }
    }

    fn into_busy(self) -> Connection<C, Busy> {
        Connection::opened(self.inner)
    }
}

/// Result of asking the pool for a connection.
#[derive(Debug)]
pub enum Checkout<C> {
    /// An open connection.
    Open(Connection<C, Busy>),
    /// Permission to open a connection, which already counts as open. The caller
    /// has to call [`Pool::release`] if that fails.
    Permit,
    /// The pool has reached its capacity.
    Full,
}

/// Time after which an idle connection beyond the number kept warm is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Connections of one instance to one address.
#[derive(Debug)]
pub struct Pool<C> {
    /// Idle connections and the times they became idle, oldest first.
    idle: Vec<(Time, Connection<C, Idle>)>,
    /// Connections open or being opened.
    open: usize,
    capacity: usize,
    warm: usize,
}

impl<C> Pool<C> {
    /// Creates an empty pool of at most `capacity` connections, which keeps `warm` of
    /// them open ahead of need.
    #[must_use]
    pub const fn new(capacity: usize, warm: usize) -> Self {
        Self {
            idle: Vec::new(),
            open: 0,
            capacity,
            warm,
        }
    }

    /// Returns one instance's share of the connections that a target accepts; at
    /// least one.
    #[must_use]
    pub fn per_instance(connections: usize, instances: usize) -> usize {
        (connections / instances.max(1)).max(1)
    }

    /// Takes the most recently used idle connection, so that surplus ones reach
    /// [`IDLE_TIMEOUT`]. Without one, asks for permission to open a connection.
    pub fn take(&mut self) -> Checkout<C> {
        if let Some((_, connection)) = self.idle.pop() {
            return Checkout::Open(connection.into_busy());
        }
        self.permit()
    }

    /// Asks for permission to open a connection, even if others are idle.
    pub fn permit(&mut self) -> Checkout<C> {
        if self.open >= self.capacity {
            return Checkout::Full;
        }
        self.open += 1;
        Checkout::Permit
    }

    /// Adds an idle connection: one whose answer was read completely, or one opened
    /// ahead of need after [`Pool::reserve_warm`] returned true.
    pub fn put(&mut self, now: Time, connection: Connection<C, Idle>) {
        self.idle.push((now, connection));
    }

    /// Removes a connection from the count after it was closed or failed to open.
    pub const fn release(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns whether a connection should be opened ahead of need, and if so counts
    /// it as open.
    pub const fn reserve_warm(&mut self) -> bool {
        let is_due = self.open < self.warm && self.open < self.capacity;
        self.open += is_due as usize;
        is_due
    }

    /// Removes and returns the connections that have been idle for [`IDLE_TIMEOUT`],
    /// to be closed. At least `warm` connections stay open.
    pub fn expire(&mut self, now: Time) -> Vec<C> {
        let stale = self
            .idle
            .partition_point(|i| now.since(i.0) >= IDLE_TIMEOUT);
        let surplus = self.open.saturating_sub(self.warm);
        let count = stale.min(surplus);
        self.open -= count;
        self.idle.drain(..count).map(|i| i.1.inner).collect()
    }

    /// Removes and returns all idle connections, to be closed.
    pub fn drain_idle(&mut self) -> Vec<C> {
        self.open = self.open.saturating_sub(self.idle.len());
        self.idle.drain(..).map(|i| i.1.inner).collect()
    }

    /// Returns the number of connections open or being opened.
    #[must_use]
    pub const fn open(&self) -> usize {
        self.open
    }
}
