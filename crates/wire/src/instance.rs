//! The platform's list of instances. It lags.
//!
//! | call | answer |
//! |---|---|
//! | `GET /instances` | the whole list |
//! | `GET /instances?kind=entry` | entry instances only |
//! | `GET /instances?kind=target&domain=D` | targets of one failure domain |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What an instance runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Role {
    /// A target: where it listens, and for which service of which site.
    Target {
        /// Where it listens for requests.
        addr: SocketAddr,
        /// Name of the service.
        service: String,
        /// Name of the site.
        site: String,
        /// Requests it runs at a time.
        slots: u32,
    },
    /// An entry instance of this system.
    Entry {
        /// Where its peers reach it.
        peer: SocketAddr,
    },
}

/// Whether an instance takes new work, as the platform says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It does.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Whether it takes new work.
    pub state: State,
    /// What it runs.
    #[serde(flatten)]
    pub role: Role,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// All instances the platform knows of.
    pub instances: Vec<Instance>,
}

/// A part of the list. An entry instance reads its own domain's targets often,
/// and the whole list never: that would grow with the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Filter {
    /// All of it.
    All,
    /// All entry instances.
    Entries,
    /// The targets of this failure domain.
    Targets(String),
}

impl Filter {
    /// The path and query that ask for it. Names hold no characters that a
    /// query can't.
    #[must_use]
    pub fn path(&self) -> String {
        match self {
            Self::All => "/instances".to_owned(),
            Self::Entries => "/instances?kind=entry".to_owned(),
            Self::Targets(domain) => format!("/instances?kind=target&domain={domain}"),
        }
    }

    /// Whether a line is in it.
    #[must_use]
    pub fn matches(&self, instance: &Instance) -> bool {
        let target = matches!(instance.role, Role::Target { .. });
        match self {
            Self::All => true,
            Self::Entries => !target,
            Self::Targets(domain) => target && instance.domain == *domain,
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
