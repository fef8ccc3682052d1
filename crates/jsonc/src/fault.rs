//! Faults in a text, each with its place and remedy.

use core::fmt;
use std::sync::Arc;

/// Where something stands in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The file, as its reader names it.
    pub file: Arc<str>,
    /// Line, from 1; 0 if the value stands in no file, such as a default.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl Place {
    /// The first character of a file.
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

/// What sort of fault it is; scripts may rely on the names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The text is not JSON with comments.
    Syntax,
    /// A field or name that nothing declares.
    Unknown,
    /// A value of another type than declared.
    WrongType,
    /// A field that must be there and isn't.
    Missing,
    /// The same name twice.
    Duplicate,
    /// A number, address or text outside its range.
    OutOfRange,
    /// Two statements that can't both hold.
    Conflict,
    /// A statement without effect.
    Redundant,
    /// A statement that moves more traffic than its cap allows.
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

/// One fault; prints as `file:line:column: message; remedy`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{place}: {message}; {remedy}")]
pub struct Fault {
    /// Where it stands.
    pub place: Place,
    /// What sort it is.
    pub kind: Kind,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

impl Fault {
    /// A fault at a place.
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
