//! Edits of a file's text that keep its comments and layout.
//!
//! Invariant: text outside the edited list stays byte for byte.

use jsonc_parser::ParseOptions;
use jsonc_parser::cst::{CstArray, CstInputValue, CstNode, CstRootNode};
use thiserror::Error;

/// Errors in editing a text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The text can't be parsed.
    #[error("the file can't be parsed: {0}; run `check` on it")]
    Syntax(String),
    /// The value at this path is not the object or list that the edit needs.
    #[error("{0} is not of the kind expected there; run `check` on the file")]
    Kind(String),
}

/// Adds `name` to the list at `object.list` unless it is there. Creates the object and
/// the list if absent.
///
/// # Errors
/// [`Error::Syntax`] if the text can't be parsed, [`Error::Kind`] if a value of another
/// type stands at either path.
pub fn list_add(text: &str, object: &str, list: &str, name: &str) -> Result<String, Error> {
    let root = parse(text)?;
    let array = root
        .object_value_or_set()
        .object_value_or_create(object)
        .ok_or_else(|| Error::Kind(object.to_owned()))?
        .array_value_or_create(list)
        .ok_or_else(|| Error::Kind(format!("{object}.{list}")))?;
    if find(&array, name).is_empty() {
        array.append(CstInputValue::String(name.to_owned()));
    }
    Ok(root.to_string())
}

/// Removes every occurrence of `name` from the list at `object.list`. Does nothing if
/// there is no such list.
///
/// # Errors
/// [`Error::Syntax`] if the text can't be parsed.
pub fn list_remove(text: &str, object: &str, list: &str, name: &str) -> Result<String, Error> {
    let root = parse(text)?;
    let array = root
        .object_value()
        .and_then(|root| root.object_value(object))
        .and_then(|object| object.array_value(list));
    for node in array.iter().flat_map(|array| find(array, name)) {
        node.remove();
    }
    Ok(root.to_string())
}

fn parse(text: &str) -> Result<CstRootNode, Error> {
    let root = CstRootNode::parse(text, &ParseOptions::default());
    root.map_err(|error| Error::Syntax(error.to_string()))
}

fn find(array: &CstArray, name: &str) -> Vec<CstNode> {
    let is_name = |node: &CstNode| {
        let text = node.as_string_lit().and_then(|t| t.decoded_value().ok());
        text.is_some_and(|t| t == name)
    };
    array.elements().into_iter().filter(is_name).collect()
}
