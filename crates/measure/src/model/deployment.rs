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
}

const fn spec(
    name: &'static str,
    class: usize,
    idempotent: bool,
    mean: f64,
    deadline: u64,
) -> ServiceSpec {
    ServiceSpec {
        name,
        class,
        idempotent,
        mean,
        deadline,
    }
}

/// Weighted to latency.
pub static BLUESTONE: Deployment = Deployment {
    name: "bluestone",
    services: [
        spec("archive", 2, true, 0.060, 10),
        spec("billing", 1, false, 0.040, 10),
        spec("lodgement", 0, false, 0.040, 5),
        spec("sheetview", 0, true, 0.020, 2),
    ],
    wait: Duration::from_millis(100),
};

/// Weighted to headroom.
pub static TESFAYE: Deployment = Deployment {
    name: "tesfaye",
    services: [
        spec("archive", 2, true, 0.060, 10),
        spec("payout", 1, false, 0.040, 10),
        spec("reserve", 0, false, 0.040, 5),
        spec("stock", 0, true, 0.020, 2),
    ],
    wait: Duration::from_millis(500),
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
