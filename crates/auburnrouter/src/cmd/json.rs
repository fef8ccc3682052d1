//! Faults, values and moves as JSON, for scripts.

use intent::diff::{Changed, Diff};
use intent::listing::Setting;
use intent::moves::judge::Refusal;
use intent::moves::{Cause, Move};
use serde::Serialize;

/// One fault.
#[derive(Debug, Serialize)]
pub struct Fault {
    file: String,
    line: u32,
    column: u32,
    kind: String,
    message: String,
    remedy: String,
}

impl From<&jsonc::Fault> for Fault {
    fn from(fault: &jsonc::Fault) -> Self {
        Self {
            file: fault.place.file.to_string(),
            line: fault.place.line,
            column: fault.place.column,
            kind: fault.kind.to_string(),
            message: fault.message.clone(),
            remedy: fault.remedy.clone(),
        }
    }
}

/// One value of a merged configuration and the file that it comes from; line
/// and column are 0 for a default.
#[derive(Debug, Serialize)]
pub struct Merged {
    path: String,
    value: serde_json::Value,
    file: String,
    line: u32,
    column: u32,
}

impl From<&Setting> for Merged {
    fn from(setting: &Setting) -> Self {
        Self {
            path: setting.path.clone(),
            value: serde_json::from_str(&setting.value).unwrap_or_default(),
            file: setting.place.file.to_string(),
            line: setting.place.line,
            column: setting.place.column,
        }
    }
}

/// One setting that a change alters.
#[derive(Debug, Serialize)]
pub struct Altered {
    site: Option<String>,
    path: String,
    old: Option<serde_json::Value>,
    new: Option<serde_json::Value>,
}

impl From<&Changed> for Altered {
    fn from(changed: &Changed) -> Self {
        let value = |text: &String| serde_json::from_str(text).unwrap_or_default();
        Self {
            site: changed.site.clone(),
            path: changed.path.clone(),
            old: changed.old.as_ref().map(value),
            new: changed.new.as_ref().map(value),
        }
    }
}

/// Traffic that a change may move.
#[derive(Debug, Serialize)]
pub struct Moved {
    service: String,
    from: String,
    to: Option<String>,
    cause: &'static str,
    percent: f64,
    cap_per_s: Option<u64>,
    old_cap_per_s: Option<u64>,
}

impl From<&Move> for Moved {
    fn from(moved: &Move) -> Self {
        let (cause, old) = match moved.cause {
            Cause::Blocks => ("blocks", None),
            Cause::Left => ("left", None),
            Cause::Home => ("home", None),
            Cause::Within => ("within", None),
            Cause::Cap { old, .. } => ("cap", Some(old)),
        };
        Self {
            service: moved.service.to_string(),
            from: moved.from.to_string(),
            to: moved.to.as_ref().map(ToString::to_string),
            cause,
            percent: f64::from(moved.share.0) / 10.0,
            cap_per_s: moved.cap,
            old_cap_per_s: old,
        }
    }
}

/// A whole change.
#[derive(Debug, Serialize)]
pub struct Change {
    changed: Vec<Altered>,
    blocks_differ: bool,
    moves: Vec<Moved>,
    refused: Vec<String>,
}

impl Change {
    /// A change and what is refused of it.
    #[must_use]
    pub fn new(diff: &Diff, refusals: &[Refusal]) -> Self {
        Self {
            changed: diff.changed.iter().map(Altered::from).collect(),
            blocks_differ: diff.ranges.is_some(),
            moves: diff.moves.iter().map(Moved::from).collect(),
            refused: refusals.iter().map(ToString::to_string).collect(),
        }
    }
}
