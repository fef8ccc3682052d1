//! Calls between entry instances, with `tarpc` over TCP.
//!
//! The library's futures need the timer context of another runtime; a compatibility
//! layer around each provides it.
//!
//! Invariant: no call is made or served on a connection before both ends have proved
//! that they know the shared secret.

mod calls;
mod handshake;
mod serving;

use std::time::{Duration, Instant};

use async_compat::Compat;
use smol::net;
use tarpc::context;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use wire::{peer, witness};

pub use self::calls::{Hop, Peers};
pub use self::serving::{Service, serve};

/// Calls that an entry instance serves for its peers.
#[tarpc::service]
pub trait Peer {
    /// Runs a request forwarded by another entry instance.
    async fn forward(request: peer::Forward) -> peer::Forwarded;

    /// Delivers a control message, encoded as in module `heartbeat` of crate `wire`.
    async fn tell(message: Vec<u8>);

    /// Returns name, domain, address and version of this instance.
    async fn who() -> peer::PeerInfo;

    /// Reports how many targets broke under a request.
    async fn suspect(suspect: peer::Suspect);

    /// Lends part of this instance's share of a cap; returns the amount lent, or 0.
    async fn lend(route: wire::share::Route, amount: u64) -> u64;

    /// Answers a question about a key as its witness; `None` if this process is
    /// ending.
    async fn witness(question: witness::Question) -> Option<witness::Reply>;
}

/// Maximum size of a message.
const MESSAGE_MAX_BYTES: usize = 20 << 20;

/// Purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Requests, and questions about keys.
    Traffic,
    /// Control messages.
    Control,
}

pub(crate) type Frames =
    tarpc::tokio_util::codec::Framed<Compat<net::TcpStream>, LengthDelimitedCodec>;

pub(crate) fn frames(stream: net::TcpStream) -> Frames {
    LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_MAX_BYTES)
        .new_framed(Compat::new(stream))
}

pub(crate) fn context(budget: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + budget;
    context
}
