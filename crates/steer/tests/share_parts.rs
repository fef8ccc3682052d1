//! Unit tests of windows, loans, allotments, ramps and the outbox.

#[path = "share_model/views.rs"]
mod views;

use core::time::Duration;
use std::sync::Arc;

use proptest::prelude::*;
use steer::clock::Time;
use steer::process::outbox::{FinalResponse, Outbox};
use steer::process::share::window::{RATE_PERIOD, Window};
use steer::process::share::{Guards, Route, SETTLING_TIME, Shares, loan};
use steer::request::answer::Answer;
use steer::request::arrival::RequestId;
use views::Plan;

const SETTLED_AT: Time = Time::from_micros(SETTLING_TIME.as_secs() * 1_000_000);

/// Creates shares that have held their slot for [`SETTLING_TIME`].
fn shares(plan: &Plan, name: &str, guards: Guards) -> Shares {
    let mut shares = Shares::new(guards);
    shares.configure(Time::ZERO, &plan.build(1), name);
    hold(&mut shares, Time::ZERO, SETTLED_AT);
    shares
}

/// Reports every two seconds that the slot is held.
fn hold(shares: &mut Shares, from: Time, until: Time) {
    let mut now = from;
    while now < until {
        shares.set_slot_held(now, true);
        now = now + Duration::from_secs(2);
    }
    shares.set_slot_held(until, true);
}

/// Largest sum taken in any second, closed at both ends.
fn peak(taken: &[(Time, u64)]) -> u64 {
    let within = |from: Time| {
        taken
            .iter()
            .filter(move |t| t.0 >= from && t.0 <= from + RATE_PERIOD)
    };
    let sums = taken.iter().map(|t| within(t.0).map(|w| w.1).sum());
    sums.max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn window_any_second(
        limit in 1..200u64,
        steps in prop::collection::vec((0..400_000u64, 1..60u64), 1..200),
    ) {
        let mut window = Window::default();
        let mut now = Time::ZERO;
        let mut taken = Vec::new();
        for (gap, amount) in steps {
            now = now + Duration::from_micros(gap);
            if window.used(now) + amount <= limit {
                window.add(now, amount);
                taken.push((now, amount));
            }
        }
        prop_assert!(peak(&taken) <= limit);
    }

    #[test]
    fn window_wait_suffices(
        limit in 0..100u64,
        steps in prop::collection::vec((0..400_000u64, 1..60u64), 1..50),
    ) {
        let mut window = Window::default();
        let mut now = Time::ZERO;
        for (gap, amount) in steps {
            now = now + Duration::from_micros(gap);
            window.add(now, amount);
        }
        let wait = window.wait(now, limit);
        prop_assert!(window.used(now + wait) <= limit);
        prop_assert!(wait <= RATE_PERIOD + Duration::from_millis(50));
    }

    #[test]
    fn parts_add_up(
        entries in prop::collection::vec(0..4usize, 1..40),
        cap in 0..1_000u64,
    ) {
        let plan = Plan::new(4, &entries).shift(0, 2, cap).link(1, 3, cap);
        let concerned = |region: usize| (region == 0 || region == 2, region == 1);
        let mut sums = [0, 0];
        for (name, region) in &plan.entries {
            let mut shares = shares(&plan, name, Guards::default());
            let parts = [
                shares.limit(SETTLED_AT, &plan.route(0, 2)),
                shares.limit(SETTLED_AT, &plan.link_route(1, 3)),
            ];
            let (shift, link) = concerned(*region);
            prop_assert!(shift || parts[0] == 0);
            prop_assert!(link || parts[1] == 0);
            sums[0] += parts[0];
            sums[1] += parts[1];
        }
        let any = |wanted: fn(usize) -> bool| entries.iter().any(|&r| wanted(r));
        prop_assert_eq!(sums[0], if any(|r| r == 0 || r == 2) { cap } else { 0 });
        prop_assert_eq!(sums[1], if any(|r| r == 1) { cap } else { 0 });
    }

    /// Instances that know different caps but the same layout stay within the
    /// larger cap only if no allotment shrinks when the cap grows.
    #[test]
    fn parts_grow_with_cap(count in 1..20usize, low in 0..100u64, more in 0..100u64) {
        let entries = vec![0; count];
        let limits = |cap: u64| {
            let plan = Plan::new(2, &entries).shift(0, 1, cap);
            let names = plan.entries.iter();
            let limit = |name: &str| shares(&plan, name, Guards::default())
                .limit(SETTLED_AT, &plan.route(0, 1));
            names.map(|(name, _)| limit(name)).collect::<Vec<u64>>()
        };
        let (less, more) = (limits(low), limits(low + more));
        prop_assert!(less.iter().zip(&more).all(|(l, m)| l <= m));
    }
}

fn pair(cap: u64) -> (Plan, Route) {
    let plan = Plan::new(2, &[0, 0]).shift(0, 1, cap);
    let route = plan.route(0, 1);
    (plan, route)
}

fn after(millis: u64) -> Time {
    SETTLED_AT + Duration::from_millis(millis)
}

#[test]
fn loan_moves_room() {
    let (plan, route) = pair(100);
    let mut lender = shares(&plan, "e000", Guards::default());
    let mut borrower = shares(&plan, "e001", Guards::default());
    let request = borrower.request_loan(SETTLED_AT, &route, 1, 1);
    let amount = lender.lend(SETTLED_AT, &route, request.amount);
    borrower.borrow(request.asked_at[0], &route, amount);
    assert_eq!((request.amount, amount), (50, 25));
    assert_eq!(lender.limit(SETTLED_AT, &route), 25);
    assert_eq!(borrower.limit(SETTLED_AT, &route), 75);
    for shares in [&mut lender, &mut borrower] {
        hold(shares, SETTLED_AT, after(7200));
    }
    assert_eq!(borrower.limit(SETTLED_AT + loan::BORROWER_TERM, &route), 50);
    assert_eq!(lender.limit(SETTLED_AT + loan::BORROWER_TERM, &route), 25);
    assert_eq!(lender.limit(SETTLED_AT + loan::LENDER_TERM, &route), 50);
}

/// The network delivers the lender's reply twice. The lender deducted 25 once; a
/// borrower that counts both copies would use 25 that were not lent.
#[rstest::rstest]
#[case::on(true, 75)]
#[case::off(false, 100)]
fn loan_answered_twice(#[case] single_reply: bool, #[case] limit: u64) {
    let (plan, route) = pair(100);
    let guards = Guards {
        single_reply,
        ..Guards::default()
    };
    let mut borrower = shares(&plan, "e001", guards);
    let request = borrower.request_loan(SETTLED_AT, &route, 1, 1);
    borrower.borrow(request.asked_at[0], &route, 25);
    borrower.borrow(request.asked_at[0], &route, 25);
    assert_eq!(borrower.limit(SETTLED_AT, &route), limit);
}

#[test]
fn loan_lost_loses() {
    let (plan, route) = pair(100);
    let mut lender = shares(&plan, "e000", Guards::default());
    let mut borrower = shares(&plan, "e001", Guards::default());
    let request = borrower.request_loan(SETTLED_AT, &route, 1, 1);
    assert_eq!(lender.lend(SETTLED_AT, &route, request.amount), 25);
    let sum = lender.limit(SETTLED_AT, &route) + borrower.limit(SETTLED_AT, &route);
    assert_eq!(sum, 75);
}

#[test]
fn loan_late_ignored() {
    let (plan, route) = pair(100);
    let mut borrower = shares(&plan, "e001", Guards::default());
    let request = borrower.request_loan(SETTLED_AT, &route, 1, 2);
    let late = SETTLED_AT + loan::BORROWER_TERM;
    hold(&mut borrower, SETTLED_AT, late);
    borrower.borrow(request.asked_at[0], &route, 25);
    borrower.borrow(request.asked_at[1], &route, 25);
    assert_eq!(borrower.limit(late, &route), 50);
}

/// An operator removes a cap and adds it back at once, as two versions. Use within
/// the second and loans still count: with a new state the instance would use its
/// allotment a second time.
#[rstest::rstest]
#[case::on(true, false)]
#[case::off(false, true)]
fn cap_back_remembers(#[case] retain_usage: bool, #[case] again: bool) {
    let (plan, route) = pair(100);
    let guards = Guards {
        retain_usage,
        ..Guards::default()
    };
    let mut shares = shares(&plan, "e000", guards);
    assert_eq!(shares.take(SETTLED_AT, &[(&route, 50)]), Ok(()));
    shares.configure(SETTLED_AT, &Plan::new(2, &[0, 0]).build(2), "e000");
    assert_eq!(shares.limit(SETTLED_AT, &route), 0);
    shares.configure(SETTLED_AT, &plan.build(3), "e000");
    assert_eq!(shares.take(SETTLED_AT, &[(&route, 50)]).is_ok(), again);
}

#[test]
fn cap_counts_at_once() {
    let (plan, route) = pair(100);
    let mut shares = shares(&plan, "e000", Guards::default());
    for (version, cap) in [(2, 10), (3, 400)] {
        let (plan, _) = pair(cap);
        shares.configure(SETTLED_AT, &plan.build(version), "e000");
        assert_eq!(shares.limit(SETTLED_AT, &route), cap / 2);
    }
}

/// Control hangs, or the process is paused and resumes with an old report that it
/// holds its slot. By then its successor uses the allotment.
#[rstest::rstest]
#[case::on(true, 0)]
#[case::off(false, 50)]
fn hold_expired(#[case] held: bool, #[case] limit: u64) {
    let (plan, route) = pair(100);
    let guards = Guards {
        held,
        ..Guards::default()
    };
    let mut shares = shares(&plan, "e000", guards);
    assert_eq!(shares.limit(after(3001), &route), limit);
}

/// A process was partitioned off, lost its hold, and is healed. It may still have
/// a version that the others replaced long ago, so it has to wait: an allotment
/// used at once could be that of the old layout.
#[rstest::rstest]
#[case::on(true, 0)]
#[case::off(false, 50)]
fn lapse_waits(#[case] settle: bool, #[case] limit: u64) {
    let (plan, route) = pair(100);
    let guards = Guards {
        settle,
        ..Guards::default()
    };
    let mut shares = shares(&plan, "e000", guards);
    shares.set_slot_held(after(1000), false);
    shares.set_slot_held(after(6000), true);
    assert_eq!(shares.limit(after(6000), &route), limit);
    hold(&mut shares, after(6000), after(6000) + SETTLING_TIME);
    assert_eq!(shares.limit(after(6000) + SETTLING_TIME, &route), 50);
}

/// Low traffic does not warm the caches of a shift, so it must not raise the limit:
/// high traffic that follows starts at a tenth.
#[test]
fn ramp_low_traffic() {
    let mut plan = Plan::new(2, &[0]);
    plan.shifts = vec![(0, 1, 1000, Duration::from_secs(30))];
    let route = plan.route(0, 1);
    let mut shares = shares(&plan, "e000", Guards::default());
    let mut now = SETTLED_AT;
    for _ in 0..120 {
        hold(&mut shares, now, now);
        assert_eq!(shares.take(now, &[(&route, 1)]), Ok(()));
        now = now + RATE_PERIOD;
    }
    hold(&mut shares, now, now);
    assert_eq!(shares.limit(now, &route), 100);
}

/// A sudden large shift of traffic starts at a tenth of the limit and reaches all
/// of it only after nine tenths of the ramp time.
#[rstest::rstest]
#[case::on(true, 27)]
#[case::off(false, 0)]
fn ramp_large_move(#[case] ramp: bool, #[case] seconds: u64) {
    let mut plan = Plan::new(2, &[0]);
    plan.shifts = vec![(0, 1, 1000, Duration::from_secs(30))];
    let route = plan.route(0, 1);
    let guards = Guards {
        ramp,
        ..Guards::default()
    };
    let mut shares = shares(&plan, "e000", guards);
    let mut whole = None;
    for millis in (0..60_000).step_by(10) {
        let now = after(millis);
        hold(&mut shares, now, now);
        while shares.take(now, &[(&route, 1)]).is_ok() {}
        if whole.is_none() && shares.limit(now, &route) == 1000 {
            whole = Some(millis / 1000);
        }
    }
    assert_eq!(whole, Some(seconds));
}

fn reply(bytes: usize) -> FinalResponse {
    FinalResponse::Reply(Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![0; bytes].into(),
    }))
}

/// An outbox with requests over links to `b` and `c`, whose limits are 100,000
/// and 10,000 bytes a second.
fn outbox() -> (Plan, Shares, Outbox) {
    let plan = Plan::new(3, &[0]).link(0, 1, 100_000).link(0, 2, 10_000);
    let shares = shares(&plan, "e000", Guards::default());
    (plan, shares, Outbox::default())
}

fn ids(free: &[(RequestId, FinalResponse)]) -> Vec<u64> {
    free.iter().map(|f| f.0.0).collect()
}

#[test]
fn outbox_keeps_order() {
    let (plan, mut shares, mut outbox) = outbox();
    for id in 1..=3 {
        let link = plan.link_route(0, 1);
        assert!(outbox.admit(SETTLED_AT, RequestId(id), link, &mut shares));
    }
    for (id, bytes) in [(2, 60_000), (1, 60_000), (3, 10)] {
        outbox.put(RequestId(id), reply(bytes));
    }
    assert_eq!(ids(&outbox.release(SETTLED_AT, &mut shares)), [2]);
    assert_eq!(outbox.waiting(), 2);
    assert_eq!(ids(&outbox.release(after(1049), &mut shares)), []);
    assert_eq!(ids(&outbox.release(after(1050), &mut shares)), [1, 3]);
    assert_eq!(outbox.waiting(), 0);
}

#[test]
fn outbox_full_link_alone() {
    let (plan, mut shares, mut outbox) = outbox();
    for (id, to) in [(1, 2), (2, 1)] {
        let link = plan.link_route(0, to);
        assert!(outbox.admit(SETTLED_AT, RequestId(id), link, &mut shares));
        outbox.put(RequestId(id), reply(50_000));
    }
    assert_eq!(ids(&outbox.release(SETTLED_AT, &mut shares)), [2]);
    assert_eq!(
        outbox.blocked().map(|l| l.0.clone()),
        Some(plan.link_route(0, 2))
    );
}

/// Expected answers may fill what a link takes in a quarter of a second; a request
/// beyond that is refused before it runs.
#[test]
fn outbox_admits_few() {
    let (plan, mut shares, mut outbox) = outbox();
    let mut admitted = 0;
    for id in 0..10 {
        let link = plan.link_route(0, 1);
        admitted += u32::from(outbox.admit(SETTLED_AT, RequestId(id), link, &mut shares));
    }
    assert_eq!(admitted, 3);
}

/// Answers are larger than a quarter of what the link takes in a second. One at a
/// time is still admitted; otherwise the link would never carry any.
#[test]
fn outbox_large_one_by_one() {
    let (plan, mut shares, mut outbox) = outbox();
    let link = || plan.link_route(0, 2);
    let mut now = SETTLED_AT;
    for id in 0..5 {
        hold(&mut shares, now, now);
        assert!(outbox.admit(now, RequestId(id), link(), &mut shares));
        assert!(!outbox.admit(now, RequestId(100 + id), link(), &mut shares));
        outbox.put(RequestId(id), reply(9_000));
        assert_eq!(ids(&outbox.release(now, &mut shares)), [id]);
        now = now + Duration::from_millis(1100);
    }
}

/// An answer takes three and a half seconds of the link's limit. Its bytes are
/// reserved over several seconds before it is sent, so that the sum in any second
/// is within the limit.
#[test]
fn outbox_larger_than_second() {
    let (plan, mut shares, mut outbox) = outbox();
    let link = plan.link_route(0, 2);
    for id in [1, 2] {
        outbox.admit(SETTLED_AT, RequestId(id), link.clone(), &mut shares);
    }
    outbox.put(RequestId(1), reply(35_000 - 512));
    let mut taken = Vec::new();
    let mut left = None;
    for millis in (0..8_000).step_by(10) {
        let now = after(millis);
        hold(&mut shares, now, now);
        let before = shares.available(now, &link);
        let free = outbox.release(now, &mut shares);
        taken.push((now, before - shares.available(now, &link)));
        if !free.is_empty() {
            left = Some(millis);
        }
    }
    assert_eq!(taken.iter().map(|t| t.1).sum::<u64>(), 35_000);
    assert!(peak(&taken) <= 10_000, "{}", peak(&taken));
    assert_eq!(left, Some(3150));
}

/// The requester disconnects while its answer waits: the link is free for others.
#[test]
fn outbox_forgets_gone() {
    let (plan, mut shares, mut outbox) = outbox();
    let link = plan.link_route(0, 2);
    assert!(outbox.admit(SETTLED_AT, RequestId(1), link, &mut shares));
    outbox.put(RequestId(1), reply(35_000));
    assert!(outbox.release(SETTLED_AT, &mut shares).is_empty());
    outbox.forget(RequestId(1));
    assert_eq!(outbox.waiting(), 0);
}
