//! What callers and targets saw, and whether the promises were kept.

use std::fmt;

use platform_standin::target::Run;

use super::harness;

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    /// None if the connection ended.
    pub answer: Option<Told>,
}

/// An answer as its caller saw it.
#[derive(Clone, Debug)]
pub struct Told {
    pub status: u16,
    /// The request that it says it answers.
    pub id: String,
    pub seal: String,
    pub body: String,
}

impl From<harness::Answer> for Told {
    fn from(answer: harness::Answer) -> Self {
        let field = |name| answer.header(name).unwrap_or_default().to_owned();
        Self {
            status: answer.status,
            id: field("request-id"),
            seal: field("response-seal"),
            body: answer.body,
        }
    }
}

/// One run of the soak.
#[derive(Debug)]
pub struct Seen {
    /// Sorted by id.
    pub asked: Vec<Asked>,
    /// Sorted by id.
    pub runs: Vec<Run>,
    /// Faults that were brought about.
    pub faults: usize,
    /// What went wrong besides.
    pub wrong: Vec<String>,
}

/// Most targets that a request of the configuration may be sent to.
const ATTEMPTS: usize = 2;

impl Seen {
    fn runs_of(&self, id: &str) -> &[Run] {
        let from = self.runs.partition_point(|r| *r.id < *id);
        let count = self.runs[from..].partition_point(|r| *r.id == *id);
        &self.runs[from..from + count]
    }

    /// Every promise that was broken.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = self.wrong.clone();
        for asked in &self.asked {
            broken.extend(self.judge(asked));
        }
        for run in &self.runs {
            let found = self.asked.binary_search_by(|a| a.id.cmp(&run.id));
            match found.map(|at| &self.asked[at]) {
                Ok(asked) if asked.method == run.method && asked.path == run.path => {}
                Ok(asked) => broken.push(format!("changed: {run:?}, asked {asked:?}")),
                Err(_) => broken.push(format!("nobody asked for {run:?}")),
            }
        }
        broken
    }

    fn judge(&self, asked: &Asked) -> Option<String> {
        let runs = self.runs_of(&asked.id);
        if asked.method != "GET" && runs.len() > 1 {
            return Some(format!("ran {} times: {asked:?}", runs.len()));
        }
        if runs.len() > ATTEMPTS {
            return Some(format!("at {} targets: {asked:?}", runs.len()));
        }
        let told = asked.answer.as_ref()?;
        let id = &asked.id;
        if told.id != *id {
            return Some(format!("another request's answer: {asked:?}"));
        }
        match told.status {
            408 | 421 | 429 | 503 if !runs.is_empty() => {
                Some(format!("rejected, and ran: {asked:?} {runs:?}"))
            }
            200 if runs.is_empty() => Some(format!("answered, and never ran: {asked:?}")),
            200 if told.body != format!("body of {id}") || told.seal != format!("seal-{id}") => {
                Some(format!("not the target's answer: {asked:?}"))
            }
            _ => None,
        }
    }
}

impl fmt::Display for Seen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |wanted: fn(u16) -> bool| {
            let answers = self.asked.iter().filter_map(|a| a.answer.as_ref());
            answers.filter(|a| wanted(a.status)).count()
        };
        let unanswered = self.asked.iter().filter(|a| a.answer.is_none()).count();
        write!(
            f,
            "{} faults; {} requests: {} answered, {} rejected, {} unknown routes, {} failed, \
             {} of unknown fate, {unanswered} without an answer; {} runs",
            self.faults,
            self.asked.len(),
            count(|s| s == 200),
            count(|s| matches!(s, 408 | 421 | 429 | 503)),
            count(|s| s == 404),
            count(|s| s == 500),
            count(|s| matches!(s, 502 | 504)),
            self.runs.len(),
        )
    }
}
