//! Choice of the instance that sends a request for this one, while this one is cut off from
//! all targets.
//!
//! This instance decides on the request as ever: its parts of limits, quotas, retry
//! budgets and cold targets' bounds are spent here, and it alone knows what became of the
//! attempts. The other one only sends, unless the target asked it not to. So a request
//! takes one hop at most, and none is relayed on.
//!
//! Invariants: the body of a request goes to no region that route and team don't allow; a
//! relay that refused isn't asked again for a while.

mod choice;

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

/// Instances among which one that is cut off spreads its requests. Each of them needs a
/// connection.
const RELAYS_MAX: usize = 4;

/// Time for which an instance that refused to relay isn't asked.
const RELAY_REFUSED_PAUSE: Duration = Duration::from_secs(1);

/// Instance that sends requests for another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address for calls of peers.
    pub addr: SocketAddr,
}
