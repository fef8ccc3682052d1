//! What is played: a deployment, its callers, and what goes wrong.
//!
//! Invariant: a plan that was read names only what it has, and its figures are
//! within their ranges; every fault of a file is reported with its place.

mod read;
mod set;

use core::time::Duration;
use std::sync::Arc;

use jsonc::fault::Fault;
use steer::process::direct::Bounds;

pub use set::{Error as SetError, Set};

/// Everything that is played.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// How long callers come.
    pub span: Duration,
    /// Failure domains, in the order of the file.
    pub domains: Vec<Domain>,
    /// Services, in the order of the file.
    pub services: Vec<Service>,
    /// Kinds of request, in the order of the file.
    pub kinds: Vec<Kind>,
    /// Where callers are, in the order of the file.
    pub callers: Vec<Callers>,
    /// Ways.
    pub delays: Delays,
    /// Bounds that the operator sets.
    pub bounds: Bounds,
    /// What counts how much.
    pub weights: Weights,
    /// What goes wrong.
    pub faults: Vec<Trouble>,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Domain {
    /// Its name.
    pub name: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Entry instances there.
    pub instances: usize,
}

/// A service and its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Targets in each domain, in the order of the domains.
    pub targets: Vec<usize>,
    /// Requests that a target runs at a time.
    pub slots: usize,
    /// Requests that wait there besides.
    pub queue: usize,
    /// Objects that a target remembers.
    pub keeps: usize,
    /// How long a target is cold after it starts.
    pub cold: Duration,
    /// How much slower it is then.
    pub cold_x: f64,
    /// Requests a second that it bears then.
    pub cold_rate: f64,
    /// Part of its slots beyond which it turns slower, and how much at the end.
    pub knee: f64,
    /// Slowness with all slots in use.
    pub knee_x: f64,
}

/// A kind of request: a route of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: Arc<str>,
    /// Place of its service.
    pub service: usize,
    /// Part of all requests, over the sum of all parts.
    pub part: f64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Latency objective.
    pub goal: Duration,
    /// How long its callers wait.
    pub limit: Duration,
    /// Longest that the operator lets it wait.
    pub timeout: Duration,
    /// What an answer within the objective earns.
    pub worth: f64,
    /// What a later one earns.
    pub late: f64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Targets that one request may be sent to.
    pub attempts: usize,
    /// Times that its callers come again.
    pub retries: u32,
    /// Mean work where the object isn't held.
    pub work: Duration,
    /// Spread of the work: standard deviation over mean.
    pub spread: f64,
    /// Part of the work that a target that holds the object is spared.
    pub gain: f64,
    /// Objects of each region's callers.
    pub objects: usize,
    /// How uneven objects are asked for: weight of the n-th is n to minus this.
    pub skew: f64,
    /// Requests that a caller sends on one connection before the first answer.
    pub ahead: usize,
}

/// Callers of one domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Callers {
    /// Place of the domain.
    pub domain: usize,
    /// Requests a second.
    pub rate: f64,
    /// Part by which the rate swings.
    pub swing: f64,
    /// Length of a wave.
    pub period: Duration,
    /// Where the wave begins, as part of a period.
    pub phase: f64,
}

/// One-way delays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delays {
    /// Within a domain.
    pub domain: Duration,
    /// Between domains of a region.
    pub region: Duration,
    /// Between regions.
    pub far: Duration,
    /// Between callers and instances.
    pub caller: Duration,
    /// Until a change in the platform's store is known.
    pub store: Duration,
}

/// Weights of the parts of the worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// The whole.
    pub whole: f64,
    /// The worst domain of callers.
    pub domain: f64,
    /// The share that is served at all.
    pub served: f64,
    /// The two worst windows.
    pub windows: f64,
    /// The worst kind.
    pub kind: f64,
    /// What prices take off.
    pub prices: f64,
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// When, from the first caller on.
    pub at: Duration,
    /// For how long.
    pub span: Duration,
    /// What.
    pub what: What,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// `x` times as many callers come, in a domain or everywhere.
    Burst {
        /// How many times.
        x: f64,
        /// Place of the domain.
        domain: Option<usize>,
    },
    /// A share of a domain's callers goes to another domain.
    Shift {
        /// How many.
        share: f64,
        /// From where.
        from: usize,
        /// Where to.
        to: usize,
    },
    /// A share of callers comes again at once and `x` times as often.
    Again {
        /// How many.
        share: f64,
        /// How many times as often.
        x: f64,
    },
    /// A share of callers leaves before its time.
    Leave {
        /// How many.
        share: f64,
    },
    /// Targets end, and come back cold after the time.
    Crash(Part),
    /// Targets take `x` times as long.
    Slow(Part, f64),
    /// Targets turn a part `x` of their requests away, in good health.
    Shed(Part, f64),
    /// Targets turn everything away, and ask instances to send nothing for `x` seconds.
    Backoff(Part, f64),
    /// Targets announce in their answers that they are about to stop. They end after the
    /// time, and others come in their place.
    Announce(Part),
    /// Targets fail a part `x` of what they run.
    Fail(Part, f64),
    /// Answers of a part `x` of requests are lost.
    Lose(Part, f64),
    /// Targets are replaced by new ones, at once.
    Replace(Part),
    /// Targets forget all objects and are cold.
    Cold(Part),
    /// Instances end, and start anew after the time.
    Kill {
        /// How many.
        share: f64,
        /// Of a domain or of all.
        domain: Option<usize>,
    },
    /// Instances reach no target, while callers and the other instances reach them.
    Unlink {
        /// How many.
        share: f64,
        /// Of a domain or of all.
        domain: Option<usize>,
    },
    /// A region is cut off from the others and the store; `one_way`: only what
    /// it sends is lost.
    Cut {
        /// The region.
        region: Arc<str>,
        /// Whether what is sent to it arrives.
        one_way: bool,
    },
    /// The platform's store is away.
    Store,
    /// Nothing may be sent to a domain's targets.
    Evacuate {
        /// Place of the domain.
        domain: usize,
    },
}

/// Some of the targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// How many of those that fit.
    pub share: f64,
    /// Place of the only service, if there is one.
    pub service: Option<usize>,
    /// Place of the only domain, if there is one.
    pub domain: Option<usize>,
}

impl Plan {
    /// Reads a plan, with figures replaced as `sets` say.
    ///
    /// # Errors
    /// Every fault, in the order of their places.
    pub fn parse(file: &str, text: &str, sets: &[Set]) -> Result<Self, Vec<Fault>> {
        let mut root = jsonc::parse(file, text).map_err(|fault| vec![fault])?;
        let mut faults = Vec::new();
        for set in sets {
            faults.extend(set.apply(&mut root).err());
        }
        let found = read::plan(&root, &mut faults);
        faults.sort();
        match found {
            Some(plan) if faults.is_empty() => Ok(plan),
            _ => Err(faults),
        }
    }

    /// Regions, sorted.
    #[must_use]
    pub fn regions(&self) -> Vec<Arc<str>> {
        let mut regions: Vec<Arc<str>> =
            self.domains.iter().map(|d| Arc::clone(&d.region)).collect();
        regions.sort();
        regions.dedup();
        regions
    }
}
