//! What was sent, answered and run, in `record.txt`, and the result of a case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record; clones write into the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics");
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
    }
}

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

impl Verdict {
    pub fn of(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Held }
    }

    pub fn code(self) -> ExitCode {
        match self {
            Self::Held => ExitCode::from(0),
            Self::Broken => ExitCode::from(1),
            Self::NotRun => ExitCode::from(2),
        }
    }
}
