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
    let domain = world.domain(&echo.target).unwrap_or("unknown");
    let mut text = format!("{} in {domain}", head(&answer));
    if named {
        text += &format!(" by {}", echo.target);
    }
    if !echo.body.is_empty() {
        text += &format!(": {}", echo.body);
    }
    if !echo.pad.is_empty() {
        text += &format!(" and {} bytes", echo.pad.len());
    }
    text
}

fn head(answer: &Answer) -> String {
    let mut text = answer.status.to_string();
    if let Some(outcome) = answer.header(headers::OUTCOME) {
        text += &format!(" {outcome}");
    }
    if let Some(reason) = answer.header(headers::REASON) {
        text += &format!(" {reason}");
    }
    if answer.header(headers::RETRY_AFTER).is_some() {
        text += ", come back";
    }
    text
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
