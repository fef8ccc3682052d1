//! What callers were told, held against what the targets ran.

use std::fs;
use std::path::Path;
use std::time::Duration;

use standin::target::ledger::Run;

use super::board::{Board, Try, Verdict};
use super::setup::POISON;

/// Time from the word to stop for which an entry instance serves all the same,
/// as callers may hold a look-up's answer for two seconds; less what a try may
/// take from its begin to its arrival on a busy machine.
const SERVES_ON: Duration = Duration::from_millis(1600);

/// Most targets that a request may crash, if nothing else goes wrong.
const CRASHES_MAX: usize = 2;

/// Runs of all targets, from the file that they wrote.
pub(super) fn ledger(file: &Path) -> Vec<Run> {
    let text = fs::read_to_string(file).unwrap_or_default();
    let runs = text.lines().filter_map(|l| serde_json::from_str(l).ok());
    runs.collect()
}

/// Checks all that is written on the board.
pub(super) fn all(board: &Board, runs: &[Run]) {
    let tries = board.tries();
    keys(board, &tries, runs);
    bodies(board, &tries, runs);
    stops(board, &tries);
    poison(board, &tries, runs);
    for twice in board.versions().chunk_by(|a, b| a == b) {
        if let [version, _, ..] = twice {
            board.fault(format!("two changes were accepted as v{version}"));
        }
    }
}

/// Each key ran once at most; each refusal and each answer is true.
fn keys(board: &Board, tries: &[Try], runs: &[Run]) {
    let mut keyed: Vec<&Run> = runs.iter().filter(|r| r.key.is_some()).collect();
    keyed.sort_by_key(|run| &run.key);
    for same in keyed.chunk_by(|a, b| a.key == b.key) {
        if same.len() > 1 {
            board.fault(format!("ran {} times: {:?}", same.len(), same[0].key));
            story(board, tries, same);
        }
    }
    for one in tries.iter().filter(|t| t.key.is_some()) {
        let from = keyed.partition_point(|run| run.key < one.key);
        let to = keyed.partition_point(|run| run.key <= one.key);
        held(board, tries, one, &keyed[from..to]);
    }
}

/// The same for requests without a key: each try has a body of its own.
fn bodies(board: &Board, tries: &[Try], runs: &[Run]) {
    let mut plain: Vec<&Run> = runs.iter().filter(|r| r.key.is_none()).collect();
    plain.sort_by_key(|run| &run.body);
    let unkeyed = |t: &&Try| t.key.is_none() && !t.body.contains(POISON);
    for one in tries.iter().filter(unkeyed) {
        let from = plain.partition_point(|run| run.body < one.body);
        let to = plain.partition_point(|run| run.body <= one.body);
        held(board, tries, one, &plain[from..to]);
    }
}

/// Holds what one try was told against the runs of its request.
fn held(board: &Board, tries: &[Try], one: &Try, runs: &[&Run]) {
    match &one.verdict {
        Verdict::NotRun(reason) if !runs.is_empty() => {
            board.fault(format!("said not run ({reason}), but ran: {}", one.body));
            story(board, tries, runs);
        }
        Verdict::Ran { body, attempt } => {
            if *body != one.body {
                board.fault(format!("{} got another's answer: {body}", one.body));
            }
            let known = runs.iter().any(|run| run.attempt == *attempt);
            if !known || attempt.is_none() {
                board.fault(format!("{} got an answer that nobody gave", one.body));
                story(board, tries, runs);
            }
        }
        _ => {}
    }
}

/// Traces all tries of a request that went wrong, and its runs.
fn story(board: &Board, tries: &[Try], runs: &[&Run]) {
    for run in runs {
        board.trace(format!("  run {run:?}"));
    }
    let Some(first) = runs.first() else {
        return;
    };
    for one in tries.iter().filter(|t| t.body == first.body) {
        board.trace(format!("  try {one:?}"));
    }
}

/// No request is cut that was at an entry instance when it was told to stop, or
/// came while it served on. Its process was not the one started before: those
/// listen elsewhere.
fn stops(board: &Board, tries: &[Try]) {
    for stop in board.stops() {
        let cut = tries.iter().filter(|one| {
            let there = one.began < stop.told + SERVES_ON && one.ended > stop.told;
            there && one.at == stop.at && matches!(one.verdict, Verdict::Broken(_))
        });
        for one in cut {
            board.fault(format!("cut by a planned stop: {one:?}"));
        }
    }
}

/// The poison sent in the calm stops after two targets.
fn poison(board: &Board, tries: &[Try], runs: &[Run]) {
    let mut poisons: Vec<&Run> = runs.iter().filter(|r| r.body.contains(POISON)).collect();
    poisons.sort_by_key(|run| &run.body);
    for same in poisons.chunk_by(|a, b| a.body == b.body) {
        let text = format!("{} crashed {} targets", same[0].body, same.len());
        if same[0].body.starts_with("calm") && same.len() > CRASHES_MAX {
            board.fault(text);
            story(board, tries, same);
        } else {
            board.trace(text);
        }
    }
}
