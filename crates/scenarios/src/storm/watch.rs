//! What entry instances say of themselves.

use std::thread;
use std::time::Duration;

use serde::Deserialize;
use trillium_client::Method;

use super::board::{Board, Entry};
use crate::error::Error;
use crate::http::Call;
use crate::settings;

/// Pause between two looks at all entry instances.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for an entry instance's word: frozen ones give none.
const ASK: Duration = Duration::from_millis(500);

/// The part of an entry instance's state that is checked.
#[derive(Debug, Deserialize)]
pub(super) struct Dump {
    /// Which process it is.
    pub(super) incarnation: String,
    /// Its standing.
    pub(super) standing: String,
    /// Version in force.
    pub(super) version: u64,
    /// Requests in flight.
    pub(super) in_flight: usize,
    /// Whether nothing is left to do.
    pub(super) drained: bool,
    /// The targets that it knows.
    pub(super) targets: Vec<Known>,
    /// The entry instances that it knows.
    pub(super) entries: Vec<Row>,
}

/// A target that is known.
#[derive(Debug, Deserialize)]
pub(super) struct Known {
    /// Its name.
    pub(super) name: String,
}

/// An entry instance, as another sees it.
#[derive(Debug, Deserialize)]
pub(super) struct Row {
    /// Its name.
    pub(super) name: String,
    /// Whether it lives.
    pub(super) life: String,
}

/// Asks an entry instance for its state.
///
/// # Errors
/// It gives none in time, or what it gives can't be read.
pub(super) fn dump(entry: &Entry) -> Result<Dump, Error> {
    let mut call = Call::new(Method::Get, entry.listens.operators, "/dump", "");
    let bearer = format!("Bearer {}", settings::SECRET);
    call.headers.push(("Authorization", bearer));
    let answer = call.make_within(ASK)?;
    let wrong = |e: serde_json::Error| {
        let (status, body) = (answer.status, &answer.body);
        Error::Http(format!("{status}, {e}: {body}"))
    };
    serde_json::from_str(&answer.body).map_err(wrong)
}

/// Sees to it, until the storm is over, that no version goes down.
pub(super) fn versions(board: &Board) {
    let mut highest: Vec<(String, u64)> = Vec::new();
    while !board.is_over() {
        for entry in board.entries() {
            let Ok(dump) = dump(&entry) else {
                continue;
            };
            note(board, &mut highest, &entry, &dump);
        }
        thread::sleep(PAUSE);
    }
}

fn note(board: &Board, highest: &mut Vec<(String, u64)>, entry: &Entry, dump: &Dump) {
    let at = highest.binary_search_by(|(known, _)| known.as_str().cmp(&dump.incarnation));
    match at {
        Ok(at) => {
            let before = highest[at].1;
            if dump.version < before {
                let (name, now) = (entry.name, dump.version);
                board.fault(format!("version of {name} went from {before} to {now}"));
            }
            highest[at].1 = before.max(dump.version);
        }
        Err(at) => highest.insert(at, (dump.incarnation.clone(), dump.version)),
    }
}
