//! Sockets that an instance listens on.

use futures_lite::future;
use settings::direct::{Listen, Settings};
use smol::net;

use super::Failure;

/// Listening sockets, one per service of the instance.
pub(super) struct Listeners {
    pub(super) callers: net::TcpListener,
    pub(super) ready: net::TcpListener,
    pub(super) directory: net::TcpListener,
    pub(super) peers: net::TcpListener,
    pub(super) operators: net::TcpListener,
    pub(super) heartbeats: net::UdpSocket,
}

impl Listeners {
    /// Local addresses, with the ports that the system chose for port 0.
    pub(super) fn addresses(&self) -> Result<Listen, Failure> {
        Ok(Listen {
            callers: self.callers.local_addr()?,
            ready: self.ready.local_addr()?,
            directory: self.directory.local_addr()?,
            peers: self.peers.local_addr()?,
            heartbeats: self.heartbeats.local_addr()?,
            operators: self.operators.local_addr()?,
        })
    }

    /// Binds all addresses of the settings.
    pub(super) fn bind(settings: &Settings) -> Result<Self, Failure> {
        let bind = |addr| {
            future::block_on(net::TcpListener::bind(addr)).map_err(|e| Failure::Listen(addr, e))
        };
        Ok(Self {
            callers: bind(settings.listen.callers)?,
            ready: bind(settings.listen.ready)?,
            directory: bind(settings.listen.directory)?,
            peers: bind(settings.listen.peers)?,
            operators: bind(settings.listen.operators)?,
            heartbeats: {
                let addr = settings.listen.heartbeats;
                future::block_on(net::UdpSocket::bind(addr))
                    .map_err(|e| Failure::Listen(addr, e))?
            },
        })
    }
}
