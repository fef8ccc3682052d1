//! Caps and links as callers and peers experience them, through the whole engine.

#[path = "share_model/views.rs"]
mod views;

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
use views::Plan;

/// Response time of a target.
const TARGET_RESPONSE_TIME: Duration = Duration::from_millis(50);
/// Response time of a peer in the other region.
const PEER_RESPONSE_TIME: Duration = Duration::from_millis(120);
const SECOND: Duration = window::RATE_PERIOD;

/// The engine of one instance in region `a`, with its targets and peers.
struct Engine {
    traffic: Traffic,
    now: Time,
    ticked: Time,
    next: u64,
    /// Attempts in progress, with their end times.
    running: Vec<(Time, RequestId, AttemptId)>,
    answer: Arc<Answer>,
    log: Log,
}

/// Refusals, replies and attempts, with their times.
#[derive(Default)]
struct Log {
    refused: Vec<(Time, RequestId, Refusal)>,
    replied: Vec<(Time, RequestId, u64)>,
    hops: Vec<Time>,
    local: Vec<Time>,
}

impl Engine {
    /// Creates an engine that has held its slot for [`SETTLING_TIME`].
    fn new(plan: &Plan, guards: Guards, bytes: usize) -> Self {
        let identity = Identity {
            name: "e000".into(),
            domain: "a".into(),
        };
        let rng = fastrand::Rng::with_seed(1);
        let traffic = Traffic::new(identity, Incarnation(1), Limits::default(), rng);
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
                let (log, delay) = match destination {
                    Destination::Target { .. } => (&mut self.log.local, TARGET_RESPONSE_TIME),
                    Destination::Member { .. } => (&mut self.log.hops, PEER_RESPONSE_TIME),
                };
                log.push(now);
                self.running.push((now + delay, id, attempt));
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
                let outcome = AttemptOutcome::Answered(Arc::clone(&self.answer));
                self.feed(Event::Ended {
                    id,
                    attempt,
                    outcome,
                });
            }
            self.feed(Event::Tick);
        }
    }

    /// Sends a request of a caller in `region`.
    fn request(&mut self, region: &str) -> RequestId {
        self.arrive(region, Origin::Caller, None)
    }

    fn arrive(&mut self, region: &str, origin: Origin, via: Option<&str>) -> RequestId {
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
            caller_region: Some(region.into()),
            peer_region: via.map(Arc::from),
        }));
        id
    }

    /// Sends `rate` requests per second for `span`.
    fn flood(&mut self, region: &str, rate: u64, span: Duration) {
        let from = self.now;
        let mut sent = 0;
        while self.now < from + span {
            let elapsed_ms = u64::try_from(self.now.since(from).as_millis()).expect("short");
            while sent * 1000 < rate * elapsed_ms {
                sent += 1;
                self.request(region);
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

/// Regions `a` and `b` with one instance and `targets` targets each.
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
    // The serving region has three quarters of a shift's cap.
    for _ in 0..20 {
        engine.request("b");
    }
    assert_eq!(engine.log.local.len(), 15);
    assert_eq!(engine.log.refused.len(), 5);
    engine.request("a");
    assert_eq!(engine.log.local.len(), 16);
}

/// Callers of `b` address `a` directly after their own region failed, and no
/// operator has allowed a shift. They are refused at once with "not run" and a time
/// to retry; without the cap their traffic would shift without approval.
#[test]
fn foreign_caller_without_shift() {
    let mut plan = plan(12, 20);
    plan.shifts.clear();
    let mut engine = Engine::new(&plan, Guards::default(), 100);
    let id = engine.request("b");
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

/// A peer in `b` sends requests with large answers. Each answer is sent when the
/// link has room for it; without the outbox (as if the requests had not come over
/// a link) answers are sent as targets return them, far beyond the link's limit.
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

/// A graceful stop waits for answers that are queued for the link.
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

/// All callers of a region shift at once, to cold caches. The admitted rate grows
/// from a tenth of the allotment over the ramp time, and the rest is refused at
/// once; without the ramp the full cap falls on cold caches.
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

/// Region `b` has failed and its callers arrive here at three times the rate of
/// the cap. A request without room is refused on arrival; in a queue it would wait
/// for room that never comes and take queue space from this region's own callers.
#[test]
fn failover_refuses_at_once() {
    let mut engine = Engine::new(&plan(24, 133), Guards::default(), 100);
    let from = engine.now;
    for _ in 0..500 {
        for _ in 0..3 {
            let id = engine.request("b");
            let refused = engine.log.refused.last();
            let at_once = refused.is_some_and(|r| r.1 == id && r.0 == engine.now);
            assert!(at_once || engine.traffic.dispatch_state().waiting() == 0);
        }
        engine.request("a");
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

/// The own region is overloaded for ten seconds and then has room again. Requests
/// return to it as soon as it has room, and stay there: the direction changes once.
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
