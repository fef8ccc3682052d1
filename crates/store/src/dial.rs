//! Opens connections such that a failure to open one is told apart from a
//! connection that broke.
//!
//! Invariant: an error for which [`never_sent`] holds came before any byte of
//! the call left. The client library reports both by the same type, and by the
//! kinds of I/O errors alone a reset connection may look like a refused one.

use std::fmt;
use std::future::Future;
use std::io;
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use trillium_client::{Connector, Error, Url, async_trait};
use trillium_smol::{ClientConfig, SmolTransport};

/// Opens TCP connections within a bounded time.
#[derive(Clone, Copy, Debug)]
pub struct Dialer {
    /// Time after which opening is given up.
    pub timeout: Duration,
}

/// Marks an error that came while a connection was opened.
#[derive(Debug)]
struct NotOpened(io::Error);

impl fmt::Display for NotOpened {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no connection: {}", self.0)
    }
}

impl std::error::Error for NotOpened {}

/// Whether the call failed before any of it was sent.
#[must_use]
pub fn never_sent(error: &Error) -> bool {
    let Error::Io(error) = error else {
        return false;
    };
    let inner = error.get_ref();
    inner.and_then(|e| e.downcast_ref::<NotOpened>()).is_some()
}

#[async_trait]
impl Connector for Dialer {
    type Transport = SmolTransport<TcpStream>;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let config = ClientConfig::new().with_nodelay(true);
        let opened = config.connect(url);
        let late = async {
            Timer::after(self.timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let result = opened.or(late).await;
        result.map_err(|error| io::Error::new(error.kind(), NotOpened(error)))
    }

    fn spawn<F: Future<Output = ()> + Send + 'static>(&self, future: F) {
        ClientConfig::new().spawn(future);
    }
}
