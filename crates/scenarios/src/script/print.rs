//! Answers as short text that is the same at every run.

use serde::Deserialize;
use standin::target::Echo;
use wire::headers;

use crate::error::Error;
use crate::http::Answer;
use crate::process;
use crate::world::World;

#[derive(Deserialize)]
struct Found {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    name: String,
}

#[derive(Deserialize)]
struct Dump {
    version: u64,
    standing: String,
    targets: Vec<Target>,
    entries: Vec<Entry>,
}

#[derive(Deserialize)]
struct Target {
    name: String,
    state: String,
}

#[derive(Deserialize)]
struct Entry {
    name: String,
    life: String,
}

/// The parts of an entry instance's state that are asked for, one a line.
pub(super) fn dump(answer: &Answer, show: &[String]) -> String {
    let Ok(dump) = serde_json::from_str::<Dump>(&answer.body) else {
        return head(answer);
    };
    let mut lines = Vec::new();
    for part in show {
        let text = match &**part {
            "version" => dump.version.to_string(),
            "standing" => dump.standing.clone(),
            "targets" => listed(dump.targets.iter().map(|t| (&*t.name, &*t.state))),
            "entries" => listed(dump.entries.iter().map(|e| (&*e.name, &*e.life))),
            _ => "unknown part".to_owned(),
        };
        lines.push(format!("{part}: {text}"));
    }
    lines.join("\n")
}

/// Names in order, with the state of those that are not live.
fn listed<'a>(items: impl Iterator<Item = (&'a str, &'a str)>) -> String {
    let mut words: Vec<String> = items
        .map(|(name, state)| match state {
            "live" => name.to_owned(),
            _ => format!("{name}({state})"),
        })
        .collect();
    words.sort();
    words.join(" ")
}

/// The names of a look-up's answer in order, or its refusal.
pub(super) fn lookup(answer: &Answer) -> String {
    match serde_json::from_str::<Found>(&answer.body) {
        Ok(found) if answer.status == 200 => {
            let names: Vec<String> = found.choices.into_iter().map(|c| c.name).collect();
            names.join(" ")
        }
        _ => head(answer),
    }
}

/// Status, outcome and reason; for a target's answer also who ran it, and the
/// body that it got.
pub(super) fn answer(world: &World, named: bool, result: Result<Answer, Error>) -> String {
    let answer = match result {
        Ok(answer) => answer,
        Err(Error::Late(_)) => return "no answer in time".to_owned(),
        Err(_) => return "connection broken".to_owned(),
    };
    let Ok(echo) = serde_json::from_str::<Echo>(&answer.body) else {
        return head(&answer);
    };
    let mut text = vec![head(&answer), "in".to_owned()];
    text.push(world.domain(&echo.target).unwrap_or("unknown").to_owned());
    if named {
        text.push(format!("by {}", echo.target));
    }
    if !echo.body.is_empty() {
        text.push(format!("got \"{}\"", echo.body));
    }
    if !echo.pad.is_empty() {
        text.push(format!("gave {} bytes", echo.pad.len()));
    }
    text.join(" ")
}

/// Each different answer once, with its count if there are several answers.
pub(super) fn counted(mut answers: Vec<String>) -> String {
    if answers.len() == 1 {
        return answers.remove(0);
    }
    answers.sort();
    let alike = answers.chunk_by(|a, b| a == b);
    let lines = alike.map(|same| format!("{} of {}", same.len(), same[0]));
    lines.collect::<Vec<_>>().join("\n")
}

/// Status, outcome and reason.
pub(super) fn head(answer: &Answer) -> String {
    let status = answer.status.to_string();
    let outcome = answer.header(headers::OUTCOME);
    let reason = answer.header(headers::REASON);
    let after = answer.header(headers::RETRY_AFTER).map(|_| "come back");
    let words = [Some(&*status), outcome, reason, after];
    words.into_iter().flatten().collect::<Vec<_>>().join(" ")
}

/// What a subcommand said, with the names of the scenario's files for their
/// paths, and how it ended.
pub(super) fn ended(ended: &process::Ended, files: &[(String, String)]) -> String {
    let mut text = ended.said.clone();
    for (name, path) in files {
        text = text.replace(path, name);
    }
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    text.push_str(&process::ending(ended.status));
    text
}

/// The last line that a subcommand said, and how it ended.
pub(super) fn last(ended: &process::Ended) -> String {
    let line = ended.said.lines().last().unwrap_or_default();
    format!("{line}, {}", process::ending(ended.status))
}
