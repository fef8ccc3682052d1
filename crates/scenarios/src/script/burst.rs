//! Many requests at once, sent again like callers do, and checked against what
//! the targets really ran.
//!
//! Invariant: every request of a burst has its own body, and its own key if it
//! has one; so a mixed-up answer and a second run can't go unseen.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde::Deserialize;
use standin::target::Echo;
use standin::target::ledger::Executed;
use trillium_client::Method;
use wire::headers;

use crate::error::Error;
use crate::http::{Answer, Call};

/// Callers that send at a time.
const CALLERS: usize = 8;

/// Longest that a refused caller stays away.
const AFTER_MAX: Duration = Duration::from_millis(1500);

/// A burst to send.
#[derive(Clone, Debug)]
pub(super) struct Burst {
    /// Entry instances to use; a request is sent again to the next one.
    pub(super) at: Vec<SocketAddr>,
    /// Name of the service.
    pub(super) service: String,
    /// Number of requests.
    pub(super) count: usize,
    /// Times that a request is sent again while its answer isn't a target's.
    pub(super) resend: usize,
    /// Whether each request carries a key of its own.
    pub(super) keyed: bool,
    /// Milliseconds that callers allow.
    pub(super) deadline: Option<u64>,
    /// Which burst of the scenario it is.
    pub(super) number: usize,
}

/// What a caller knows of its request in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    /// It has the answer to its own request.
    Ran,
    /// It has the answer to another request.
    Wrong,
    /// It was told that the request was not run.
    NotRun,
    /// It does not know.
    Unknown,
}

/// A request of a burst, as its caller saw it end.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    body: String,
    known: Known,
}

#[derive(Deserialize)]
struct Issued {
    prefix: String,
}

impl Burst {
    /// Sends all requests and waits for their ends.
    pub(super) fn send(self) -> Result<Vec<Sent>, Error> {
        let next = Arc::new(AtomicUsize::new(0));
        let burst = Arc::new(self);
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let (burst, next) = (Arc::clone(&burst), Arc::clone(&next));
            callers.push(thread::spawn(move || burst.call(&next)));
        }
        let mut sent = Vec::new();
        for caller in callers {
            let gone = |_| Err(Error::Http("a caller's thread panicked".to_owned()));
            sent.extend(caller.join().unwrap_or_else(gone)?);
        }
        Ok(sent)
    }

    /// One caller's part.
    fn call(&self, next: &AtomicUsize) -> Result<Vec<Sent>, Error> {
        let mut sent = Vec::new();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= self.count {
                return Ok(sent);
            }
            let body = format!("burst-{}-request-{number:06}", self.number);
            let key = self.key(&body, 0);
            if self.keyed && key.is_none() {
                println!("{body} got no key");
                let known = Known::NotRun;
                sent.push(Sent { body, known });
                continue;
            }
            let known = self.request(number, &body, key);
            sent.push(Sent { body, known });
        }
    }

    /// A key from the first instance that issues one, for the given round of tries.
    fn key(&self, body: &str, round: usize) -> Option<String> {
        if !self.keyed {
            return None;
        }
        let ask = |&addr: &SocketAddr| Call::new(Method::Get, addr, "/key", "").make().ok();
        let mut answers = self.at.iter().filter_map(ask);
        let issued = answers.find_map(|a| serde_json::from_str::<Issued>(&a.body).ok());
        Some(format!("{}nonce-{body}-{round}", issued?.prefix))
    }

    /// Sends a request until its caller knows that it ran.
    fn request(&self, number: usize, body: &str, key: Option<String>) -> Known {
        let path = format!("/s/{}/work", self.service);
        let mut call = Call::new(Method::Post, self.at[0], &path, body);
        let mut key = key.map(|k| (headers::IDEMPOTENCY_KEY, k));
        let deadline = self.deadline.map(|ms| ms.to_string());
        let deadline = deadline.map(|ms| (headers::DEADLINE_MS, ms));
        let deadline: Vec<_> = deadline.into_iter().collect();
        // Callers are spread over the instances that they may use.
        let first = number % self.at.len();
        let mut doubt = false;
        let mut tries = Vec::new();
        for round in 0..=self.resend {
            call.addr = self.at[(first + round) % self.at.len()];
            call.headers = key.clone().into_iter().chain(deadline.clone()).collect();
            let start = Instant::now();
            let answer = call.make();
            tries.push(describe(call.addr, start.elapsed(), &answer));
            let after = answer.as_ref().ok().and_then(come_back);
            match judge(answer, body) {
                Known::NotRun if round == self.resend && !doubt => {
                    println!("{body} not run: {}", tries.join("; "));
                    return Known::NotRun;
                }
                // Without a key a refusal speaks of this try alone; under its key the
                // request never runs.
                Known::NotRun => {
                    let new = self.key(body, round + 1);
                    key = new.map(|k| (headers::IDEMPOTENCY_KEY, k));
                }
                Known::Unknown => doubt = !self.keyed,
                known => return known,
            }
            if let Some(after) = after {
                thread::sleep(after.min(AFTER_MAX));
            }
        }
        println!("{body} unanswered: {}", tries.join("; "));
        Known::Unknown
    }
}

/// When a refused caller is told to come back.
fn come_back(answer: &Answer) -> Option<Duration> {
    let ms = answer.header(headers::RETRY_AFTER_MS)?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// One try as a line for whoever reads a failed run.
fn describe(addr: SocketAddr, took: Duration, answer: &Result<Answer, Error>) -> String {
    let ms = took.as_millis();
    match answer {
        Ok(answer) => {
            let of = |name| answer.header(name).unwrap_or("-");
            let (outcome, reason) = (of(headers::OUTCOME), of(headers::REASON));
            let (status, after) = (answer.status, of(headers::RETRY_AFTER_MS));
            format!("{addr} in {ms} ms: {status} {outcome} {reason}, come back in {after} ms")
        }
        Err(error) => format!("{addr} in {ms} ms: {error}"),
    }
}

fn judge(answer: Result<Answer, Error>, body: &str) -> Known {
    let Ok(answer) = answer else {
        return Known::Unknown;
    };
    match answer.header(headers::OUTCOME) {
        Some("ran") => match serde_json::from_str::<Echo>(&answer.body) {
            Ok(echo) if echo.body == body => Known::Ran,
            _ => Known::Wrong,
        },
        Some("not-run") => Known::NotRun,
        _ => Known::Unknown,
    }
}

/// What callers know, held against what the targets ran.
pub(super) fn check(sent: &[Sent], executed: &Executed, keyed: bool) -> String {
    let mut bodies: Vec<&str> = executed.runs.iter().map(|run| &*run.body).collect();
    bodies.sort_unstable();
    let runs = |body: &str| {
        let from = bodies.partition_point(|b| *b < body);
        bodies[from..].iter().take_while(|b| **b == body).count()
    };
    let count = |holds: &dyn Fn(&Sent) -> bool| sent.iter().filter(|s| holds(s)).count();
    let some = |n: usize| if n > 0 { "some" } else { "none" };
    let ran = count(&|s| s.known == Known::Ran);
    let wrong = count(&|s| s.known == Known::Wrong);
    let untrue = count(&|s| s.known == Known::NotRun && runs(&s.body) > 0);
    let unfounded = count(&|s| s.known == Known::Ran && runs(&s.body) == 0);
    let mut lines = vec![
        format!(
            "answered: {}",
            if ran == sent.len() { "all" } else { some(ran) }
        ),
        format!("another's answer: {}", wrong),
        format!("said not run, but ran: {untrue}"),
        format!("said ran, but did not: {unfounded}"),
    ];
    if keyed {
        let twice = count(&|s| runs(&s.body) > 1);
        lines.push(format!("ran twice: {twice}"));
    }
    lines.join("\n")
}
