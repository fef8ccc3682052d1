//! Tests of requests that are suspected of crashing targets: who is told of them, and
//! when one is not sent.

use std::net::SocketAddr;
use std::sync::Arc;

use rstest::rstest;
use steer::clock::Time;
use steer::process::direct::members::Registration;
use steer::process::direct::suspect::STRIKES_MAX;
use steer::process::direct::target::Entry;
use steer::process::direct::verdict::Row;
use steer::process::direct::{Assignment, AttemptOutcome, Decision, FollowUp, Rejection, Withheld};
use steer::request::arrival::Fingerprint;
use steer::request::poison::{Report, SUSPECT_TTL};

use super::bench::{Bench, MS, at, entry, registration, route};

/// Time between two messages of an instance.
const TURN: u32 = 250;

/// Address for heartbeats of the instance with this number.
fn addr(number: usize) -> SocketAddr {
    let port = u16::try_from(number).expect("the fleet is small") + 1;
    ([127, 0, 0, 1], port).into()
}

/// Instances that know each other, spread over six failure domains of two regions.
fn fleet(size: usize) -> Vec<Bench> {
    let member = |number: usize| {
        let region = ["near", "far"][number % 2];
        let registration = Registration {
            domain: format!("{region}-{}", number % 6 / 2).into(),
            heartbeats: addr(number),
            ..registration(region)
        };
        (format!("instance-{number}"), registration)
    };
    let all: Vec<(String, Registration)> = (0..size).map(member).collect();
    let start = |number: usize| {
        let mut bench = Bench::named(&all[number].0, route(), &[]);
        let others = all.iter().enumerate().filter(|(i, _)| *i != number);
        let members = others.map(|(_, (name, place))| (&**name, Some(place.clone())));
        bench.direct.set_members(Time::ZERO, members.collect());
        bench
    };
    (0..size).map(start).collect()
}

/// What an instance holds against requests that are always refused.
fn verdicts(count: u128) -> Vec<Report> {
    let report = |n| Report {
        fingerprint: Fingerprint(n),
        round: 0,
        strikes: STRIKES_MAX,
        left: SUSPECT_TTL,
    };
    (1..=count).map(report).collect()
}

fn refused(bench: &Bench) -> usize {
    bench.direct.suspect_counts().1
}

/// Takes a turn of all instances; returns the messages sent and their reports.
fn turn(now: Time, fleet: &mut [Bench]) -> (usize, usize) {
    let messages: Vec<_> = fleet
        .iter_mut()
        .filter_map(|bench| bench.direct.suspect_message(now))
        .collect();
    let sender: Arc<str> = "sender".into();
    let (mut sent, mut told) = (0, 0);
    for message in messages {
        for recipient in message.recipients {
            sent += 1;
            told += message.reports.len();
            let number = usize::from(recipient.port()) - 1;
            fleet[number]
                .direct
                .receive_suspects(now, &sender, &message.reports);
        }
    }
    (sent, told)
}

/// A verdict reached the same few instances of a fleet only, and of many the smallest ones.
#[rstest]
#[case::seven(7, 1)]
#[case::hundred(100, 1)]
#[case::fleet(985, 1)]
#[case::hundred_with_forty(100, 40)]
fn tell_all_instances(#[case] size: usize, #[case] requests: u128) {
    let mut fleet = fleet(size);
    let begin = at(60_000);
    let sender: Arc<str> = "first".into();
    fleet[0]
        .direct
        .receive_suspects(begin, &sender, &verdicts(requests));
    let requests = usize::try_from(requests).expect("the number is small");
    let done = |fleet: &[Bench]| fleet.iter().all(|bench| refused(bench) == requests);
    let mut turns = 0;
    while !done(&fleet) {
        turns += 1;
        turn(begin + turns * TURN * MS, &mut fleet);
        // The time within which the platform's rules want it known.
        assert!(turns * TURN <= 4_000, "some instance is not told");
    }
    // Once all know, an instance is told now and then.
    let quiet = begin + 10_000 * MS;
    let messages: usize = (0..8)
        .map(|i| turn(quiet + i * TURN * MS, &mut fleet).0)
        .sum();
    assert!(messages <= size * 2, "{messages} messages in two seconds");
}

/// An instance that was cut off while a verdict was told never learned of it.
#[test]
fn tell_instance_that_missed_the_news() {
    let mut fleet = fleet(7);
    let begin = at(60_000);
    let sender: Arc<str> = "first".into();
    for bench in &mut fleet[..6] {
        bench.direct.receive_suspects(begin, &sender, &verdicts(40));
    }
    let back = begin + 10_000 * MS;
    let mut turns = 0;
    while refused(&fleet[6]) < 40 {
        turns += 1;
        turn(back + turns * TURN * MS, &mut fleet);
        assert!(turns * TURN <= 8_000, "it is not told");
    }
}

/// News of before brought strikes back that were withdrawn since.
#[test]
fn keep_cleared_despite_old_report() {
    let targets = [entry("t1", "near-a"), entry("t2", "near-a")];
    let mut bench = Bench::new(route(), &targets);
    let first = bench.send(at(0), Some(1));
    bench
        .direct
        .finish_attempt(at(50), first.ticket, AttemptOutcome::ConnectionLost);
    let old = bench.direct.suspect_report(at(60), first.fingerprint);
    let Some(Decision::Send(second)) = bench.decide(at(60)) else {
        panic!("another target is free");
    };
    bench
        .direct
        .finish_attempt(at(90), second.ticket, AttemptOutcome::Answered);
    let sender: Arc<str> = "other".into();
    let old = old.expect("it has a strike");
    bench.direct.receive_suspects(at(100), &sender, &[old]);
    assert_eq!(bench.direct.suspect_counts(), (0, 0));
}

/// A verdict passed on among instances lived for ever.
#[test]
fn drop_verdict_at_its_end() {
    let mut fleet = fleet(3);
    let sender: Arc<str> = "first".into();
    fleet[0]
        .direct
        .receive_suspects(at(0), &sender, &verdicts(1));
    let mut now = at(0);
    while now < Time::ZERO + SUSPECT_TTL + 5_000 * MS {
        now = now + TURN * MS;
        turn(now, &mut fleet);
        for bench in &mut fleet {
            bench.direct.sweep(now);
        }
    }
    assert!(fleet.iter().all(|bench| refused(bench) == 0));
}

/// Whoever started anew knew nothing of a request that crashes targets.
#[test]
fn learn_verdict_from_store() {
    let mut bench = Bench::new(route(), &[entry("t1", "near-a")]);
    let row = Row {
        round: 0,
        strikes: STRIKES_MAX,
        trials: 0,
        left: SUSPECT_TTL,
    };
    bench.direct.learn_row(at(0), Fingerprint(1), 9, Some(row));
    let ticket = bench
        .direct
        .submit(at(10), bench.request(Some(1), at(5_000)));
    assert_eq!(ticket, Err(Rejection::Poison));
    // What is stored is not written again.
    bench.direct.store_answered(at(20), 9);
    assert_eq!(bench.direct.next_row_write(at(60_000)), None);
}

/// An instance that knows the store, with a request under which three of its targets broke
/// off by 90 ms.
fn break_thrice(targets: &[Entry]) -> (Bench, Assignment) {
    let mut bench = Bench::new(route(), targets);
    bench.direct.store_answered(at(0), 9);
    let first = bench.send(at(0), Some(1));
    for millis in [40, 60] {
        bench
            .direct
            .finish_attempt(at(millis), first.ticket, AttemptOutcome::ConnectionLost);
        bench.decide(at(millis));
    }
    let repeat = bench.send(at(70), Some(1));
    bench
        .direct
        .finish_attempt(at(90), repeat.ticket, AttemptOutcome::ConnectionLost);
    (bench, first)
}

/// A verdict was lost with all instances, or written by each of them, or for requests that
/// never came again.
#[test]
fn store_verdict_of_repeated_request_once() {
    let targets = ["t1", "t2", "t3"].map(|id| entry(id, "near-a"));
    let (mut bench, first) = break_thrice(&targets);
    // A caller's second try is no sign that the request comes again and again.
    let request = bench.request(Some(1), at(5_000));
    assert!(bench.direct.submit(at(95), request.clone()).is_err());
    assert_eq!(bench.direct.next_row_write(at(96)), None);
    assert!(bench.direct.submit(at(97), request.clone()).is_err());
    let write = bench.direct.next_row_write(at(100)).expect("it is due");
    assert_eq!((write.revision, write.row.strikes), (0, STRIKES_MAX));
    assert_eq!(bench.direct.next_row_write(at(110)), None);
    // Another instance that was told writes it only if repeats come to it, too.
    let mut other = Bench::named("near-2", route(), &targets);
    other.direct.store_answered(at(0), 9);
    let report = bench.direct.suspect_report(at(100), first.fingerprint);
    let sender: Arc<str> = "near-1".into();
    let reports = [report.expect("it is held")];
    other.direct.receive_suspects(at(100), &sender, &reports);
    other.direct.store_answered(at(40_000), 9);
    assert_eq!(other.direct.next_row_write(at(40_000)), None);
    for _ in 0..2 {
        assert!(other.direct.submit(at(40_000), request.clone()).is_err());
    }
    assert!(other.direct.next_row_write(at(40_000)).is_some());
}

/// A request that waited when the verdict came, or for its connection, was sent.
#[test]
fn ask_at_moment_of_sending() {
    let targets = ["t1", "t2"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route(), &targets);
    let decided = bench.send(at(0), Some(1));
    bench.submit(at(1), Some(1));
    let sender: Arc<str> = "other".into();
    bench.direct.receive_suspects(at(2), &sender, &verdicts(1));
    assert_eq!(
        bench.direct.withheld(at(3), &decided),
        Some(Withheld::Poison)
    );
    let Some(Decision::Reject { reason, .. }) = bench.decide(at(3)) else {
        panic!("the waiting request is refused");
    };
    assert_eq!(reason, Rejection::Poison);
    let follow_up = bench
        .direct
        .finish_attempt(at(4), decided.ticket, AttemptOutcome::Withdrawn);
    assert_eq!(follow_up, FollowUp::Retry);
    let Some(Decision::Reject { reason, .. }) = bench.decide(at(4)) else {
        panic!("the withheld request is refused");
    };
    assert_eq!(reason, Rejection::Poison);
}

/// Copies of a suspect ran at once, and each took a target with it.
#[rstest]
#[case::crashes(AttemptOutcome::ConnectionLost, 1)]
#[case::is_answered(AttemptOutcome::Answered, 3)]
fn run_one_copy_of_suspect(#[case] outcome: AttemptOutcome, #[case] copies: usize) {
    let targets = ["t1", "t2", "t3", "t4"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route(), &targets);
    let first = bench.send(at(0), Some(1));
    bench
        .direct
        .finish_attempt(at(50), first.ticket, AttemptOutcome::ConnectionLost);
    for _ in 0..3 {
        bench.submit(at(50), Some(1));
    }
    let mut sent = bench.direct.step(at(50));
    assert_eq!(sent.len(), 1, "{sent:?}");
    let Some(Decision::Send(second)) = sent.pop() else {
        panic!("one copy is sent");
    };
    bench.direct.finish_attempt(at(60), second.ticket, outcome);
    let decisions = bench.direct.step(at(60));
    let sent = decisions.iter().filter(|d| matches!(d, Decision::Send(_)));
    assert_eq!(sent.count(), copies);
}

/// A request that was under way in two crashes by chance was refused for ten minutes.
#[rstest]
#[case::innocent(AttemptOutcome::Answered, 0)]
#[case::crashes(AttemptOutcome::ConnectionLost, STRIKES_MAX + 1)]
fn try_refused_request_after_a_while(#[case] outcome: AttemptOutcome, #[case] strikes: u8) {
    const FINGERPRINT: Fingerprint = Fingerprint(1);
    let targets = ["t1", "t2"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route(), &targets);
    let row = |strikes, trials| {
        Some(Row {
            round: 0,
            strikes,
            trials,
            left: SUSPECT_TTL,
        })
    };
    bench
        .direct
        .learn_row(at(0), FINGERPRINT, 9, row(STRIKES_MAX, 0));
    bench.direct.store_answered(at(59_000), 9);
    assert_eq!(bench.direct.begin_trial(at(59_000), FINGERPRINT), None);
    bench.direct.store_answered(at(60_000), 9);
    let write = bench.direct.begin_trial(at(60_000), FINGERPRINT);
    let write = write.expect("a minute is over");
    assert_eq!((write.revision, write.row.trials), (9, 1));
    // One trial at a time, and none before it is written.
    assert_eq!(bench.direct.begin_trial(at(60_001), FINGERPRINT), None);
    let request = bench.request(Some(1), at(64_000));
    assert_eq!(
        bench.direct.submit(at(60_001), request.clone()),
        Err(Rejection::Poison)
    );
    bench.direct.permit_trial(at(60_010), FINGERPRINT);
    let trial = bench.send(at(60_010), Some(1));
    assert_eq!(bench.direct.withheld(at(60_011), &trial), None);
    assert_eq!(
        bench.direct.submit(at(60_011), request),
        Err(Rejection::Poison)
    );
    let follow_up = bench
        .direct
        .finish_attempt(at(60_060), trial.ticket, outcome);
    assert_eq!(follow_up, FollowUp::Settled);
    let report = bench.direct.suspect_report(at(60_060), FINGERPRINT);
    assert_eq!(report.map(|r| r.strikes), Some(strikes));
    // Others learn of it from the store.
    bench
        .direct
        .learn_row(at(60_070), FINGERPRINT, 10, row(STRIKES_MAX, 1));
    let write = bench.direct.next_row_write(at(60_100)).expect("it changed");
    assert_eq!((write.revision, write.row.strikes), (10, strikes));
    // No more than two trials.
    bench
        .direct
        .learn_row(at(60_200), FINGERPRINT, 11, row(STRIKES_MAX + 1, 2));
    bench.direct.store_answered(at(200_000), 11);
    assert_eq!(bench.direct.begin_trial(at(200_000), FINGERPRINT), None);
}

/// Where answers are lost on connections, a request that many callers send was refused
/// although no target had crashed.
#[rstest]
#[case::connections_broke(true, 0)]
#[case::targets_crashed(false, 1)]
fn take_strikes_back_while_targets_are_listed(#[case] listed: bool, #[case] held: usize) {
    let targets = ["t1", "t2", "t3"].map(|id| entry(id, "near-a"));
    let (mut bench, _) = break_thrice(&targets);
    assert_eq!(bench.direct.suspect_counts(), (1, 1));
    for second in 1..=17 {
        let now = at(second * 1_000);
        bench.direct.store_answered(now, 9);
        if second == 4 && !listed {
            for id in ["t1", "t2", "t3"] {
                bench.direct.unlist(now, id);
            }
        }
        bench.direct.sweep(now);
    }
    assert_eq!(bench.direct.suspect_counts(), (held, held));
}

/// Strikes that an answer had cleared were held at other instances.
#[rstest]
#[case::told(false, 0)]
#[case::seen(true, 1)]
fn tell_that_suspect_was_answered(#[case] is_own: bool, #[case] strikes: usize) {
    let targets = ["t1", "t2"].map(|id| entry(id, "near-a"));
    let mut bench = Bench::new(route(), &targets);
    let mut other = Bench::named("near-2", route(), &targets);
    let first = bench.send(at(0), Some(1));
    bench
        .direct
        .finish_attempt(at(50), first.ticket, AttemptOutcome::ConnectionLost);
    if is_own {
        let sent = other.send(at(0), Some(1));
        other
            .direct
            .finish_attempt(at(55), sent.ticket, AttemptOutcome::ConnectionLost);
    }
    let told = bench.direct.heartbeat(at(60), true);
    other.direct.receive_heartbeat(at(60), told);
    assert_eq!(other.direct.suspect_counts(), (1, 0));
    let Some(Decision::Send(second)) = bench.decide(at(70)) else {
        panic!("another target is free");
    };
    bench
        .direct
        .finish_attempt(at(90), second.ticket, AttemptOutcome::Answered);
    let told = bench.direct.heartbeat(at(100), true);
    other.direct.receive_heartbeat(at(100), told);
    assert_eq!(other.direct.suspect_counts(), (strikes, 0));
}
