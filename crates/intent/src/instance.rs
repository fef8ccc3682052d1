//! What the platform's list and the peers say is running.

use std::net::SocketAddr;
use std::sync::Arc;

use steer::version::view::{Incarnation, State};

/// What an instance runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// A target.
    Target {
        /// Where it listens for requests.
        addr: SocketAddr,
        /// Name of its service.
        service: Arc<str>,
        /// Name of its site.
        site: Arc<str>,
        /// Requests it runs at a time.
        slots: u32,
    },
    /// An entry instance of this system.
    Entry {
        /// Where its peers reach it.
        peer: SocketAddr,
    },
}

/// One instance of the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique.
    pub name: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Whether it takes new work, as the platform says.
    pub state: State,
    /// What it runs.
    pub role: Role,
}

/// A process of this system, as it spoke of itself to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the entry instance that it is.
    pub name: Arc<str>,
    /// Which process it is.
    pub incarnation: Incarnation,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Whether it takes new callers.
    pub state: State,
}

/// Why an instance has no place in a view.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Stranger {
    /// Its domain isn't configured.
    #[error("instance {name}: unknown domain {domain}; configure it or mend the platform's list")]
    Domain {
        /// The instance.
        name: Arc<str>,
        /// The domain.
        domain: Arc<str>,
    },
    /// Its site isn't configured.
    #[error("instance {name}: unknown site {site}; configure it or mend the platform's list")]
    Site {
        /// The instance.
        name: Arc<str>,
        /// The site.
        site: Arc<str>,
    },
    /// Its site lies in another domain than the list says.
    #[error("instance {name}: site {site} is not in domain {domain}; mend the platform's list")]
    Elsewhere {
        /// The instance.
        name: Arc<str>,
        /// The site.
        site: Arc<str>,
        /// The domain.
        domain: Arc<str>,
    },
    /// Its service isn't configured.
    #[error("instance {name}: unknown service {service}; configure it or mend the platform's list")]
    Service {
        /// The instance.
        name: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// Its site doesn't serve its service.
    #[error("instance {name}: site {site} doesn't serve {service}; add it to the service's sites")]
    NotServed {
        /// The instance.
        name: Arc<str>,
        /// The site.
        site: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// Another instance has the same name.
    #[error("instance {name} is listed twice; mend the platform's list")]
    Twice {
        /// The instance.
        name: Arc<str>,
    },
}
