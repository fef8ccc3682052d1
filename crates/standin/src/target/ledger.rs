//! What a target really ran: the truth that tests count by.
//!
//! Invariant: a run is entered before its first effect and never removed.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

/// How far a run came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It began.
    Started,
    /// It was stopped by a cancellation or its deadline; its effect stays.
    Stopped,
    /// It ended.
    Done,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// What the request carried as its idempotency key.
    pub key: Option<String>,
    /// What the request carried as its attempt's name.
    pub attempt: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// The body, as far as it is text.
    pub body: String,
    /// How far it came.
    pub stage: Stage,
}

/// What a target ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executed {
    /// The runs, in the order they began.
    pub runs: Vec<Run>,
}

impl Executed {
    pub(super) fn begin(&mut self, run: Run) -> usize {
        self.runs.push(run);
        self.runs.len() - 1
    }

    pub(super) fn end(&mut self, at: usize, stage: Stage) {
        self.runs[at].stage = stage;
    }

    /// The runs of one idempotency key.
    #[must_use]
    pub fn of_key(&self, key: &str) -> Self {
        let has = |run: &&Run| run.key.as_deref() == Some(key);
        Self {
            runs: self.runs.iter().filter(has).cloned().collect(),
        }
    }
}

/// Adds a run to a file by one write, which a kill of the process can't undo.
pub(super) fn append(file: &Path, run: &Run) -> io::Result<()> {
    let mut line = serde_json::to_string(run)?;
    line.push('\n');
    let mut file = OpenOptions::new().create(true).append(true).open(file)?;
    file.write_all(line.as_bytes())
}
