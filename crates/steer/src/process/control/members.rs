//! The published list of processes that look-ups may name.
//!
//! Invariant: it holds the live ones of the home domain, those of other domains
//! that are heard, and this process; one for each name, sorted by name.

use std::sync::Arc;

use super::{Control, MemberStatus};
use crate::clock::Time;
use crate::process::member::{HealthSummary, Member, Record};

/// A live record in the order of names, kept until the table changes.
#[derive(Clone, Debug)]
pub(super) struct Line {
    record: Arc<Record>,
    place: Place,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    Own,
    Near,
    Far(usize),
}

impl Control {
    pub(super) fn members(&mut self, now: Time) -> Vec<Member> {
        let lines = self.sorted.take().unwrap_or_else(|| self.lines());
        let seen = lines.iter().filter_map(|line| {
            let health = match line.place {
                Place::Own => (self.status != MemberStatus::Superseded).then(|| self.health()),
                Place::Near => self.local_health(&line.record.identity.name),
                Place::Far(at) => self.remote_health(now, at),
            };
            let record = Arc::clone(&line.record);
            health.map(|health| Member { record, health })
        });
        let seen = seen.collect();
        self.sorted = Some(lines);
        seen
    }

    fn lines(&self) -> Vec<Line> {
        let rows = self.table.rows().iter().map(|row| &row.record);
        let others = rows.filter(|r| r.lifecycle.is_alive() && !self.is_own(r));
        let own = self.me.lifecycle.is_alive().then_some(&self.me);
        let mut lines: Vec<Line> = others
            .chain(own)
            .filter_map(|record| {
                let place = self.place(record)?;
                let record = Arc::clone(record);
                Some(Line { record, place })
            })
            .collect();
        lines.sort_by(|a, b| {
            let (a, b) = (&a.record, &b.record);
            let names = a.identity.name.cmp(&b.identity.name);
            names.then_with(|| b.stamp.cmp(&a.stamp))
        });
        lines.dedup_by(|b, a| a.record.identity.name == b.record.identity.name);
        lines
    }

    fn place(&self, record: &Record) -> Option<Place> {
        if self.is_own(record) {
            return Some(Place::Own);
        }
        let domain = &record.identity.domain;
        if *domain == self.me.identity.domain {
            return Some(Place::Near);
        }
        let found = self.fars.binary_search_by(|f| f.name.cmp(domain));
        found.ok().map(Place::Far)
    }

    fn local_health(&self, name: &Arc<str>) -> Option<HealthSummary> {
        let at = self.peers.binary_search_by(|p| p.name.cmp(name)).ok()?;
        Some(self.peers[at].health)
    }
}
