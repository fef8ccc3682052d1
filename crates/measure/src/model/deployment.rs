//! The two deployments and where their instances are.

use core::time::Duration;

/// One service of a deployment.
#[derive(Debug)]
pub struct ServiceSpec {
    /// Its name.
    pub name: &'static str,
    /// Index of its class.
    pub class: usize,
    /// Whether a repeat does no harm.
    pub idempotent: bool,
    /// Mean service time in seconds.
    pub mean: f64,
    /// Deadline in seconds.
    pub deadline: u64,
    /// Requests a second that may be shifted between each pair of regions.
    pub cap: u64,
    /// Seconds over which a shift grows.
    pub ramp: u64,
}

/// A deployment's sizes, as in `deploy/`; service times are assumed.
#[derive(Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its services, sorted by name.
    pub services: [ServiceSpec; 4],
    /// Longest expected wait: short for latency, long for headroom.
    pub wait: Duration,
    /// Megabits a second between each pair of regions, in each direction.
    pub link: u64,
}

const fn spec(
    name: &'static str,
    class: usize,
    idempotent: bool,
    mean: f64,
    deadline: u64,
    (cap, ramp): (u64, u64),
) -> ServiceSpec {
    ServiceSpec {
        name,
        class,
        idempotent,
        mean,
        deadline,
        cap,
        ramp,
    }
}

/// Weighted to latency.
pub static BLUESTONE: Deployment = Deployment {
    name: "bluestone",
    services: [
        spec("archive", 2, true, 0.060, 10, (20, 120)),
        spec("billing", 1, false, 0.040, 10, (20, 60)),
        spec("lodgement", 0, false, 0.040, 5, (60, 30)),
        spec("sheetview", 0, true, 0.020, 2, (200, 30)),
    ],
    wait: Duration::from_millis(100),
    link: 280,
};

/// Weighted to headroom.
pub static TESFAYE: Deployment = Deployment {
    name: "tesfaye",
    services: [
        spec("archive", 2, true, 0.060, 10, (40, 120)),
        spec("payout", 1, false, 0.040, 10, (60, 60)),
        spec("reserve", 0, false, 0.040, 5, (120, 30)),
        spec("stock", 0, true, 0.020, 2, (400, 30)),
    ],
    wait: Duration::from_millis(500),
    link: 4000,
};

/// All deployments.
pub static DEPLOYMENTS: [&Deployment; 2] = [&BLUESTONE, &TESFAYE];

/// Where instances are.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Region of each failure domain.
    pub domains: Vec<usize>,
    /// Failure domain of each entry instance.
    pub entries: Vec<usize>,
    /// Targets of each service in each failure domain.
    pub targets: usize,
}

impl Layout {
    /// Number of regions.
    #[must_use]
    pub fn regions(&self) -> usize {
        self.domains.iter().max().map_or(0, |r| r + 1)
    }

    /// Six domains in three regions, seven entry instances, 12 targets a service.
    #[must_use]
    pub fn today() -> Self {
        Self {
            domains: vec![0, 0, 1, 1, 2, 2],
            entries: vec![0, 0, 1, 2, 3, 4, 5],
            targets: 2,
        }
    }

    /// One domain in which `entries` instances share 12 targets a service.
    #[must_use]
    pub fn shared(entries: usize) -> Self {
        Self {
            domains: vec![0],
            entries: vec![0; entries],
            targets: 12,
        }
    }
}
