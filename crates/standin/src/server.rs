//! An embedded HTTP server on a port that is known before it serves.
//!
//! Invariant: once [`Server::stop`] returns, nothing listens on the address and
//! no idle connection is left open; busy ones end with their answer.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use smol::Timer;
use trillium::Handler;
use trillium_server_common::{Acceptor, Stopper, Transport, async_trait};

/// Delays each new connection, as a target with costly connections does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delay(pub(crate) Duration);

#[async_trait]
impl<T: Transport> Acceptor<T> for Delay {
    type Output = T;
    type Error = Infallible;

    async fn accept(&self, input: T) -> Result<T, Infallible> {
        if !self.0.is_zero() {
            Timer::after(self.0).await;
        }
        Ok(input)
    }
}

/// A server that listens.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    stopper: Stopper,
    task: smol::Task<()>,
}

impl Server {
    /// Listens on `addr`; port 0 takes any free one.
    pub(crate) fn start(addr: SocketAddr, delay: Delay, handler: impl Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let listener = smol::net::TcpListener::try_from(listener)?;
        let stopper = Stopper::new();
        let config = trillium_smol::config()
            .with_prebound_server(listener)
            .with_acceptor(delay)
            .with_nodelay()
            .without_signals()
            .with_stopper(stopper.clone());
        let task = smol::spawn(config.run_async(handler));
        Ok(Self {
            addr,
            stopper,
            task,
        })
    }

    /// Where it listens.
    pub(crate) const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and idle connections at once.
    pub(crate) async fn stop(self) {
        self.stopper.stop();
        // Cancelling drops the listener without waiting for busy connections.
        self.task.cancel().await;
    }
}
