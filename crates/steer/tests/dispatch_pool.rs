//! Tests of connection pools.

use steer::clock::Time;
use steer::connection::pool::{self, Checkout, Connection, Pool};

fn opened(pool: &mut Pool<u32>, name: u32) -> Connection<u32, pool::Busy> {
    match pool.take() {
        Checkout::Open(connection) => connection,
        Checkout::Permit => Connection::opened(name),
        Checkout::Full => panic!("the pool is full"),
    }
}

/// A late answer to a request that timed out must not reach the next caller on
/// the same connection: only a connection whose answer was read completely goes
/// back to the pool, any other one is closed.
#[test]
fn reuse_complete_only() {
    let mut pool = Pool::new(2, 0);
    let complete = opened(&mut pool, 1);
    let late = opened(&mut pool, 2);
    assert!(matches!(pool.take(), Checkout::Full));
    pool.put(Time::ZERO, complete.into_idle());
    assert_eq!(late.into_inner(), 2);
    pool.release();
    let mut again = opened(&mut pool, 3);
    assert_eq!(*again.get(), 1);
    assert_eq!(pool.open(), 1);
}

/// Without warm connections, requests after an idle time take a millisecond
/// longer. A number of connections is kept open ahead of need; those above it
/// are closed after an idle time.
#[test]
fn idle_keeps_warm() {
    let mut pool = Pool::new(4, 1);
    assert!(pool.reserve_warm());
    pool.put(Time::ZERO, Connection::warm(1));
    assert!(!pool.reserve_warm());
    let first = opened(&mut pool, 0);
    let second = opened(&mut pool, 2);
    pool.put(Time::ZERO, first.into_idle());
    pool.put(Time::ZERO, second.into_idle());
    let closed = pool.expire(Time::ZERO + pool::IDLE_TIMEOUT);
    assert_eq!(closed, [1]);
    assert_eq!(pool.open(), 1);
}

/// Connections in use go on, and still count.
#[test]
fn drain_idle_only() {
    let mut pool = Pool::new(4, 0);
    let busy = opened(&mut pool, 1);
    let idle = opened(&mut pool, 2);
    pool.put(Time::ZERO, idle.into_idle());
    assert_eq!(pool.drain_idle(), [2]);
    assert_eq!(pool.open(), 1);
    pool.put(Time::ZERO, busy.into_idle());
    assert_eq!(pool.drain_idle(), [1]);
    assert_eq!(pool.open(), 0);
}

/// Seven instances share the 330 connections of a target: none may open them
/// all.
#[test]
fn share_splits_bound() {
    assert_eq!(Pool::<u32>::per_instance(330, 7), 47);
    assert_eq!(Pool::<u32>::per_instance(3, 7), 1);
}
