//! Calls between entry instances, by `tarpc` over TCP.
//!
//! The library's futures want the timer context of another runtime; each is
//! wrapped in a compatibility layer that provides it.
//!
//! Invariant: no call is taken or made on a connection before both ends have
//! shown that they know the shared secret.

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

/// Calls an entry instance takes from its peers.
#[tarpc::service]
pub trait Peer {
    /// Runs a request that another domain's entry instance passes on.
    async fn forward(request: peer::Forward) -> peer::Forwarded;

    /// Takes a message between control states; see crate `wire`, `beat`.
    async fn tell(message: Vec<u8>);

    /// Says who it is.
    async fn who() -> peer::Who;

    /// Hears how many targets broke under a request.
    async fn suspect(suspect: peer::Suspect);

    /// Lends a part of a cap; zero is "nothing".
    async fn lend(route: wire::share::Route, amount: u64) -> u64;

    /// Answers as a witness; `None` if this process is ending.
    async fn witness(question: witness::Question) -> Option<witness::Word>;
}

/// Longest message in bytes.
const MESSAGE_MAX_BYTES: usize = 20 << 20;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Requests, and questions about keys.
    Traffic,
    /// Messages of control.
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
