//! Tests of connection pools.

use steer::clock::Time;
use steer::connection::pool::{self, Connection, Pool, Taken};

fn opened(pool: &mut Pool<u32>, name: u32) -> Connection<u32, pool::Busy> {
    match pool.take() {
        Taken::Open(connection) => connection,
        Taken::Permit => Connection::opened(name),
        Taken::Full => panic!("the pool is full"),
    }
}

/// A late answer to a request that timed out must not reach the next caller on
/// the same connection: only a connection whose answer was read completely goes
/// back to the pool, any other one is closed.
#[test]
fn reuse_complete_only() {
    let mut pool = Pool::new(2, 0);
    let whole = opened(&mut pool, 1);
    let late = opened(&mut pool, 2);
    assert!(matches!(pool.take(), Taken::Full));
    pool.give(Time::ZERO, whole.whole());
    assert_eq!(late.spoiled(), 2);
    pool.closed();
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
    assert!(pool.wants());
    pool.give(Time::ZERO, Connection::warm(1));
    assert!(!pool.wants());
    let first = opened(&mut pool, 0);
    let second = opened(&mut pool, 2);
    pool.give(Time::ZERO, first.whole());
    pool.give(Time::ZERO, second.whole());
    let closed = pool.expire(Time::ZERO + pool::IDLE);
    assert_eq!(closed, [1]);
    assert_eq!(pool.open(), 1);
}

/// Seven instances share the 330 connections of a target: none may open them
/// all.
#[test]
fn share_splits_bound() {
    assert_eq!(Pool::<u32>::share(330, 7), 47);
    assert_eq!(Pool::<u32>::share(3, 7), 1);
}
