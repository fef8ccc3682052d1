//! Checks that what the store accepts is known in time by every instance that can read the
//! store, whatever happened to the others: targets that leave, evacuations, versions of the
//! configuration.

use std::fmt;
use std::time::{Duration, Instant};

use platform_standin::target::Arrival;

use super::links::Links;
use super::requests::{self, Process};

/// Times after which news must be known, as the instances' settings say.
pub const DRAIN: Duration = Duration::from_millis(2_500);
pub const EVACUATION: Duration = Duration::from_millis(2_500);
pub const CONFIG: Duration = Duration::from_millis(2_500);

/// Time after its start in which an instance may know nothing yet.
pub const START: Duration = Duration::from_secs(4);

/// What a fault keeps from the store or from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// All instances, from the store.
    Store,
    /// One instance, from the store.
    Instance(usize),
    /// All instances, from one target.
    Target(usize),
}

/// A time that may last.
#[derive(Clone, Copy, Debug)]
struct Span {
    begin: Instant,
    /// Absent while it lasts.
    end: Option<Instant>,
}

impl Span {
    fn begin() -> Self {
        Self {
            begin: Instant::now(),
            end: None,
        }
    }

    fn finish(&mut self) {
        self.end.get_or_insert_with(Instant::now);
    }

    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.begin <= to && self.end.is_none_or(|end| end >= from)
    }
}

/// Times at which the store accepted news, and at which faults may have kept this from
/// instances or held up their requests.
#[derive(Debug, Default)]
pub struct Record {
    /// Numbers of targets.
    drained: Vec<(usize, Instant)>,
    /// Numbers of failure domains.
    evacuated: Vec<(usize, Span)>,
    /// Versions of the configuration.
    versions: Vec<(u64, Instant)>,
    faults: Vec<(Side, Span)>,
}

/// News that instances could read, each counted once for each of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Judged {
    drains: usize,
    evacuations: usize,
    versions: usize,
}

impl fmt::Display for Judged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} drains, {} evacuations, {} versions judged",
            self.drains, self.evacuations, self.versions
        )
    }
}

impl Record {
    /// Records that the store accepts that a target leaves.
    pub fn drain(&mut self, target: usize) {
        self.drained.push((target, Instant::now()));
    }

    /// Records that the store accepts that a failure domain is evacuated.
    pub fn evacuate(&mut self, domain: usize) {
        self.evacuated.push((domain, Span::begin()));
    }

    /// Records that an evacuation is lifted.
    pub fn lift(&mut self, domain: usize) {
        let of_domain = self.evacuated.iter_mut().filter(|e| e.0 == domain);
        of_domain.for_each(|e| e.1.finish());
    }

    /// Records that the store accepts a version.
    pub fn install(&mut self, version: u64) {
        self.versions.push((version, Instant::now()));
    }

    /// Records that a fault begins.
    pub fn begin(&mut self, side: Side) {
        self.faults.push((side, Span::begin()));
    }

    /// Records that all faults of a side end.
    pub fn end(&mut self, side: Side) {
        let of_side = self.faults.iter_mut().filter(|f| f.0 == side);
        of_side.for_each(|f| f.1.finish());
    }

    fn has_fault(&self, sides: &[Side], from: Instant, to: Instant) -> bool {
        let faults = self.faults.iter();
        let mut of_sides = faults.filter(|(side, _)| sides.contains(side));
        of_sides.any(|(_, span)| span.overlaps(from, to))
    }

    /// Whether a process could read the store all the time.
    fn could_read(&self, process: &Process, from: Instant, to: Instant) -> bool {
        let sides = [Side::Store, Side::Instance(process.instance)];
        let is_frozen = process.frozen_at.iter().any(|f| *f + START > from);
        let is_young = process.started_at + START > from;
        let is_ended = process.ended_at.is_some_and(|end| end < to);
        !is_frozen && !is_young && !is_ended && !self.has_fault(&sides, from, to)
    }

    /// Counts the news that is judged.
    pub fn judged(&self, processes: &[Process]) -> Judged {
        let count = |accepted: Instant, bound: Duration| {
            let could_read = |p: &&Process| self.could_read(p, accepted, accepted + bound);
            processes.iter().filter(could_read).count()
        };
        let is_long = |span: &Span| span.end.is_none_or(|end| end - span.begin > EVACUATION);
        let evacuated = self.evacuated.iter().filter(|(_, span)| is_long(span));
        let evacuations = evacuated.map(|(_, span)| count(span.begin, EVACUATION));
        Judged {
            drains: self.drained.iter().map(|(_, at)| count(*at, DRAIN)).sum(),
            evacuations: evacuations.sum(),
            versions: self.versions.iter().map(|(_, at)| count(*at, CONFIG)).sum(),
        }
    }

    /// Returns a line for each request that came too late, and for each version that was in
    /// force too late.
    pub fn violations(
        &self,
        arrivals: &[(String, Vec<Arrival>)],
        processes: &[Process],
        links: &Links,
    ) -> Vec<String> {
        let senders = requests::senders(processes);
        let late = |target: usize, span: Span, bound: Duration, news: &'static str| {
            let name = format!("t{target}");
            let of_target = arrivals.iter().filter(move |(id, _)| *id == name);
            let arrivals = of_target.flat_map(|(id, all)| all.iter().map(move |a| (id, a)));
            let is_late =
                move |at: Instant| at > span.begin + bound && span.end.is_none_or(|end| at < end);
            let late = arrivals.filter(move |(_, arrival)| is_late(arrival.at));
            late.filter_map(|(id, arrival)| {
                let key = (arrival.id.clone(), id.clone());
                let found = senders.binary_search_by(|s| s.0.cmp(&key)).ok()?;
                let process = &processes[senders[found].1];
                let is_excused = !self.could_read(process, span.begin, arrival.at)
                    || self.has_fault(&[Side::Target(target)], span.begin, arrival.at)
                    || links.may_hold_up(Some(process.instance), arrival.at);
                let passed = arrival.at - span.begin;
                let line = format!("{} reached {id} {passed:?} after {news}", arrival.id);
                (!is_excused).then_some(line)
            })
            .collect::<Vec<String>>()
        };
        let left = self.drained.iter().flat_map(|(target, begin)| {
            let span = Span {
                begin: *begin,
                end: None,
            };
            late(*target, span, DRAIN, "it left")
        });
        let evacuated = self.evacuated.iter().flat_map(|(domain, span)| {
            let targets = 0..arrivals.len();
            let in_domain = targets.filter(|t| super::runner::domain_of(*t) == *domain);
            let late = in_domain.flat_map(|t| late(t, *span, EVACUATION, "its evacuation"));
            late.collect::<Vec<String>>()
        });
        let versions = processes.iter().flat_map(|p| self.late_versions(p));
        left.chain(evacuated).chain(versions).collect()
    }

    /// Returns a line for each version that was in force too late at a process.
    fn late_versions(&self, process: &Process) -> Vec<String> {
        let installed = requests::installed(process);
        let bound = |at: &Instant| *at + CONFIG;
        let judged = self.versions.iter().filter(|(_, at)| {
            let until = bound(at);
            until < Instant::now() && self.could_read(process, *at, until)
        });
        let is_late = |(version, at): &&(u64, Instant)| {
            let until = bound(at);
            !installed.iter().any(|(v, at)| v >= version && *at <= until)
        };
        let late = judged.filter(is_late);
        let line = |(version, _): &(u64, Instant)| {
            format!(
                "version {version} not in force in time at i{}",
                process.instance
            )
        };
        late.map(line).collect()
    }
}
