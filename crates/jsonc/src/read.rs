//! Readers of single values.
//!
//! Invariant: an invalid value is reported as a fault and read as `None` or as empty.

use core::fmt::Display;
use core::ops::RangeInclusive;
use core::str::FromStr;
use std::sync::Arc;

use crate::fault::{Fault, Kind};
use crate::node::{Field, Node, Value};

/// Reads a string.
pub fn text<'a>(node: &'a Node, faults: &mut Vec<Fault>) -> Option<&'a Arc<str>> {
    match &node.value {
        Value::Text(text) => Some(text),
        _ => wrong_type(node, "a string", faults),
    }
}

/// Reads a string that is a valid name; see [`name_fault`].
pub fn name<'a>(node: &'a Node, faults: &mut Vec<Fault>) -> Option<&'a Arc<str>> {
    let found = text(node, faults)?;
    if let Some(fault) = name_fault(found, &node.place) {
        faults.push(fault);
        return None;
    }
    Some(found)
}

/// Checks a name; returns the fault if it is invalid. Names are used in keys, header
/// values and log lines, which a blank or slash would split.
#[must_use]
pub fn name_fault(name: &str, place: &crate::Place) -> Option<Fault> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !name.is_empty() && name.len() <= NAME_MAX && name.chars().all(is_allowed) {
        return None;
    }
    Some(Fault::new(
        place,
        Kind::OutOfRange,
        format!("\"{}\" is no name", name.escape_debug()),
        format!("use 1 to {NAME_MAX} letters, digits, '-', '_' or '.'"),
    ))
}

/// Largest length of a name in bytes.
pub const NAME_MAX: usize = 64;

/// Reads `true` or `false`.
pub fn flag(node: &Node, faults: &mut Vec<Fault>) -> Option<bool> {
    match node.value {
        Value::Bool(flag) => Some(flag),
        _ => wrong_type(node, "true or false", faults),
    }
}

/// Reads an integer within `range`.
pub fn number(node: &Node, range: RangeInclusive<u64>, faults: &mut Vec<Fault>) -> Option<u64> {
    let Value::Number(text) = &node.value else {
        return wrong_type(node, "a number", faults);
    };
    let found = text.parse().ok().filter(|n| range.contains(n));
    if found.is_none() {
        faults.push(Fault::new(
            &node.place,
            Kind::OutOfRange,
            format!("{text} is out of range"),
            format!(
                "use a whole number from {} to {}",
                range.start(),
                range.end()
            ),
        ));
    }
    found
}

/// Reads a string that parses to a `T`, such as a socket address. Messages describe it
/// as `what`, with an `example`.
pub fn parsed<T>(node: &Node, what: &str, example: &str, faults: &mut Vec<Fault>) -> Option<T>
where
    T: FromStr<Err: Display>,
{
    let text = text(node, faults)?;
    match text.parse() {
        Ok(value) => Some(value),
        Err(error) => {
            faults.push(Fault::new(
                &node.place,
                Kind::OutOfRange,
                format!("\"{}\" is not {what}: {error}", text.escape_debug()),
                format!("write it like \"{example}\""),
            ));
            None
        }
    }
}

/// Reads a list; empty if the value is of another type.
pub fn list<'a>(node: &'a Node, faults: &mut Vec<Fault>) -> &'a [Node] {
    if let Value::List(items) = &node.value {
        return items;
    }
    wrong_type::<()>(node, "a list", faults);
    &[]
}

/// Reads the fields of an object, and reports repeated names; empty if the value is of
/// another type.
pub fn object<'a>(node: &'a Node, faults: &mut Vec<Fault>) -> &'a [Field] {
    let Value::Object(fields) = &node.value else {
        wrong_type::<()>(node, "an object", faults);
        return &[];
    };
    report_duplicates(fields, faults);
    fields
}

fn report_duplicates(fields: &[Field], faults: &mut Vec<Fault>) {
    let mut order: Vec<usize> = (0..fields.len()).collect();
    order.sort_by(|&a, &b| fields[a].name.cmp(&fields[b].name).then(a.cmp(&b)));
    for pair in order.windows(2) {
        let (first, second) = (&fields[pair[0]], &fields[pair[1]]);
        if first.name == second.name {
            faults.push(Fault::new(
                &second.place,
                Kind::Duplicate,
                format!("\"{}\" stands twice", second.name.escape_debug()),
                format!("keep this one or the one at {}", first.place),
            ));
        }
    }
}

fn wrong_type<T>(node: &Node, expected: &str, faults: &mut Vec<Fault>) -> Option<T> {
    faults.push(Fault::new(
        &node.place,
        Kind::WrongType,
        format!("found {}", node.value.kind()),
        format!("write {expected}"),
    ));
    None
}
