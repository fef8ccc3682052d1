//! Published list of the processes that look-ups may return.
//!
//! Invariant: the list holds this process unless it is superseded, the live
//! processes of the local domain and those of every domain that isn't silent,
//! one for each name, sorted by name.

use std::sync::Arc;

use super::{Control, MemberStatus};
use crate::clock::Time;
use crate::process::member::{HealthSummary, Member, Record};

/// A live record in the sorted list, which is cached until the table changes.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    record: Arc<Record>,
    origin: Origin,
}

#[derive(Clone, Copy, Debug)]
enum Origin {
    Own,
    Local,
    Remote(usize),
}

impl Control {
    pub(super) fn members(&mut self, now: Time) -> Vec<Member> {
        let entries = self.sorted_entries.take().unwrap_or_else(|| self.entries());
        let members = entries.iter().filter_map(|entry| {
            let health = match entry.origin {
                Origin::Own => (self.status != MemberStatus::Superseded).then(|| self.health()),
                Origin::Local => self.local_health(&entry.record.identity.name),
                Origin::Remote(at) => self.remote_health(now, at),
            };
            let record = Arc::clone(&entry.record);
            health.map(|health| Member { record, health })
        });
        let members = members.collect();
        self.sorted_entries = Some(entries);
        members
    }

    fn entries(&self) -> Vec<Entry> {
        let rows = self.table.rows().iter().map(|row| &row.record);
        let others = rows.filter(|r| r.lifecycle.is_alive() && !self.is_own(r));
        let own = self.own.lifecycle.is_alive().then_some(&self.own);
        let mut entries: Vec<Entry> = others
            .chain(own)
            .filter_map(|record| {
                let origin = self.origin(record)?;
                let record = Arc::clone(record);
                Some(Entry { record, origin })
            })
            .collect();
        entries.sort_by(|a, b| {
            let (a, b) = (&a.record, &b.record);
            let names = a.identity.name.cmp(&b.identity.name);
            names.then_with(|| b.stamp.cmp(&a.stamp))
        });
        entries.dedup_by(|b, a| a.record.identity.name == b.record.identity.name);
        entries
    }

    fn origin(&self, record: &Record) -> Option<Origin> {
        if self.is_own(record) {
            return Some(Origin::Own);
        }
        let domain = &record.identity.domain;
        if *domain == self.own.identity.domain {
            return Some(Origin::Local);
        }
        let found = self.domains.binary_search_by(|d| d.name.cmp(domain));
        found.ok().map(Origin::Remote)
    }

    fn local_health(&self, name: &Arc<str>) -> Option<HealthSummary> {
        let at = self.peers.binary_search_by(|p| p.name.cmp(name)).ok()?;
        Some(self.peers[at].health)
    }
}
