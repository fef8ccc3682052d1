//! Faults found in a file, each with its place and remedy.
//!
//! Invariant: faults are ordered by place first, so that sorting lists them as they
//! stand in the file.

use core::fmt;
use std::sync::Arc;

/// Position in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Name of the file, as passed to the parser.
    pub file: Arc<str>,
    /// Line, from 1; 0 if the value comes from no file, such as a default.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl Place {
    /// Returns the place of the first character of a file.
    #[must_use]
    pub fn start(file: &Arc<str>) -> Self {
        Self {
            file: Arc::clone(file),
            line: 1,
            column: 1,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.file);
        }
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// Kind of a fault. Scripts may rely on the printed names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The text is not JSON with comments.
    Syntax,
    /// An undeclared field or name.
    Unknown,
    /// A value of a type other than the declared one.
    WrongType,
    /// A required field is absent.
    Missing,
    /// A name is repeated.
    Duplicate,
    /// A number, address or text outside its range.
    OutOfRange,
    /// Two values that contradict each other.
    Conflict,
    /// A value without effect.
    Redundant,
    /// A value that moves more traffic than its cap allows.
    OverCap,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Syntax => "syntax",
            Self::Unknown => "unknown",
            Self::WrongType => "wrong-type",
            Self::Missing => "missing",
            Self::Duplicate => "duplicate",
            Self::OutOfRange => "out-of-range",
            Self::Conflict => "conflict",
            Self::Redundant => "redundant",
            Self::OverCap => "over-cap",
        })
    }
}

/// A fault; prints as `file:line:column: message; remedy`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{place}: {message}; {remedy}")]
pub struct Fault {
    /// Position of the fault.
    pub place: Place,
    /// Kind of the fault.
    pub kind: Kind,
    /// Description of the fault.
    pub message: String,
    /// Proposed correction.
    pub remedy: String,
}

impl Fault {
    /// Makes a fault at a place.
    pub fn new(
        place: &Place,
        kind: Kind,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            place: place.clone(),
            kind,
            message: message.into(),
            remedy: remedy.into(),
        }
    }
}
