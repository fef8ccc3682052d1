//! The way that was weighed and ruled out: leased ownership of keys.
//!
//! A process runs a key's request if, by its own clock, its lease on the key's
//! range still holds. Targets check no fencing token, so the check and the send
//! are two steps, and a freeze may fall between them. This module enumerates
//! all orders of a small model of that design; there is no product code of it.

use core::fmt;

/// What can happen in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The first holder gets the request and checks its lease.
    Check,
    /// The first holder sends what it decided to send.
    Send,
    /// Time passes beyond the lease, at the store and at every process.
    Lapse,
    /// Another process takes the lease over, gets the caller's resend and, if
    /// no run is known, checks its lease.
    TakeOver,
    /// The other process sends what it decided to send.
    SendOther,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Check => "entry0 checks its lease: it holds",
            Self::Send => "entry0 sends: a target runs key0",
            Self::Lapse => "the lease lapses",
            Self::TakeOver => "entry1 takes the lease and checks it: it holds",
            Self::SendOther => "entry1 sends: a target runs key0",
        })
    }
}

/// The steps made so far; each is made at most once.
struct Model<'a>(&'a [Step]);

impl Model<'_> {
    fn did(&self, step: Step) -> bool {
        self.0.contains(&step)
    }

    fn runs(&self) -> usize {
        let sends = |s: &&Step| matches!(s, Step::Send | Step::SendOther);
        self.0.iter().filter(sends).count()
    }

    fn may(&self, step: Step) -> bool {
        let lapsed = self.did(Step::Lapse);
        let fits = match step {
            Step::Check => !lapsed,
            Step::Send => self.did(Step::Check),
            Step::Lapse => true,
            // Known runs stop the other one, as a record in the store would.
            Step::TakeOver => lapsed && self.runs() == 0,
            Step::SendOther => self.did(Step::TakeOver),
        };
        fits && !self.did(step)
    }
}

const STEPS: [Step; 5] = [
    Step::Check,
    Step::Send,
    Step::Lapse,
    Step::TakeOver,
    Step::SendOther,
];

/// All orders in which the key runs twice.
#[must_use]
pub fn double_runs() -> Vec<Vec<Step>> {
    let mut found = Vec::new();
    walk(&mut Vec::new(), &mut found);
    found
}

fn walk(path: &mut Vec<Step>, found: &mut Vec<Vec<Step>>) {
    if Model(path).runs() > 1 {
        found.push(path.clone());
        return;
    }
    for step in STEPS {
        if !Model(path).may(step) {
            continue;
        }
        path.push(step);
        walk(path, found);
        path.pop();
    }
}
