//! The platform's list of instances. It may be out of date.
//!
//! | call | answer |
//! |---|---|
//! | `GET /instances` | the complete list |
//! | `GET /instances?kind=entry` | entry instances only |
//! | `GET /instances?kind=target&domain=D` | targets of one failure domain |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Role of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Role {
    /// A target, which runs requests of one service of one site.
    Target {
        /// Address for requests.
        addr: SocketAddr,
        /// Name of the service.
        service: String,
        /// Name of the site.
        site: String,
        /// Largest number of requests that it runs at a time.
        slots: u32,
    },
    /// An entry instance, which steers requests to targets.
    Entry {
        /// Address for peers.
        peer: SocketAddr,
    },
}

/// State of an instance according to the platform, or of a target according to itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts new work.
    Live,
    /// Finishes the work that it has.
    Leaving,
}

/// Entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// State according to the platform.
    pub state: State,
    /// Role with its addresses; its fields stand beside the others in JSON.
    #[serde(flatten)]
    pub role: Role,
}

/// Instances as listed by the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Listed instances.
    pub instances: Vec<Instance>,
}

/// Selects a part of the list. An entry instance often reads the targets of its own
/// domain, and never the complete list, which grows with the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Filter {
    /// All instances.
    All,
    /// Entry instances.
    Entries,
    /// Targets of this failure domain.
    Targets(String),
}

impl Filter {
    /// Returns the path and query of the call. Names need no escaping: they hold only
    /// characters that a query may hold.
    #[must_use]
    pub fn path(&self) -> String {
        match self {
            Self::All => "/instances".to_owned(),
            Self::Entries => "/instances?kind=entry".to_owned(),
            Self::Targets(domain) => format!("/instances?kind=target&domain={domain}"),
        }
    }

    /// Returns whether the filter selects an instance.
    #[must_use]
    pub fn matches(&self, instance: &Instance) -> bool {
        let is_target = matches!(instance.role, Role::Target { .. });
        match self {
            Self::All => true,
            Self::Entries => !is_target,
            Self::Targets(domain) => is_target && instance.domain == *domain,
        }
    }
}

impl From<State> for steer::version::view::State {
    fn from(state: State) -> Self {
        match state {
            State::Live => Self::Live,
            State::Leaving => Self::Leaving,
        }
    }
}
