//! Random histories of a fleet: crashes, replacements, freezes, duplicate
//! processes, cut-off domains, store outages and changes, in any order and
//! combination.
//!
//! At no time does a version go back or the sum of the shares in use exceed the
//! cap. Once all faults are healed every process has the last accepted version
//! and lists every member.

#[path = "control_scenarios/fleet.rs"]
#[expect(dead_code, reason = "scenarios use more of it")]
mod fleet;

use core::time::Duration;
use std::sync::Arc;

use fleet::{Fleet, Layout, Place};
use rstest::rstest;
use steer::process::config::{Change, File, Head};
use steer::process::control::{MemberStatus, Safeguards};
use steer::process::slot;
use steer::version::view::Version;

const DOMAINS: usize = 4;
const NODES: usize = 10;
const STEPS: usize = 40;
const STEP: Duration = Duration::from_millis(100);

struct History {
    fleet: Fleet,
    rng: fastrand::Rng,
    accepted: u64,
    /// Largest sum of the shares in use, as a multiple of the cap.
    max_share_sum: f64,
}

impl History {
    fn new(seed: u64, guards: Safeguards) -> Self {
        let mut history = Self {
            fleet: Fleet::new(Layout {
                domains: DOMAINS,
                nodes: NODES,
                per_region: 2,
                loss: 0.01,
                seed,
                guards,
                lag: Duration::from_secs(5),
            }),
            rng: fastrand::Rng::with_seed(seed),
            accepted: 0,
            max_share_sum: 0.0,
        };
        history.change();
        history.advance(30_000);
        history
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.fleet.run(STEP);
            let nodes = self
                .fleet
                .nodes
                .iter()
                .filter(|n| n.is_alive && !n.is_frozen);
            let shares = nodes.filter_map(|n| n.snapshot.as_ref()?.share.divisor);
            let sum: f64 = shares.map(|parts| 1.0 / f64::from(parts)).sum();
            self.max_share_sum = self.max_share_sum.max(sum);
        }
    }

    /// Has a change accepted, if the store answers.
    fn change(&mut self) {
        if self.fleet.store.is_down {
            return;
        }
        self.accepted += 1;
        let body = fleet::body(&format!("text {}", self.accepted));
        let file = File {
            name: "base".into(),
            hash: body.hash,
        };
        self.fleet.put_body(body);
        let version = Version(self.accepted);
        let head = Head {
            version,
            recent: vec![Change {
                version,
                id: format!("change-{}", self.accepted).into(),
            }],
            files: vec![file],
        };
        let written = self.fleet.write(&Arc::new(head), None);
        written.expect("no condition");
    }

    fn random_event(&mut self) {
        let slot = self.rng.usize(..NODES);
        let at = self.fleet.slots[slot];
        let frozen = self.fleet.nodes[at].is_frozen;
        match self.rng.u32(..10) {
            0 => self.fleet.kill(at),
            1 if !frozen => self.fleet.stop(at),
            2 => drop(self.fleet.start(slot, None)),
            3 => drop(self.fleet.start(slot, Some(self.rng.u64(..10)))),
            4 if !frozen => self.fleet.freeze(at),
            5 => self.thaw_all(),
            6 => self.cut_domain(),
            7 => self.fleet.cuts.clear(),
            8 => {
                let is_down = !self.fleet.store.is_down;
                self.fleet.set_store_down(is_down);
            }
            _ => self.change(),
        }
        let millis = [300, 1000, 3000, 12_000][self.rng.usize(..4)];
        self.advance(millis);
    }

    fn cut_domain(&mut self) {
        let domain = self.rng.usize(..DOMAINS);
        let others = (0..DOMAINS).filter(|&d| d != domain).map(Place::Domain);
        let cuts = others.chain([Place::Store]);
        self.fleet
            .cuts
            .extend(cuts.map(|place| (Place::Domain(domain), place)));
    }

    fn thaw_all(&mut self) {
        for at in 0..self.fleet.nodes.len() {
            if self.fleet.nodes[at].is_frozen {
                self.fleet.thaw(at);
            }
        }
    }

    /// Ends all faults, and starts a process for every name without a live one.
    fn heal(&mut self) {
        self.fleet.cuts.clear();
        self.thaw_all();
        self.fleet.set_store_down(false);
        self.advance(60_000);
        for slot in 0..NODES {
            let node = &self.fleet.nodes[self.fleet.slots[slot]];
            let is_superseded = node.control.status() == MemberStatus::Superseded;
            if !node.is_alive || is_superseded {
                self.fleet.start(slot, None);
            }
        }
        self.advance(60_000);
    }

    fn has_gone_back(&self) -> bool {
        let has_gone_back = |n: &fleet::Node| n.installs.windows(2).any(|w| w[1].1 < w[0].1);
        self.fleet.nodes.iter().any(has_gone_back)
    }
}

#[rstest]
fn history_holds(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    for seed in block * 4..block * 4 + 4 {
        check_history(seed);
    }
}

/// Seeds that found a fault.
///
/// 1069 and 1295: three processes of one name started in a domain that was cut
/// off, and waited out the quarantine without any peer hearing from them. When
/// the domain was healed all three used the share. 1964: a peer declared a
/// process dead and itself died before it could tell it, so other domains never
/// listed that process again.
#[rstest]
#[case(1069)]
#[case(1295)]
#[case(1964)]
fn history_holds_found(#[case] seed: u64) {
    check_history(seed);
}

fn check_history(seed: u64) {
    println!("seed {seed}");
    let mut history = History::new(seed, Safeguards::default());
    for _ in 0..STEPS {
        history.random_event();
        assert!(!history.has_gone_back(), "seed {seed}: a version went back");
        assert!(
            history.max_share_sum < 1.001,
            "seed {seed}: {} caps",
            history.max_share_sum
        );
    }
    history.heal();
    assert!(
        history.max_share_sum < 1.001,
        "seed {seed}: {} caps",
        history.max_share_sum
    );
    for &at in &history.fleet.slots {
        let node = &history.fleet.nodes[at];
        let name = history.fleet.name(node.slot);
        let version = node.control.version();
        assert_eq!(version.0, history.accepted, "seed {seed}: {name}");
        let members = node.snapshot.as_ref().map_or(0, |s| s.members.len());
        assert_eq!(members, NODES, "seed {seed}: members of {name}");
        let status = node.control.status();
        assert_eq!(status, MemberStatus::Current, "seed {seed}: {name}");
    }
}

/// Checks that the histories are harsh enough: without the quarantine some
/// exceed the cap, and without the order of versions some go back.
#[test]
fn history_needs_safeguards() {
    let without_quarantine = Safeguards {
        slot: slot::Guards {
            quarantine: false,
            ..slot::Guards::default()
        },
        ..Safeguards::default()
    };
    let without_order = Safeguards {
        monotonic: false,
        ..Safeguards::default()
    };
    let finds_fault = |guards, fault: fn(&History) -> bool| {
        (0..32).any(|seed| {
            let mut history = History::new(seed, guards);
            (0..STEPS).any(|_| {
                history.random_event();
                fault(&history)
            })
        })
    };
    assert!(
        finds_fault(without_quarantine, |h| h.max_share_sum > 1.001),
        "no cap was passed"
    );
    assert!(
        finds_fault(without_order, History::has_gone_back),
        "no version went back"
    );
}
