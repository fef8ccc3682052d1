//! Applies an operator's change: verifies it, checks how much traffic it moves, and
//! commits it with one write of the head document.
//!
//! Invariant: nothing is written before the full configuration has passed the
//! verifier and moves no more traffic than its caps allow. The result is `unknown`
//! unless it is certain.

use std::sync::Arc;
use std::thread;

use intent::moves::{self, judge};
use intent::{bundle, diff, document};
use serde::{Deserialize, Serialize};
use steer::process::config;
use steer::process::control::apply::{Apply, Base, Expect, Outcome, Step, Verdict};
use steer::process::control::store::StoredHead;
use steer::version::view;
use store::error;
use wire::kv;

use super::active::{self, ActiveConfig};
use super::{keys, store_calls};

/// A file of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Name of the file: `base`, `overlay/SITE` or `blocks/…`.
    pub name: String,
    /// Content of the file.
    pub text: String,
}

/// An operator's change: all files of the new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Unique id of the change, chosen by the operator.
    pub id: String,
    /// Version that the change is based on.
    pub over: u64,
    /// All files of the new version.
    pub files: Vec<File>,
    /// Caps stated with the change, `SERVICE:FROM:TO=CAP`.
    #[serde(default)]
    pub caps: Vec<String>,
    /// If true, the change is checked but not applied.
    #[serde(default)]
    pub dry_run: bool,
}

/// Result of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Result {
    /// The change is accepted.
    Accepted,
    /// A dry run passed all checks.
    WouldBe,
    /// The change has faults or moves too much traffic.
    Refused,
    /// Another change came first.
    Conflict,
    /// The change was certainly not accepted.
    NotAccepted,
    /// Acceptance of the change can't be determined yet.
    Unknown,
}

/// The answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Result of the change.
    pub result: Result,
    /// Version created by the change, or else the current one.
    pub version: u64,
    /// Text for the operator: faults, moved traffic, remedies.
    pub lines: Vec<String>,
}

impl Answer {
    fn new(result: Result, version: view::Version, lines: Vec<String>) -> Self {
        Self {
            result,
            version: version.0,
            lines,
        }
    }
}

/// Checks a change and applies it unless it is a dry run.
pub async fn change(
    store: &dyn store::Store,
    active: Option<Arc<ActiveConfig>>,
    change: Change,
) -> Answer {
    let version = active.as_deref().map_or(view::Version(0), |f| f.version);
    let change = Arc::new(change);
    match check_on_thread(active, Arc::clone(&change)).await {
        Err(refused) => Answer::new(Result::Refused, version, refused),
        Ok(next) if change.dry_run => Answer::new(Result::WouldBe, version, next.report),
        Ok(next) => write(store, version, &change, next).await,
    }
}

/// Checks a change on a thread of its own. At full size the check takes half a second,
/// during which the control thread could send no heartbeat.
async fn check_on_thread(
    active: Option<Arc<ActiveConfig>>,
    change: Arc<Change>,
) -> std::result::Result<CheckedChange, Vec<String>> {
    let (done, checked) = async_channel::bounded(1);
    let work = move || {
        // Fails only if the receiver was dropped.
        let _ = done.send_blocking(check_change(active.as_deref(), &change));
    };
    let thread = thread::Builder::new().name("weigh".to_owned()).spawn(work);
    let Ok(thread) = thread else {
        let line = "no thread for the check could be started; apply again later";
        return Err(vec![line.to_owned()]);
    };
    let next = checked.recv().await;
    // A thread that panicked sent no answer and printed the reason.
    let _ = thread.join();
    next.unwrap_or_else(|_| Err(vec!["the check failed; report this".to_owned()]))
}

/// A change that passed all checks, with a report of its differences.
struct CheckedChange {
    documents: Vec<document::Document>,
    report: Vec<String>,
}

/// Verifies a change and checks the traffic it moves; an error is the text to show.
fn check_change(
    old: Option<&ActiveConfig>,
    change: &Change,
) -> std::result::Result<CheckedChange, Vec<String>> {
    let shown = |error: active::Error| lines(&error.to_string());
    let files = change.files.iter().map(bundle::File::from).collect();
    let bundle = active::bundle(files).map_err(shown)?;
    let next = active::FullConfig::new(&bundle).map_err(shown)?;
    let mut report = Vec::new();
    if let Some(old) = old {
        let old = old.full().map_err(shown)?;
        let diff = diff::diff(&old.checked, &next.checked);
        report = lines(&diff.to_string());
        check_moves(&old.checked, &next.checked, &change.caps)?;
    }
    Ok(CheckedChange {
        documents: next.documents,
        report,
    })
}

impl From<&File> for bundle::File {
    fn from(file: &File) -> Self {
        Self {
            name: file.name.as_str().into(),
            text: file.text.as_str().into(),
        }
    }
}

impl ActiveConfig {
    /// Lists the files with their content as text.
    pub fn listing(&self) -> Vec<File> {
        let pairs = self.files.iter().zip(&self.bodies);
        let file = |(file, body): (&config::File, &config::Body)| File {
            name: file.name.as_ref().to_owned(),
            text: String::from_utf8_lossy(&body.bytes).into_owned(),
        };
        pairs.map(file).collect()
    }
}

fn lines(text: &str) -> Vec<String> {
    text.lines().map(str::to_owned).collect()
}

fn check_moves(
    old: &bundle::Checked,
    new: &bundle::Checked,
    caps: &[String],
) -> std::result::Result<(), Vec<String>> {
    let mut stated = Vec::with_capacity(caps.len());
    for cap in caps {
        let cap = cap.parse::<judge::Stated>();
        stated.push(cap.map_err(|e| vec![e.to_string()])?);
    }
    let moves = moves::moves(old, new);
    let percent = new.base.move_percent;
    let refusals = judge::refusals(&moves, percent, &[], &stated);
    if refusals.is_empty() {
        return Ok(());
    }
    Err(refusals.iter().map(ToString::to_string).collect())
}

async fn write(
    store: &dyn store::Store,
    in_force: view::Version,
    change: &Change,
    next: CheckedChange,
) -> Answer {
    let stored = match read(store).await {
        Ok(stored) => stored,
        Err(error) => {
            let line =
                format!("not accepted, nothing was written: reading the head failed: {error}");
            return Answer::new(Result::NotAccepted, in_force, vec![line]);
        }
    };
    let stored_version = stored.as_ref().map_or(view::Version(0), |s| s.head.version);
    if let Some(made) = stored
        .as_ref()
        .and_then(|s| version_made(&s.head, &change.id))
    {
        // The operator repeats a change whose answer was lost.
        return verdict_answer(&Verdict::InForce(made), in_force, next.report);
    }
    if stored_version.0 != change.over {
        // The reported differences include those of versions unknown to the operator.
        return verdict_answer(&Verdict::Conflict(stored_version), in_force, next.report);
    }
    if stored_version > in_force {
        // The moved traffic was computed against an older version.
        let line =
            format!("not accepted: {stored_version} isn't in force here yet; apply again at once");
        return Answer::new(Result::NotAccepted, in_force, vec![line]);
    }
    let head = stored.as_ref().map(|s| &*s.head);
    let (files, bodies) = contents(&next.documents, head);
    let base = Base {
        stored,
        force: in_force,
    };
    let mut apply = Apply::new(change.id.as_str().into(), base, files, bodies);
    let mut step = apply.start();
    loop {
        let outcome = match step {
            Step::Done(verdict) => return verdict_answer(&verdict, in_force, next.report),
            Step::PutBody(body) => put_body(store, &body).await,
            Step::PutHead { head, expect } => put_head(store, &head, expect).await,
            Step::ReadHead => read(store).await.map_or(Outcome::Lost, Outcome::Read),
        };
        step = apply.next(outcome);
    }
}

/// Returns the version that a change with this id has created already.
fn version_made(head: &config::Head, id: &str) -> Option<view::Version> {
    let made = head.recent.iter().find(|change| &*change.id == id);
    made.map(|change| change.version)
}

/// Returns all files with their hashes, and the bodies missing from the store.
fn contents(
    documents: &[document::Document],
    head: Option<&config::Head>,
) -> (Vec<config::File>, Vec<config::Body>) {
    let file = |document: &document::Document| config::File {
        name: Arc::clone(&document.name),
        hash: document.hash,
    };
    let body = |document: &document::Document| config::Body {
        hash: document.hash,
        bytes: Arc::from(document.text.as_bytes()),
    };
    let bodies = document::unsent(documents, head).map(body).collect();
    (documents.iter().map(file).collect(), bodies)
}

fn verdict_answer(verdict: &Verdict, in_force: view::Version, mut report: Vec<String>) -> Answer {
    let (result, version) = match verdict {
        Verdict::InForce(version) => (Result::Accepted, *version),
        Verdict::NotAccepted | Verdict::StoreBehind { .. } => (Result::NotAccepted, in_force),
        Verdict::Conflict(version) => (Result::Conflict, *version),
        Verdict::Unknown { version, .. } => (Result::Unknown, *version),
    };
    report.push(verdict.to_string());
    Answer::new(result, version, report)
}

async fn read(store: &dyn store::Store) -> std::result::Result<Option<StoredHead>, error::Error> {
    match store.get(keys::HEAD_KEY).await? {
        None => Ok(None),
        Some(entry) => match store_calls::parse(&entry) {
            Some(stored) => Ok(Some(stored)),
            None => Err(error::Error::BadAnswer { status: 200 }),
        },
    }
}

/// Returns whether the change with this id was accepted; `None` if the store doesn't
/// answer or its record of recent changes doesn't reach back far enough.
pub async fn accepted(store: &dyn store::Store, id: &str) -> Option<bool> {
    match read(store).await {
        Ok(Some(stored)) => stored.head.accepted(view::Version(0), id),
        Ok(None) => Some(false),
        Err(_) => None,
    }
}

async fn put_body(store: &dyn store::Store, body: &config::Body) -> Outcome {
    let put = kv::Put {
        value: String::from_utf8_lossy(&body.bytes).into_owned(),
        expect: kv::Expect::Any,
        lease: None,
    };
    match store.put(&keys::body(body.hash), put).await {
        Ok(_) => Outcome::Written,
        Err(_) => Outcome::Lost,
    }
}

async fn put_head(store: &dyn store::Store, head: &config::Head, expect: Expect) -> Outcome {
    let value = document::wire::to_json(head);
    let expect = match expect {
        Expect::Any => kv::Expect::Any,
        Expect::Absent => kv::Expect::Absent,
        Expect::Revision(revision) => kv::Expect::Revision(revision),
    };
    let put = kv::Put {
        value,
        expect,
        lease: None,
    };
    match store.put(keys::HEAD_KEY, put).await {
        Ok(_) => Outcome::Written,
        Err(error::Error::Conflict { current }) => {
            Outcome::Conflict(current.as_ref().and_then(store_calls::parse))
        }
        Err(_) => Outcome::Lost,
    }
}
