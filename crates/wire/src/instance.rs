//! The platform's list of instances: `GET /instances`. It lags.

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

impl From<State> for steer::version::view::State {
    fn from(state: State) -> Self {
        match state {
            State::Live => Self::Live,
            State::Leaving => Self::Leaving,
        }
    }
}
