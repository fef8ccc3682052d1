//! Caps and links as callers and peers meet them, through the whole engine.

#[path = "share_model/world.rs"]
mod world;

use core::time::Duration;
use std::sync::Arc;

use rstest::rstest;
use steer::clock::Time;
use steer::process::dispatch::{AttemptOutcome, Destination, Identity};
use steer::process::gate::Limits;
use steer::process::share::{Guards, SETTLING_TIME, window};
use steer::process::traffic::{Action, Event, TICK, Traffic};
use steer::request::answer::Answer;
use steer::request::arrival::{Arrival, AttemptId, Fingerprint, Origin, RequestId};
use steer::request::outcome::{Outcome, Reason, Refusal};
use steer::version::view::Incarnation;
use world::Plan;

/// Time that a target takes, and a peer of another region.
const WORK: Duration = Duration::from_millis(50);
const FAR: Duration = Duration::from_millis(120);
const SECOND: Duration = window::RATE_PERIOD;

/// One instance of region `a`, its targets and its peers.
struct Engine {
    traffic: Traffic,
    now: Time,
    ticked: Time,
    next: u64,
    /// Attempts under way, with their ends.
    running: Vec<(Time, RequestId, AttemptId)>,
    answer: Arc<Answer>,
    log: Log,
}

/// What callers and peers saw, and when.
#[derive(Default)]
struct Log {
    refused: Vec<(Time, RequestId, Refusal)>,
    replied: Vec<(Time, RequestId, u64)>,
    hops: Vec<Time>,
    local: Vec<Time>,
}

impl Engine {
    /// An engine that has held its slot for long enough.
    fn new(plan: &Plan, guards: Guards, bytes: usize) -> Self {
        let home = Identity {
            name: "e000".into(),
            domain: "a".into(),
        };
        let rng = fastrand::Rng::with_seed(1);
        let traffic = Traffic::new(home, Incarnation(1), Limits::default(), rng);
        let mut engine = Self {
            traffic: traffic.with_shares(guards),
            now: Time::ZERO,
            ticked: Time::ZERO,
            next: 0,
            running: Vec::new(),
            answer: Arc::new(Answer {
                status: 200,
                headers: Vec::new(),
                body: vec![0; bytes].into(),
            }),
            log: Log::default(),
        };
        engine.feed(Event::View(plan.build(1)));
        engine.run(SETTLING_TIME + SECOND);
        engine
    }

    fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.traffic.handle(self.now, event, &mut out);
        for action in out {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send {
                id,
                attempt,
                destination,
                ..
            } => {
                let (log, work) = match destination {
                    Destination::Target { .. } => (&mut self.log.local, WORK),
                    Destination::Member { .. } => (&mut self.log.hops, FAR),
                };
                log.push(now);
                self.running.push((now + work, id, attempt));
            }
            Action::Reply { id, answer } => {
                self.log.replied.push((now, id, answer.bytes()));
            }
            Action::Refuse { id, refusal } => self.log.refused.push((now, id, refusal)),
            _ => {}
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            if self.now.since(self.ticked) >= SECOND {
                self.ticked = self.now;
                self.feed(Event::SlotHeld(true));
            }
            let now = self.now;
            let done: Vec<_> = self.running.extract_if(.., |r| r.0 <= now).collect();
            for (_, id, attempt) in done {
                let ending = AttemptOutcome::Answered(Arc::clone(&self.answer));
                self.feed(Event::Ended {
                    id,
                    attempt,
                    outcome: ending,
                });
            }
            self.feed(Event::Tick);
        }
    }

    /// A request of a caller of a region.
    fn ask(&mut self, home: &str) -> RequestId {
        self.arrive(home, Origin::Caller, None)
    }

    fn arrive(&mut self, home: &str, origin: Origin, via: Option<&str>) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        self.feed(Event::Arrive(Arrival {
            id,
            service: "look".into(),
            caller: format!("caller-{}", self.next % 97).into(),
            key: None,
            fingerprint: Fingerprint(u128::from(self.next)),
            deadline: None,
            bytes: 500,
            origin,
            caller_region: Some(home.into()),
            peer_region: via.map(Arc::from),
        }));
        id
    }

    /// So many requests a second for a time.
    fn flood(&mut self, home: &str, rate: u64, span: Duration) {
        let from = self.now;
        let mut asked = 0;
        while self.now < from + span {
            let passed = u64::try_from(self.now.since(from).as_millis()).expect("short");
            while asked * 1000 < rate * passed {
                asked += 1;
                self.ask(home);
            }
            self.run(TICK);
        }
    }
}

/// The largest sum in any second, closed at both ends.
fn peak(taken: &[(Time, u64)]) -> u64 {
    let within = |from: Time| {
        taken
            .iter()
            .filter(move |t| t.0 >= from && t.0 <= from + SECOND)
    };
    let sums = taken.iter().map(|t| within(t.0).map(|w| w.1).sum());
    sums.max().unwrap_or(0)
}

fn ones(times: &[Time]) -> Vec<(Time, u64)> {
    times.iter().map(|t| (*t, 1)).collect()
}

/// Regions `a` and `b` with one instance each, and targets in `a` alone or in
/// both.
fn plan(targets: usize, cap: u64) -> Plan {
    let mut plan = Plan::new(2, &[0, 1])
        .shift(0, 1, cap)
        .shift(1, 0, cap)
        .link(0, 1, 200_000)
        .link(1, 0, 200_000);
    plan.targets = targets;
    plan
}

#[test]
fn foreign_caller_takes_shift() {
    let mut engine = Engine::new(&plan(12, 20), Guards::default(), 100);
    // The region that serves has three quarters of a shift's cap.
    for _ in 0..20 {
        engine.ask("b");
    }
    assert_eq!(engine.log.local.len(), 15);
    assert_eq!(engine.log.refused.len(), 5);
    engine.ask("a");
    assert_eq!(engine.log.local.len(), 16);
}

/// Callers of `b` reach `a` directly after their own region failed, and no
/// operator has allowed a shift. They hear at once that it wasn't run, and when
/// to come back; without the cap their traffic would move by itself.
#[test]
fn foreign_caller_without_shift() {
    let mut plan = plan(12, 20);
    plan.shifts.clear();
    let mut engine = Engine::new(&plan, Guards::default(), 100);
    let id = engine.ask("b");
    let (at, refused, refusal) = engine.log.refused[0];
    assert_eq!((at, refused), (engine.now, id));
    assert_eq!(refusal.reason, Reason::Cap);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(refusal.retry_after.is_some_and(|after| after >= SECOND / 2));
    assert!(engine.log.local.is_empty());
}

#[test]
fn hop_takes_shift_and_link() {
    let plan = plan(1, 20);
    let mut engine = Engine::new(&plan, Guards::default(), 100);
    let from = engine.now;
    engine.flood("a", 200, SECOND / 5);
    let hops = engine.log.hops.iter().filter(|&&t| t >= from).count() as u64;
    assert!(hops > 0);
    let rows = engine.traffic.caps(engine.now);
    let used = |route| rows.iter().find(|r| r.0 == route).map(|r| r.2);
    assert_eq!(used(plan.route(0, 1)), Some(hops));
    assert_eq!(used(plan.link_route(0, 1)), Some(hops * 1012));
    assert_eq!(used(plan.route(1, 0)), Some(0));
}

#[test]
fn hop_link_full() {
    let mut plan = plan(1, 1000);
    plan.links.clear();
    let plan = plan.link(0, 1, 5 * 1012);
    let mut engine = Engine::new(&plan, Guards::default(), 100);
    engine.flood("a", 300, SECOND * 5);
    assert_eq!(peak(&ones(&engine.log.hops)), 5);
}

/// A peer of `b` sends requests whose answers are large. Each answer leaves when
/// the link has room for it; without the outbox (as if the requests hadn't come
/// over a link) they leave as targets give them, far beyond its limit.
#[rstest]
#[case::on(true)]
#[case::off(false)]
fn answers_stay_within_link(#[case] on: bool) {
    let mut engine = Engine::new(&plan(12, 1000), Guards::default(), 8_000);
    let via = on.then_some("b");
    for _ in 0..500 {
        engine.arrive("b", Origin::Peer, via);
        engine.run(TICK);
    }
    engine.run(SECOND * 3);
    let sent: Vec<_> = engine.log.replied.iter().map(|r| (r.0, r.2)).collect();
    assert!(!sent.is_empty());
    assert_eq!(peak(&sent) <= 200_000, on, "{}", peak(&sent));
    for (_, _, refusal) in &engine.log.refused {
        assert_eq!(refusal.outcome, Outcome::NotRun);
    }
    assert!(engine.traffic.is_drained());
}

/// A planned stop waits for answers that wait for the link.
#[test]
fn drained_waits_for_outbox() {
    let mut plan = plan(12, 1000);
    plan.links.clear();
    let plan = plan.link(0, 1, 10_000);
    let mut engine = Engine::new(&plan, Guards::default(), 25_000);
    let id = engine.arrive("b", Origin::Peer, Some("b"));
    engine.run(SECOND / 2);
    engine.feed(Event::Leave);
    assert!(engine.log.replied.is_empty());
    assert!(!engine.traffic.is_drained());
    engine.run(SECOND * 3);
    assert_eq!(engine.log.replied.len(), 1);
    assert_eq!(engine.log.replied[0].1, id);
    assert!(engine.traffic.is_drained());
}

/// A region's callers all come at once, to caches that don't know them. What is
/// let in grows from a tenth of the part over the ramp, and the rest hears at
/// once that it wasn't run; without the ramp the whole cap falls on cold caches.
#[rstest]
#[case::on(true)]
#[case::off(false)]
fn large_move_ramps(#[case] on: bool) {
    let mut plan = plan(24, 0);
    plan.shifts = vec![(1, 0, 266, Duration::from_secs(20))];
    let guards = Guards {
        ramp: on,
        ..Guards::default()
    };
    let mut engine = Engine::new(&plan, guards, 100);
    let from = engine.now;
    engine.flood("b", 1000, SECOND * 25);
    let within = |second: u32| {
        let start = from + SECOND * second;
        let times = engine.log.local.iter();
        times.filter(|&&t| t > start && t <= start + SECOND).count()
    };
    assert_eq!(within(0) <= 40, on, "{}", within(0));
    assert_eq!(within(9) <= 120, on, "{}", within(9));
    assert!(within(22) >= 180, "{}", within(22));
    assert!(peak(&ones(&engine.log.local)) <= 200);
}

/// Region `b` is lost and its callers come here at three times what the cap
/// lets through. Each that has no room is refused in the moment it arrives;
/// nothing piles up in a queue, where it would wait for room that never comes
/// and take it from this region's own callers.
#[test]
fn failover_refuses_at_once() {
    let mut engine = Engine::new(&plan(24, 133), Guards::default(), 100);
    let from = engine.now;
    for _ in 0..500 {
        for _ in 0..3 {
            let id = engine.ask("b");
            let refused = engine.log.refused.last();
            let at_once = refused.is_some_and(|r| r.1 == id && r.0 == engine.now);
            assert!(at_once || engine.traffic.dispatch_state().waiting() == 0);
        }
        engine.ask("a");
        engine.run(TICK);
    }
    let span = engine.now.since(from).as_secs();
    let served = engine.log.local.len() as u64;
    let foreign = served - 500;
    assert!(
        foreign <= 100 * (span + 1) && foreign >= 90 * span,
        "{foreign}"
    );
    assert!(engine.log.refused.len() > 100);
    assert!(engine.log.refused.iter().all(|r| r.2.reason == Reason::Cap));
}

/// Home is overloaded for ten seconds and then has room again. Requests go home
/// as soon as home has room, and stay there: the direction changes once.
#[test]
fn return_home_once() {
    let mut engine = Engine::new(&plan(4, 400), Guards::default(), 100);
    let from = engine.now;
    // Four targets of three slots and 50 ms: 240 a second.
    engine.flood("a", 400, SECOND * 10);
    engine.flood("a", 120, SECOND * 20);
    let mut changes = 0;
    let mut away = true;
    for second in 0..30 {
        let start = from + SECOND * second;
        let hops = engine.log.hops.iter();
        let shifts = hops.filter(|&&t| t > start && t <= start + SECOND).count() > 0;
        changes += u32::from(shifts != away);
        away = shifts;
    }
    assert_eq!((changes, away), (1, false));
    assert!(peak(&ones(&engine.log.hops)) <= 200);
}
