//! Answers as short text that is the same at every run.

use serde::Deserialize;
use standin::target::Echo;
use wire::headers;

use crate::error::Error;
use crate::http::Answer;
use crate::world::World;

#[derive(Deserialize)]
struct Found {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    name: String,
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

/// Status, outcome and reason.
pub(super) fn head(answer: &Answer) -> String {
    let status = answer.status.to_string();
    let outcome = answer.header(headers::OUTCOME);
    let reason = answer.header(headers::REASON);
    let after = answer.header(headers::RETRY_AFTER).map(|_| "come back");
    let words = [Some(&*status), outcome, reason, after];
    words.into_iter().flatten().collect::<Vec<_>>().join(" ")
}

/// Replaces paths of the scenario's files by their names.
pub(super) fn normal(said: &str, files: &[(String, String)]) -> String {
    let mut text = said.to_owned();
    for (name, path) in files {
        text = text.replace(path, name);
    }
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    text
}
