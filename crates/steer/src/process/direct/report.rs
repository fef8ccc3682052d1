//! Order of the reports that a writer makes of itself in the store.
//!
//! A writer numbers its reports since its start. The store may carry out a write seconds
//! after its call, so a later revision may hold an earlier report.
//!
//! Invariant: an earlier report of an incarnation is late, and so is every report of an
//! incarnation that another one has replaced, whatever the writer's clock told.

/// Place of a report among those of its writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Start of the writer, which distinguishes its incarnations.
    pub incarnation: u64,
    /// Number since that start.
    pub seq: u64,
}

impl Report {
    /// Whether this one was made before another report of the same incarnation.
    #[must_use]
    pub const fn is_before(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.seq < other.seq
    }
}

/// Largest number of replaced incarnations that are remembered of a writer.
const REPLACED_MAX: usize = 8;

/// Reports of one writer so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Reports {
    last: Option<Report>,
    /// Incarnations before that of the last report, oldest first.
    replaced: Vec<u64>,
}

impl Reports {
    /// Whether a report was made before the last one. One that was withdrawn isn't made
    /// again.
    pub(super) fn is_late(&self, report: Report, is_withdrawn: bool) -> bool {
        let Some(last) = self.last else {
            return false;
        };
        let is_repeated = is_withdrawn && report == last;
        is_repeated || report.is_before(&last) || self.replaced.contains(&report.incarnation)
    }

    /// Records a report that isn't late.
    pub(super) fn record(&mut self, report: Report) {
        if let Some(last) = self.last
            && last.incarnation != report.incarnation
        {
            if self.replaced.len() >= REPLACED_MAX {
                self.replaced.remove(0);
            }
            self.replaced.push(last.incarnation);
        }
        self.last = Some(report);
    }
}
