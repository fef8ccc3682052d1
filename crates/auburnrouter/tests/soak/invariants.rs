//! Records of callers and targets, and the checks of the guarantees on them.

use std::fmt;
use std::time::Instant;

use platform_standin::target::Run;

use super::harness;
use super::news::Judged;

/// One request with its answer, as recorded by the caller.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    /// Time at which it was sent.
    pub sent_at: Instant,
    /// `None` if the connection ended without an answer.
    pub answer: Option<Received>,
}

/// An answer, as recorded by the caller.
#[derive(Clone, Debug)]
pub struct Received {
    pub status: u16,
    /// Id of the request that the answer names.
    pub id: String,
    pub seal: String,
    pub body: String,
}

impl From<harness::Answer> for Received {
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

/// Records of the run of one seed.
#[derive(Debug)]
pub struct Report {
    /// Sorted by id.
    pub exchanges: Vec<Exchange>,
    /// Sorted by id.
    pub runs: Vec<Run>,
    /// Number of faults injected.
    pub faults: usize,
    /// Requests rejected because they crash targets, or may.
    pub suspected: usize,
    /// Attempts that instances made for others, whose links to targets were cut.
    pub relayed: usize,
    /// News of the store that is judged.
    pub judged: Judged,
    /// Other failures, such as a nonzero exit code of an instance.
    pub failures: Vec<String>,
}

/// Maximum number of targets that the configuration allows per request.
const ATTEMPTS_MAX: usize = 2;

impl Report {
    fn runs_of(&self, id: &str) -> &[Run] {
        let from = self.runs.partition_point(|r| *r.id < *id);
        let count = self.runs[from..].partition_point(|r| *r.id == *id);
        &self.runs[from..from + count]
    }

    /// Returns all violations of the guarantees.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.failures.clone();
        for exchange in &self.exchanges {
            violations.extend(self.violation(exchange));
        }
        for run in &self.runs {
            let found = self.exchanges.binary_search_by(|a| a.id.cmp(&run.id));
            match found.map(|at| &self.exchanges[at]) {
                Ok(exchange) if exchange.method == run.method && exchange.path == run.path => {}
                Ok(exchange) => violations.push(format!("changed: {run:?}, sent as {exchange:?}")),
                Err(_) => violations.push(format!("no caller sent {run:?}")),
            }
        }
        violations
    }

    fn violation(&self, exchange: &Exchange) -> Option<String> {
        let runs = self.runs_of(&exchange.id);
        if exchange.method != "GET" && runs.len() > 1 {
            return Some(format!("ran {} times: {exchange:?}", runs.len()));
        }
        if runs.len() > ATTEMPTS_MAX {
            return Some(format!("at {} targets: {exchange:?}", runs.len()));
        }
        let received = exchange.answer.as_ref()?;
        let id = &exchange.id;
        if received.id != *id {
            return Some(format!("another request's answer: {exchange:?}"));
        }
        match received.status {
            408 | 421 | 429 | 503 if !runs.is_empty() => {
                Some(format!("rejected, and ran: {exchange:?} {runs:?}"))
            }
            200 if runs.is_empty() => Some(format!("answered, and never ran: {exchange:?}")),
            200 if received.body != format!("body of {id}")
                || received.seal != format!("seal-{id}") =>
            {
                Some(format!("not the target's answer: {exchange:?}"))
            }
            _ => None,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |wanted: fn(u16) -> bool| {
            let answers = self.exchanges.iter().filter_map(|a| a.answer.as_ref());
            answers.filter(|a| wanted(a.status)).count()
        };
        let unanswered = self.exchanges.iter().filter(|a| a.answer.is_none()).count();
        write!(
            f,
            "{} faults; {} requests: {} answered, {} rejected ({} as suspects), {} unknown routes, \
             {} failed, {} with unknown outcome, {unanswered} without an answer; {} runs, {} relayed; {}",
            self.faults,
            self.exchanges.len(),
            count(|s| s == 200),
            count(|s| matches!(s, 408 | 421 | 429 | 503)),
            self.suspected,
            count(|s| s == 404),
            count(|s| s == 500),
            count(|s| matches!(s, 502 | 504)),
            self.runs.len(),
            self.relayed,
            self.judged,
        )
    }
}
