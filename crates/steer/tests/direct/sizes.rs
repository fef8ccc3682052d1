//! Instances that callers are told where sizes differ: few large ones, and as many more as
//! the load needs.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use rstest::rstest;
use steer::process::direct::mechanisms::{Mechanism, Mechanisms};
use steer::process::direct::members::{Heartbeat, Registration};
use steer::process::direct::referral::demand::CallerRate;
use steer::process::direct::referral::ranking::{Instance, Ranking};
use steer::process::direct::referral::size::Size;
use steer::process::direct::{Direct, Identity, Request};
use steer::request::arrival::Fingerprint;
use steer::version::routes::Route;

use super::bench::{at, bounds, entry, heartbeat, route, routes};

/// Host of the callers' requests.
const HOST: &str = "a.example";

/// Requests a second that a large and a small instance serve.
const LARGE_CAPACITY: f64 = 750.0;
const SMALL_CAPACITY: f64 = 100.0;

fn large() -> Option<Size> {
    Size::from_settings(0.5, 200.0)
}

fn small() -> Option<Size> {
    Size::from_settings(0.1, 10.0)
}

/// Row of an instance in the store.
#[derive(Clone)]
struct Row {
    name: Arc<str>,
    registration: Registration,
    size: Option<Size>,
}

/// Rows of a region's two domains, each with two large instances and some small ones.
fn region_rows(region: &str, per_domain: usize, first_port: u16) -> Vec<Row> {
    let mut rows = Vec::new();
    for (domain, number) in ["a", "b"]
        .iter()
        .flat_map(|d| (0..per_domain).map(move |n| (d, n)))
    {
        let port = first_port + u16::try_from(rows.len()).expect("few instances");
        let addr: SocketAddr = ([127, 0, 0, 1], port).into();
        rows.push(Row {
            name: format!("{region}-{domain}-{number:03}").into(),
            registration: Registration {
                region: region.into(),
                domain: format!("{region}-{domain}").into(),
                callers: addr,
                peers: addr,
                heartbeats: addr,
            },
            size: if number < 2 { large() } else { small() },
        });
    }
    rows
}

/// An instance that has read these rows, with other mechanisms than usual.
fn start_with(rows: &[Row], own: usize, mechanisms: Mechanisms) -> Direct {
    let row = &rows[own];
    let identity = Identity {
        name: Arc::clone(&row.name),
        region: Arc::clone(&row.registration.region),
        incarnation: 1,
        registration: row.registration.clone(),
    };
    let domains = ["near-a", "near-b", "far-a", "far-b"];
    let region = |d: &str| d.split('-').next().unwrap_or_default().into();
    let domains = domains.map(|d| (d.into(), region(d))).to_vec();
    let mut direct = Direct::with(identity, bounds(), domains, mechanisms);
    direct.install(Arc::new(routes(1, route())));
    direct.roster.put(at(0), entry("t1", "near-a"));
    direct.set_own_size(row.size);
    direct.store_answered(at(0), 1);
    let members = rows
        .iter()
        .map(|r| (&*r.name, Some(r.registration.clone())));
    direct.set_members(at(0), members.collect());
    let sizes: Vec<_> = rows.iter().map(|r| (&*r.name, r.size)).collect();
    direct.set_sizes(&sizes);
    direct
}

fn start(rows: &[Row], own: usize) -> Direct {
    start_with(rows, own, Mechanisms::ALL)
}

/// Ports that callers of region `near` are told, in order.
fn told(direct: &Direct, millis: u64) -> BTreeSet<u16> {
    let addrs = direct.directory(at(millis), "near", HOST);
    addrs.iter().map(SocketAddr::port).collect()
}

fn ports(rows: &[Row], size: Option<Size>) -> BTreeSet<u16> {
    let of_size = rows.iter().filter(|r| r.size == size);
    of_size.map(|r| r.registration.callers.port()).collect()
}

/// A request that counts as a caller's and needs no target.
fn refused_request() -> Request {
    let route = Route {
        home_regions: vec!["nowhere".into()],
        ..route()
    };
    Request {
        route: Arc::new(route),
        authorized: None,
        object: None,
        deadline: at(u64::MAX / 2_000),
        fingerprint: Fingerprint(1),
    }
}

/// Instances of region `near` that run side by side, in virtual time.
struct Region {
    rows: Vec<Row>,
    /// `None` for an instance that was killed.
    instances: Vec<Option<Direct>>,
    second: u64,
    /// Of ten datagrams, the number that arrive.
    arriving: u64,
}

impl Region {
    fn start(per_domain: usize) -> Self {
        let rows = region_rows("near", per_domain, 1000);
        let instances = (0..rows.len()).map(|own| Some(start(&rows, own)));
        Self {
            instances: instances.collect(),
            rows,
            second: 0,
            arriving: 10,
        }
    }

    fn now(&self) -> u64 {
        self.second * 1000
    }

    fn alive(&self) -> impl Iterator<Item = &Direct> {
        self.instances.iter().flatten()
    }

    /// What the first running instance tells callers.
    fn told(&self) -> BTreeSet<u16> {
        let first = self.alive().next().expect("an instance runs");
        told(first, self.now())
    }

    /// Runs for some seconds in which callers send `rate` requests a second. They ask any
    /// instance and send to those that it names.
    fn run(&mut self, seconds: u64, rate: usize) {
        for _ in 0..seconds {
            let answers = self.alive().map(|d| told(d, self.now()));
            let answers: Vec<Vec<u16>> = answers.map(|a| a.into_iter().collect()).collect();
            for request in 0..rate {
                let named = &answers[request % answers.len()];
                let port = named[request / answers.len() % named.len()];
                let millis = self.now() + request as u64 * 1000 / rate as u64;
                let at_port = |r: &Row| r.registration.callers.port() == port;
                let own = self.rows.iter().position(at_port).expect("it is a row's");
                if let Some(direct) = &mut self.instances[own] {
                    let refused = direct.submit(at(millis), refused_request());
                    assert!(refused.is_err());
                }
            }
            self.second += 1;
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        let now = at(self.now());
        let mut sent = Vec::new();
        for direct in self.instances.iter_mut().flatten() {
            direct.store_answered(now, 1);
            direct.sweep(now);
            if let Some((rate, recipients)) = direct.caller_rate(now) {
                sent.extend(recipients.into_iter().map(|to| (rate.clone(), to)));
            }
        }
        for (number, (rate, to)) in sent.into_iter().enumerate() {
            let is_lost = (number as u64 * 7 + self.second * 3) % 10 >= self.arriving;
            let at_port = |r: &Row| r.registration.heartbeats == to;
            let recipient = self.rows.iter().position(at_port).expect("it is a row's");
            if let Some(direct) = &mut self.instances[recipient]
                && !is_lost
            {
                direct.receive_caller_rate(now, rate);
            }
        }
    }

    /// Kills instances whose rows have ended.
    fn kill(&mut self, is_killed: impl Fn(&Row) -> bool) {
        let now = at(self.now());
        for number in 0..self.rows.len() {
            if !is_killed(&self.rows[number]) {
                continue;
            }
            self.instances[number] = None;
            for direct in self.instances.iter_mut().flatten() {
                direct.set_member(now, &self.rows[number].name, None);
            }
        }
    }

    /// Requests a second that the named instances serve.
    fn capacity(&self) -> f64 {
        let named = self.told();
        let of_size = |size| {
            let count = named.intersection(&ports(&self.rows, size)).count();
            f64::from(u32::try_from(count).expect("few instances"))
        };
        of_size(large()) * LARGE_CAPACITY + of_size(small()) * SMALL_CAPACITY
    }
}

/// Callers were told 16 to 22 instances of a region, and each learned too little.
#[rstest]
#[case::one_region_of_7(4)]
#[case::one_region_of_24(12)]
#[case::region_of_58(9)]
#[case::region_of_119(20)]
#[case::one_region_of_62(31)]
fn name_same_largest_instances_everywhere(#[case] per_domain: usize) {
    let rows = region_rows("near", per_domain, 1000);
    for own in [0, 1, per_domain - 1, per_domain, rows.len() - 1] {
        let direct = start(&rows, own);
        assert_eq!(told(&direct, 10), ports(&rows, large()), "at {own}");
        let referred = direct.referred(at(10), "near");
        assert_eq!(referred.len(), 4, "one choice for parts and directory");
    }
}

/// In a region of hundreds, reports would cost more than they save: the largest are
/// named, as many as one answer holds, and nothing is sent.
#[test]
fn name_largest_64_of_hundreds_without_reports() {
    let rows = region_rows("near", 164, 1000);
    let mut expected = None;
    for own in [0, 100, 164, 327] {
        let mut direct = start(&rows, own);
        direct.sweep(at(10));
        let named = told(&direct, 10);
        assert_eq!(named.len(), 64);
        assert!(named.is_superset(&ports(&rows, large())));
        assert_eq!(*expected.get_or_insert(named.clone()), named);
        assert!(direct.caller_rate(at(1_000)).is_none());
    }
}

/// Guards deployments that are served well: what they tell callers stays, and nothing more
/// is sent.
#[rstest]
#[case::of_7(4)]
#[case::of_24(12)]
#[case::of_58(29)]
fn name_all_where_sizes_are_alike(#[case] per_domain: usize) {
    let mut rows = region_rows("near", per_domain, 1000);
    for (number, row) in rows.iter_mut().enumerate() {
        // Three times as large at most.
        let cores = if number % 2 == 0 { 0.3 } else { 0.1 };
        row.size = Size::from_settings(cores, 10.0);
    }
    let mut direct = start(&rows, 0);
    direct.sweep(at(10));
    assert_eq!(told(&direct, 10).len(), rows.len());
    assert!(direct.caller_rate(at(1_000)).is_none());
    assert_eq!(direct.take_referral_change(at(1_000)), None);
}

/// An instance of an earlier release has no size in its row, a size of 0 tells nothing,
/// and the part can be switched off.
#[rstest]
#[case::own_unknown(0, Mechanisms::ALL)]
#[case::other_unknown(3, Mechanisms::ALL)]
#[case::switched_off(usize::MAX, Mechanisms::ALL.without_one(Mechanism::SizedReferral))]
fn name_all_as_before(#[case] unknown: usize, #[case] mechanisms: Mechanisms) {
    let mut rows = region_rows("near", 6, 1000);
    if let Some(row) = rows.get_mut(unknown) {
        row.size = Size::from_settings(0.0, 10.0);
    }
    let mut direct = start_with(&rows, 0, mechanisms);
    direct.sweep(at(10));
    assert_eq!(told(&direct, 10).len(), rows.len());
    assert!(direct.caller_rate(at(1_000)).is_none());
}

/// An instance is replaced by one of an earlier release, whose row has no size.
#[test]
fn name_all_after_downgrade() {
    let rows = region_rows("near", 6, 1000);
    let mut direct = start(&rows, 0);
    assert_eq!(told(&direct, 10).len(), 4);
    direct.set_member(at(20), &rows[5].name, Some(rows[5].registration.clone()));
    direct.set_sizes(&[(&rows[5].name, None)]);
    assert_eq!(told(&direct, 20).len(), rows.len());
}

/// An instance that starts while the store is unavailable knows the others by heartbeats
/// only, which carry no size.
#[test]
fn name_all_without_store_at_startup() {
    let rows = region_rows("near", 4, 1000);
    let mut direct = start(&rows[..1], 0);
    for row in &rows[1..] {
        let beat = Heartbeat {
            registration: Some(row.registration.clone()),
            ..heartbeat(&row.name, 1)
        };
        direct.receive_heartbeat(at(60_000), beat);
    }
    assert!(!direct.is_store_reachable(at(60_100)));
    assert_eq!(told(&direct, 60_100).len(), rows.len());
}

/// Heartbeats carry registrations without sizes. They made a region's sizes unknown.
#[test]
fn keep_size_on_heartbeat() {
    let rows = region_rows("near", 6, 1000);
    let mut direct = start(&rows, 0);
    let beat = Heartbeat {
        registration: Some(rows[1].registration.clone()),
        ..heartbeat(&rows[1].name, 1)
    };
    direct.receive_heartbeat(at(10), beat);
    assert_eq!(told(&direct, 20), ports(&rows, large()));
    // Its row ends while its heartbeats arrive.
    direct.set_member(at(30), &rows[1].name, None);
    assert_eq!(told(&direct, 40), ports(&rows, large()));
}

/// A heartbeat of an instance that starts comes before its row. All instances would be
/// named until the row is read, and callers would change connections twice.
#[test]
fn wait_for_row_of_new_instance() {
    let rows = region_rows("near", 6, 1000);
    let (new, known) = rows.split_last().expect("there are rows");
    let mut direct = start(known, 0);
    let mut receive = |seq: u64| {
        let now = at(seq * 1000);
        direct.store_answered(now, 1);
        let beat = Heartbeat {
            registration: Some(new.registration.clone()),
            ..heartbeat(&new.name, seq)
        };
        direct.receive_heartbeat(now, beat);
        told(&direct, seq * 1000)
    };
    assert_eq!(receive(1), ports(&rows, large()));
    assert_eq!(receive(5), ports(&rows, large()));
    assert_eq!(receive(6).len(), rows.len(), "its row has no size");
}

/// The loss of a failure domain, with the smallest set named: callers need two instances
/// that bear the load.
#[test]
fn bear_the_load_when_a_domain_is_lost() {
    let mut region = Region::start(9);
    region.run(10, 875);
    assert_eq!(region.told(), ports(&region.rows, large()));
    region.kill(|row| &*row.registration.domain == "near-a");
    let named = region.told();
    assert!(named.len() >= 2, "{named:?}");
    assert!(region.capacity() >= 875.0);
}

/// When the large instances are gone, callers are told the small ones.
#[test]
fn name_small_instances_when_large_are_lost() {
    let mut region = Region::start(9);
    region.run(3, 250);
    region.kill(|row| row.size == large());
    assert_eq!(region.told(), ports(&region.rows, small()));
}

fn sized(rows: &[Row]) -> Vec<Instance<'_>> {
    let all = rows.iter();
    all.map(|row| Instance {
        name: &row.name,
        domain: &row.registration.domain,
        size: row.size.expect("all are known"),
    })
    .collect()
}

/// Callers close connections to instances that are no longer named: the loss of one must
/// not exchange others, whatever the number.
#[rstest]
#[case::few(4)]
#[case::more(9)]
#[case::many(60)]
fn losing_one_changes_one_name(#[case] per_domain: usize) {
    let rows = region_rows("near", per_domain, 1000);
    let ranking = Ranking::new("near", sized(&rows)).expect("sizes differ");
    for count in ranking.min()..=ranking.max() {
        let names = |ranking: &Ranking<'_>| -> BTreeSet<String> {
            let first = ranking.first(count).iter();
            first.map(|i| i.name.to_owned()).collect()
        };
        let before = names(&ranking);
        for lost in &before {
            let left: Vec<Row> = rows.iter().filter(|r| *r.name != **lost).cloned().collect();
            let after = Ranking::new("near", sized(&left)).expect("sizes differ");
            let new = names(&after).difference(&before).count();
            let kept = names(&after).intersection(&before).count();
            assert!(new <= 1 && kept == count - 1, "{new} new without {lost}");
        }
    }
}

/// Names, domains and sizes alone decide: the order in which members are listed doesn't.
#[test]
fn rank_alike_in_any_order() {
    let rows = region_rows("near", 9, 1000);
    let mut turned = rows.clone();
    turned.rotate_left(7);
    let one = Ranking::new("near", sized(&rows)).expect("sizes differ");
    let other = Ranking::new("near", sized(&turned)).expect("sizes differ");
    assert_eq!(one.first(rows.len()), other.first(rows.len()));
}

/// Four small instances more of each domain bear 1,220 requests a second when the other
/// domain is lost: 1500 + 4 * 100 >= 1.5 * 1220.
const NAMED_AT_1220: usize = 12;

/// The load grows by half: more instances are named within seconds, no more than it
/// needs, and the same at all instances, also while one datagram in ten is lost.
#[rstest]
#[case::all_arrive(10)]
#[case::some_lost(9)]
fn name_more_when_load_grows(#[case] arriving: u64) {
    let mut region = Region::start(12);
    region.arriving = arriving;
    region.run(10, 875);
    assert_eq!(region.told().len(), 4);
    region.run(16, 1220);
    assert_eq!(region.told().len(), NAMED_AT_1220);
    assert!(region.capacity() / 2.0 >= 1.5 * 1220.0);
    region.run(60, 1220);
    for direct in region.alive() {
        assert_eq!(told(direct, region.now()), region.told());
    }
    assert_eq!(region.told().len(), NAMED_AT_1220);
}

/// The load doubles beyond what any number of instances sustains: all are named.
#[test]
fn name_all_when_load_is_too_high() {
    let mut region = Region::start(4);
    region.run(15, 1750);
    assert_eq!(region.told().len(), 8);
}

/// Callers close connections when the number falls, so it falls late and slowly.
#[test]
fn name_fewer_late_when_load_falls() {
    let mut region = Region::start(12);
    region.run(30, 1220);
    let before = region.told().len();
    region.run(55, 875);
    assert_eq!(region.told().len(), before, "before a minute has passed");
    let mut falls = Vec::new();
    let mut last = before;
    for _ in 0..300 {
        region.run(1, 875);
        let count = region.told().len();
        assert!(count <= last, "it rises again");
        if count < last {
            assert_eq!(count, last - 1);
            falls.push(region.second);
        }
        last = count;
    }
    assert_eq!(last, 4);
    let pauses: Vec<u64> = falls.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(pauses.iter().all(|p| *p >= 30), "{pauses:?}");
}

/// Load that goes up and down around what the named instances sustain must not exchange
/// names each time.
#[test]
fn keep_number_while_load_varies() {
    let mut region = Region::start(12);
    region.run(30, 1050);
    let mut last = region.told();
    let mut changes = 0;
    for turn in 0..30 {
        region.run(10, if turn % 2 == 0 { 950 } else { 1050 });
        let named = region.told();
        changes += usize::from(named != last);
        last = named;
    }
    assert!(changes <= 2, "{changes} changes in five minutes");
}

/// Without any rates the number says nothing new and stays.
#[test]
fn keep_number_without_reports() {
    let mut region = Region::start(12);
    region.run(30, 1220);
    // An instance that isn't named has no rate of its own.
    let own = region.rows.len() - 1;
    let direct = region.instances[own].as_mut().expect("it runs");
    let now = region.second * 1000;
    let before = told(direct, now).len();
    assert!(before > 4);
    for second in 1..200 {
        direct.store_answered(at(now + second * 1000), 1);
        direct.sweep(at(now + second * 1000));
    }
    assert_eq!(direct.referral_status(at(now + 199_000)).demand, None);
    assert_eq!(told(direct, now + 199_000).len(), before);
}

fn rate(name: &str, incarnation: u64, seq: u64, rate: f64) -> CallerRate {
    CallerRate {
        name: name.into(),
        incarnation,
        seq,
        rate,
    }
}

/// Rates are lost, delayed, doubled, and come from instances that have restarted, are
/// frozen, or aren't asked.
#[test]
fn use_newest_rates_for_three_seconds() {
    let rows = region_rows("near", 6, 1000);
    // The last row isn't named, so its own rate doesn't count.
    let mut direct = start(&rows, rows.len() - 1);
    let demand = |direct: &Direct, millis| direct.referral_status(at(millis)).demand;
    let name = &*rows[0].name;
    let ranking = Ranking::new("near", sized(&rows)).expect("sizes differ");
    let position = ranking.first(4).iter().position(|i| i.name == name);
    let position = u32::try_from(position.expect("it is large"));
    let position = f64::from(position.expect("few instances"));
    assert_eq!(demand(&direct, 0), None);
    direct.receive_caller_rate(at(0), rate(name, 7, 5, 50.0));
    let expected = |rate: f64| Some(rate * (position + 1.0));
    assert_eq!(demand(&direct, 10), expected(50.0));
    direct.receive_caller_rate(at(20), rate(name, 7, 4, 10.0));
    direct.receive_caller_rate(at(20), rate(name, 7, 5, 10.0));
    assert_eq!(demand(&direct, 30), expected(50.0), "delayed and doubled");
    direct.receive_caller_rate(at(30), rate("stranger", 1, 1, 1000.0));
    assert_eq!(demand(&direct, 40), expected(50.0), "not a member");
    assert_eq!(demand(&direct, 3_010), None, "frozen");
    direct.receive_caller_rate(at(3_020), rate(name, 7, 5, 10.0));
    assert_eq!(demand(&direct, 3_030), None, "doubled after it expired");
    direct.receive_caller_rate(at(3_040), rate(name, 7, 6, 60.0));
    assert_eq!(demand(&direct, 3_050), expected(60.0), "resumed");
    direct.receive_caller_rate(at(3_060), rate(name, 8, 1, 20.0));
    assert_eq!(demand(&direct, 3_070), expected(20.0), "restarted");
    direct.set_member(at(3_080), name, None);
    assert_eq!(demand(&direct, 3_090), None, "gone");
}

/// An instance names four, others six. It took the rates of four of these for all of the
/// load, and never named more. One that named more than the others took the load for larger.
#[test]
fn count_instances_that_others_name() {
    let rows = region_rows("near", 6, 1000);
    let ranking = Ranking::new("near", sized(&rows)).expect("sizes differ");
    let last = ranking.first(12)[11].name;
    let own = rows.iter().position(|r| &*r.name == last);
    let mut direct = start(&rows, own.expect("it is a row's"));
    let demand = |direct: &Direct| direct.referral_status(at(10)).demand;
    for instance in &ranking.first(6)[..3] {
        direct.receive_caller_rate(at(0), rate(instance.name, 1, 1, 75.0));
    }
    assert_eq!(
        demand(&direct),
        Some(225.0),
        "three get callers, four are named"
    );
    direct.receive_caller_rate(at(0), rate(ranking.first(6)[5].name, 1, 1, 75.0));
    assert_eq!(demand(&direct), Some(450.0), "two of six aren't heard");
}

/// Bytes within a region cost little, those between regions much: rates stay in it, and
/// only instances with callers send them.
#[test]
fn report_within_the_region_only() {
    let mut rows = region_rows("near", 9, 1000);
    rows.extend(region_rows("far", 9, 2000));
    for own in 0..18 {
        let mut direct = start(&rows, own);
        direct.sweep(at(10));
        let sent = direct.caller_rate(at(1_000));
        let is_named = rows[own].size == large();
        assert_eq!(sent.is_some(), is_named, "{own}");
        let recipients = sent.map(|s| s.1).unwrap_or_default();
        assert!(recipients.iter().all(|to| to.port() < 2000));
        assert_eq!(recipients.len(), if is_named { 17 } else { 0 });
        let far = direct.referred(at(10), "far");
        assert_eq!(far.len(), 4, "the smallest set of another region");
    }
}

/// A change is logged once, also when sizes become unknown.
#[test]
fn tell_each_change_once() {
    let rows = region_rows("near", 6, 1000);
    let mut direct = start(&rows, 0);
    direct.sweep(at(10));
    let change = direct.take_referral_change(at(10)).expect("four are named");
    assert_eq!((change.named.len(), change.of), (4, 12));
    assert_eq!(change.capacity, Some(2.0 * LARGE_CAPACITY));
    direct.sweep(at(1_100));
    assert_eq!(direct.take_referral_change(at(1_100)), None);
    direct.set_sizes(&[(&rows[5].name, None)]);
    direct.sweep(at(2_200));
    let change = direct.take_referral_change(at(2_200)).expect("all are");
    assert_eq!((change.named.len(), change.capacity), (12, None));
}

/// A referred instance that is leaving, stale or cut off is replaced in the next answer,
/// by others as well as by itself.
#[rstest]
#[case::leaving(true, false)]
#[case::stale(false, true)]
fn replace_unfit_instance(#[case] is_leaving: bool, #[case] is_stale: bool) {
    let rows = region_rows("near", 6, 1000);
    let mut direct = start(&rows, 11);
    let before = told(&direct, 10);
    let beat = Heartbeat {
        is_leaving,
        is_stale,
        registration: Some(rows[0].registration.clone()),
        ..heartbeat(&rows[0].name, 1)
    };
    direct.receive_heartbeat(at(20), beat);
    let after = told(&direct, 30);
    let gone: Vec<_> = before.difference(&after).copied().collect();
    assert_eq!(gone, [rows[0].registration.callers.port()]);
    assert_eq!(after.len(), 4);
    let mut own = start(&rows, 0);
    own.stop(at(0), at(5_000));
    assert_eq!(told(&own, 30), after);
}

/// Callers of a region without instances are told those of the region that takes its
/// place, without one that is stopping; an instance that is alone names itself.
#[test]
fn name_others_for_a_region_without_instances() {
    let rows = region_rows("far", 6, 1000);
    let mut direct = start(&rows, 0);
    let before = told(&direct, 10);
    assert_eq!(before, ports(&rows, large()));
    direct.stop(at(0), at(5_000));
    let after = told(&direct, 20);
    let gone: Vec<_> = before.difference(&after).copied().collect();
    assert_eq!(gone, [rows[0].registration.callers.port()]);
    assert_eq!(after.len(), 4);
    let alone = start(&rows[..1], 0);
    assert_eq!(told(&alone, 10).len(), 1);
}

/// Instances that callers are told must hear each heartbeat of the others, also of another
/// failure domain: otherwise each sends objects to targets that don't hold them.
#[test]
fn hear_all_heartbeats_of_instances_that_are_named() {
    let rows = region_rows("near", 9, 1000);
    let heard = |own: usize| -> BTreeSet<u16> {
        let mut direct = start(&rows, own);
        direct.sweep(at(10));
        let recipients = direct.recipients(at(10));
        recipients.local.iter().map(SocketAddr::port).collect()
    };
    for (own, row) in rows.iter().enumerate() {
        let mut others = ports(&rows, large());
        others.remove(&row.registration.callers.port());
        let hears_all = others.is_subset(&heard(own));
        assert_eq!(hears_all, row.size == large(), "{}", row.name);
    }
}
