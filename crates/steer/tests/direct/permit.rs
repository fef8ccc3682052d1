//! Permits of suspects over several instances, and answers as evidence.

use std::sync::Arc;

use rstest::rstest;
use steer::clock::Time;
use steer::process::direct::members::Registration;
use steer::process::direct::permit::{PermitReply, PermitRequest};
use steer::process::direct::suspect::{ANSWERED_STRIKES_MAX, STRIKES_MAX};
use steer::process::direct::{AttemptOutcome, Decision, Rejection, Withheld};
use steer::request::arrival::Fingerprint;
use steer::request::poison::{Report, SUSPECT_TTL};

use super::bench::{Bench, MS, at, entry, registration, route};

/// Time of one step of all instances.
const STEP: u64 = 5;

fn name(number: usize) -> Arc<str> {
    format!("instance-{number}").into()
}

/// Instances that know each other and six targets.
fn fleet(size: usize) -> Vec<Bench> {
    let targets = ["t1", "t2", "t3", "t4", "t5", "t6"].map(|id| entry(id, "near-a"));
    let place = |number: usize| Registration {
        heartbeats: ([127, 0, 0, 1], u16::try_from(number).expect("small") + 1).into(),
        ..registration("near")
    };
    let start = |number: usize| {
        let mut bench = Bench::named(&name(number), route(), &targets);
        for other in (0..size).filter(|o| *o != number) {
            let place = place(other);
            bench.direct.set_member(at(0), &name(other), Some(place));
        }
        bench.direct.store_answered(at(0), 1);
        bench
    };
    (0..size).map(start).collect()
}

fn suspect(strikes: u8) -> Report {
    Report {
        fingerprint: Fingerprint(1),
        round: 0,
        strikes,
        left: SUSPECT_TTL,
    }
}

fn tell(fleet: &mut [Bench], now: Time, report: Report) {
    for bench in fleet {
        let sender: Arc<str> = "teller".into();
        bench.direct.receive_suspects(now, &sender, &[report]);
    }
}

/// Delivers all messages about permits, but those to and from `cut`; returns the requests
/// that are sent or rejected, by instance.
fn exchange(fleet: &mut [Bench], now: Time, cut: Option<usize>) -> Vec<(usize, Decision)> {
    let mut decisions = Vec::new();
    for _ in 0..2 {
        for number in 0..fleet.len() {
            fleet[number].direct.store_answered(now, 1);
            let decided = fleet[number].direct.step(now).into_iter();
            decisions.extend(decided.map(|d| (number, d)));
            for (addr, ask) in fleet[number].direct.permit_requests(now) {
                let issuer = usize::from(addr.port()) - 1;
                if [Some(number), Some(issuer)].contains(&cut) {
                    continue;
                }
                if let Some(answer) = fleet[issuer].direct.receive_permit_request(now, &ask) {
                    fleet[number].direct.receive_permit_reply(now, &answer);
                }
            }
        }
    }
    decisions
}

fn sent(decisions: &[(usize, Decision)]) -> Vec<usize> {
    let is_sent = |d: &&(usize, Decision)| matches!(d.1, Decision::Send(_));
    decisions.iter().filter(is_sent).map(|d| d.0).collect()
}

/// Copies of a suspect ran at several instances at once, and each took a target with it.
#[rstest]
#[case::crashes(AttemptOutcome::ConnectionLost, false)]
#[case::is_answered(AttemptOutcome::Answered, true)]
fn run_one_copy_over_all_instances(#[case] outcome: AttemptOutcome, #[case] all_sent: bool) {
    const INSTANCES: usize = 7;
    let mut fleet = fleet(INSTANCES);
    tell(&mut fleet, at(0), suspect(STRIKES_MAX - 1));
    for bench in &mut fleet {
        bench.submit(at(10), Some(1));
    }
    let decisions = exchange(&mut fleet, at(10), None);
    let [(runner, Decision::Send(first))] = &decisions[..] else {
        panic!("one copy is sent: {decisions:?}");
    };
    assert!(exchange(&mut fleet, at(100), None).is_empty());
    let direct = &mut fleet[*runner].direct;
    direct.finish_attempt(at(150), first.ticket, outcome);
    let mut decisions = Vec::new();
    for millis in (150..300).step_by(45) {
        decisions.extend(exchange(&mut fleet, at(millis), None));
    }
    if all_sent {
        assert_eq!(sent(&decisions).len(), INSTANCES - 1);
    } else {
        assert!(sent(&decisions).is_empty());
        let is_refused = |d: &&(usize, Decision)| matches!(&d.1, Decision::Reject { reason, .. } if *reason == Rejection::Poison);
        assert_eq!(decisions.iter().filter(is_refused).count(), INSTANCES - 1);
    }
}

/// A suspect was never tried again when the instance that issues its permits could not be
/// reached, or had gone while a copy ran.
#[rstest]
#[case::issuer_cut_off(0)]
#[case::holder_gone(1)]
fn pass_over_unreachable_instance(#[case] lost: usize) {
    const INSTANCES: usize = 3;
    // The issuer is whom another instance sends its request to.
    let mut probe = fleet(INSTANCES);
    tell(&mut probe, at(0), suspect(1));
    probe[0].submit(at(10), Some(1));
    probe[1].submit(at(10), Some(1));
    probe[0].direct.step(at(10));
    probe[1].direct.step(at(10));
    let asked = (0..2).find_map(|n| {
        let asks = probe[n].direct.permit_requests(at(10));
        asks.first().map(|(addr, _)| usize::from(addr.port()) - 1)
    });
    let issuer = asked.expect("two instances can't both be the issuer");
    let others: Vec<usize> = (0..INSTANCES).filter(|n| *n != issuer).collect();
    let mut fleet = fleet(INSTANCES);
    tell(&mut fleet, at(0), suspect(1));
    let (cut, runner) = if lost == 0 {
        (issuer, others[0])
    } else {
        // This one gets the permit, and is never heard of again.
        fleet[others[0]].submit(at(10), Some(1));
        assert_eq!(sent(&exchange(&mut fleet, at(10), None)), [others[0]]);
        (others[0], others[1])
    };
    let mut sent_at = None;
    for millis in (20..5_000).step_by(usize::try_from(STEP).expect("small")) {
        let is_waiting = fleet[runner].direct.waiting_count() > 0;
        if !is_waiting && sent_at.is_none() {
            fleet[runner].submit(at(millis), Some(1));
        }
        let decisions = exchange(&mut fleet, at(millis), Some(cut));
        if sent(&decisions).contains(&runner) {
            sent_at.get_or_insert(millis);
        }
    }
    let sent_at = sent_at.expect("it is tried");
    // The life of a permit, or the time without a reply.
    let bound = if lost == 0 { 400 } else { 3_200 };
    assert!(sent_at <= bound, "after {sent_at} ms");
}

/// A copy that was decided on before the first strike was sent beside the one that has the
/// permit.
#[test]
fn withhold_copy_decided_before_strike() {
    let mut fleet = fleet(2);
    let decided = fleet[0].send(at(0), Some(1));
    tell(&mut fleet, at(1), suspect(1));
    assert_eq!(
        fleet[0].direct.withheld(at(2), &decided),
        Some(Withheld::Suspect)
    );
}

/// A popular request that was under way in several crashes was refused everywhere.
#[rstest]
#[case::never_answered(false, STRIKES_MAX)]
#[case::answered(true, ANSWERED_STRIKES_MAX)]
fn refuse_answered_request_later(#[case] is_answered: bool, #[case] strikes_max: u8) {
    let mut fleet = fleet(1);
    if is_answered {
        fleet[0].serve(at(0), 1, 50 * MS);
    }
    for strikes in 1..=strikes_max {
        tell(&mut fleet, at(100), suspect(strikes));
        let request = fleet[0].request(Some(1), at(4_000));
        let submitted = fleet[0].direct.submit(at(100), request);
        let refused = submitted == Err(Rejection::Poison);
        assert_eq!(refused, strikes == strikes_max, "{strikes} strikes");
    }
}

/// An answer to a copy that was under way did not count once the request was refused.
#[test]
fn clear_refused_request_that_is_answered() {
    let mut fleet = fleet(1);
    let under_way = fleet[0].send(at(0), Some(1));
    tell(&mut fleet, at(10), suspect(STRIKES_MAX));
    let ticket = under_way.ticket;
    fleet[0]
        .direct
        .finish_attempt(at(50), ticket, AttemptOutcome::Answered);
    assert_eq!(fleet[0].direct.suspect_counts(), (0, 0));
}

/// An instance was issued a permit on what its issuer had not heard of yet.
#[test]
fn learn_strikes_by_request() {
    let mut fleet = fleet(2);
    let ask = PermitRequest {
        name: name(0),
        incarnation: 1,
        report: suspect(ANSWERED_STRIKES_MAX),
        is_release: false,
    };
    let answer = fleet[1].direct.receive_permit_request(at(0), &ask);
    assert!(!answer.expect("it is asked").is_granted);
    assert_eq!(fleet[1].direct.suspect_counts(), (1, 1));
}

/// An issuer whose reply came after it was skipped kept its permit for seconds.
#[test]
fn release_permit_of_skipped_issuer() {
    let mut fleet = fleet(3);
    tell(&mut fleet, at(0), suspect(1));
    // One that doesn't issue the permits itself, so that it requests one.
    let runner = (0..3).find(|number| {
        fleet[*number].submit(at(10), Some(1));
        fleet[*number].direct.step(at(10)).is_empty()
    });
    let direct = &mut fleet[runner.expect("two of three must request")].direct;
    let first = direct.permit_requests(at(10)).pop().expect("one is due");
    let later = direct.permit_requests(at(270));
    let (second, _) = later.first().expect("another issuer is tried");
    assert_ne!(*second, first.0);
    let reply = PermitReply {
        name: name(usize::from(first.0.port()) - 1),
        incarnation: 1,
        report: suspect(1),
        is_granted: true,
    };
    direct.receive_permit_reply(at(280), &reply);
    let due = direct.permit_requests(at(281));
    assert!(due.iter().any(|(to, r)| *to == first.0 && r.is_release));
}
