//! What must hold at every step, and at the end of a run.

use core::fmt;

use crate::world;

/// A promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Targets ran a key's request more than once.
    RanTwice {
        /// Index of the key.
        key: usize,
    },
    /// A key ran, and some caller was told that it did not and won't.
    FalseNotRun {
        /// Index of the key.
        key: usize,
    },
    /// A copy got two answers.
    AnsweredTwice {
        /// Index of the copy.
        copy: usize,
    },
    /// A copy got another request's answer.
    WrongAnswer {
        /// Index of the copy.
        copy: usize,
    },
    /// A copy got no answer although its process lives and its caller waits.
    Unanswered {
        /// Index of the copy.
        copy: usize,
    },
}

impl Fault {
    /// One word for counts.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RanTwice { .. } => "ran-twice",
            Self::FalseNotRun { .. } => "false-not-run",
            Self::AnsweredTwice { .. } => "answered-twice",
            Self::WrongAnswer { .. } => "wrong-answer",
            Self::Unanswered { .. } => "unanswered",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RanTwice { key } => write!(f, "key{key} ran twice"),
            Self::FalseNotRun { key } => {
                write!(f, "key{key} ran although a caller was told \"not run\"")
            }
            Self::AnsweredTwice { copy } => write!(f, "copy{copy} got two answers"),
            Self::WrongAnswer { copy } => write!(f, "copy{copy} got another request's answer"),
            Self::Unanswered { copy } => write!(f, "copy{copy} got no answer"),
        }
    }
}

/// A run that broke a promise.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The promise.
    pub fault: Fault,
    /// What happened up to then, one line a step.
    pub trace: Vec<String>,
}

impl Violation {
    /// The violation at the world's present state.
    #[must_use]
    pub fn new(fault: Fault, world: &world::World) -> Self {
        Self {
            fault,
            trace: world.trace.clone(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.trace {
            writeln!(f, "    {line}")?;
        }
        write!(f, "  violation: {}", self.fault)
    }
}

/// What must hold after every step.
#[must_use]
pub fn safety(world: &world::World) -> Option<Fault> {
    for (key, case) in world.keys.iter().enumerate() {
        if case.runs.len() > 1 {
            return Some(Fault::RanTwice { key });
        }
        if case.not_run > 0 && !case.runs.is_empty() {
            return Some(Fault::FalseNotRun { key });
        }
    }
    for (copy, sent) in world.sent.iter().enumerate() {
        if sent.said.len() > 1 {
            return Some(Fault::AnsweredTwice { copy });
        }
        let own = world::Payload {
            key: sent.plan.key,
            body: sent.plan.body,
        };
        if let Some(world::Said::Answer(payload)) = sent.said.first()
            && *payload != own
        {
            return Some(Fault::WrongAnswer { copy });
        }
    }
    None
}

/// What must hold once [`world::World::settle`] is done.
#[must_use]
pub fn end(world: &world::World) -> Option<Fault> {
    let silent = |s: &crate::world::Sent| s.said.is_empty() && !s.hung && world.lives(s.at);
    let unanswered = world.sent.iter().position(silent);
    safety(world).or(unanswered.map(|copy| Fault::Unanswered { copy }))
}
