//! Times at which processes call the store.

use core::time::Duration;

use steer::clock::Time;
use steer::process::control::store::{Call, Completed, Demand, Policy, Reply, Request, Transition};

const STEP: Duration = Duration::from_millis(100);
const WATCHING: Demand = Demand {
    is_watcher: true,
    is_alone: false,
};

/// A policy, with a store that answers each call within one step.
struct Process {
    policy: Policy,
    rng: fastrand::Rng,
    now: Time,
    open: Vec<Request>,
    transitions: Vec<Transition>,
}

impl Process {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let policy = Policy::new(Time::ZERO, true, &mut rng);
        Self {
            policy,
            rng,
            now: Time::ZERO,
            open: Vec::new(),
            transitions: Vec::new(),
        }
    }

    /// Runs one step and returns the number of calls made, without those for
    /// the list.
    fn step(&mut self, is_down: bool) -> usize {
        self.now = self.now + STEP;
        for Request { id, call } in core::mem::take(&mut self.open) {
            let reply = match call {
                _ if is_down => Reply::Unavailable,
                Call::Head => Reply::Head(None),
                Call::Watch { .. } => Reply::Watched(None),
                Call::Body(hash) => Reply::Body(hash, None),
                Call::List => Reply::Listed(Vec::new()),
            };
            let answered = self.policy.take_answer(self.now, id, &reply, &mut self.rng);
            let Completed { transition, .. } = answered.expect("an open call");
            if transition != Transition::None {
                self.transitions.push(transition);
            }
        }
        let mut calls = Vec::new();
        self.policy
            .step(self.now, WATCHING, &mut self.rng, &mut calls);
        self.open = calls;
        let head = |request: &&Request| request.call != Call::List;
        self.open.iter().filter(head).count()
    }
}

/// The store is unavailable for two hours. A process calls it about twice a
/// minute, and reports the outage and its end once each.
#[test]
fn outage_of_hours() {
    let mut process = Process::new(1);
    for _ in 0..100 {
        process.step(false);
    }
    let calls: usize = (0..72_000).map(|_| process.step(true)).sum();
    assert!((200..500).contains(&calls), "{calls} calls in two hours");
    for _ in 0..500 {
        process.step(false);
    }
    assert_eq!(
        process.transitions,
        [Transition::Lost, Transition::Restored]
    );
}

/// 300 processes find the store restored after an outage of ten minutes. They
/// notice it spread over the backoff, at most a tenth of them in any one
/// second; without jitter all would call in the same second.
#[test]
fn return_without_herd() {
    let mut fleet: Vec<Process> = (0..300).map(Process::new).collect();
    let mut noticed_at = vec![None; fleet.len()];
    for _ in 0..6000 {
        for process in &mut fleet {
            process.step(true);
        }
    }
    for second in 0..60_usize {
        for _ in 0..10 {
            for (at, process) in fleet.iter_mut().enumerate() {
                process.step(false);
                if !process.policy.is_unavailable() && noticed_at[at].is_none() {
                    noticed_at[at] = Some(second);
                }
            }
        }
    }
    let count = |second: usize| noticed_at.iter().filter(|f| **f == Some(second)).count();
    let max_count = (0..60).map(count).max().unwrap_or(0);
    assert!(
        noticed_at.iter().all(Option::is_some),
        "all notice the return"
    );
    assert!(max_count <= 30, "{max_count} in one second");
}

/// The driver never answers. Calls expire, and the head is read at the rate of
/// the backoff.
#[test]
fn answers_missing() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut policy = Policy::new(Time::ZERO, true, &mut rng);
    let mut now = Time::ZERO;
    let mut calls = Vec::new();
    for _ in 0..6000 {
        now = now + STEP;
        policy.expire(now, &mut rng);
        policy.step(now, WATCHING, &mut rng, &mut calls);
    }
    let heads = calls.iter().filter(|r| r.call == Call::Head);
    assert!((10..80).contains(&heads.count()), "{} calls", calls.len());
    let late = policy.take_answer(now, calls[0].id, &Reply::Unavailable, &mut rng);
    assert!(late.is_none(), "the first call has expired");
}
