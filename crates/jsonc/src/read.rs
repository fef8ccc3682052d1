//! Reading single values; a wrong one is reported and reads as `None`.

use core::fmt::Display;
use core::ops::RangeInclusive;
use core::str::FromStr;
use std::sync::Arc;

use crate::fault::{Fault, Kind};
use crate::node::{Field, Node, Value};

/// A string.
pub fn text<'a>(node: &'a Node, faults: &mut Vec<Fault>) -> Option<&'a Arc<str>> {
    match &node.value {
        Value::Text(text) => Some(text),
        _ => wrong(node, "a string", faults),
    }
}

/// A string that names something: not empty, no blanks or slashes.
pub fn name<'a>(node: &'a Node, faults: &mut Vec<Fault>) -> Option<&'a Arc<str>> {
    let found = text(node, faults)?;
    if let Some(fault) = name_fault(found, &node.place) {
        faults.push(fault);
        return None;
    }
    Some(found)
}

/// Why `name` can't name anything, if so. Names go into keys, header values
/// and log lines; a blank or slash in one would split them.
#[must_use]
pub fn name_fault(name: &str, place: &crate::Place) -> Option<Fault> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !name.is_empty() && name.len() <= NAME_MAX && name.chars().all(fits) {
        return None;
    }
    Some(Fault::new(
        place,
        Kind::OutOfRange,
        format!("\"{}\" is no name", name.escape_debug()),
        format!("use 1 to {NAME_MAX} letters, digits, '-', '_' or '.'"),
    ))
}

/// Longest name in bytes.
pub const NAME_MAX: usize = 64;

/// `true` or `false`.
pub fn flag(node: &Node, faults: &mut Vec<Fault>) -> Option<bool> {
    match node.value {
        Value::Bool(flag) => Some(flag),
        _ => wrong(node, "true or false", faults),
    }
}

/// A whole number within `range`.
pub fn number(node: &Node, range: RangeInclusive<u64>, faults: &mut Vec<Fault>) -> Option<u64> {
    let Value::Number(text) = &node.value else {
        return wrong(node, "a number", faults);
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

/// A string that parses to a `T`, such as a socket address; `what` names it.
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

/// A list; empty if it is none.
pub fn list<'a>(node: &'a Node, faults: &mut Vec<Fault>) -> &'a [Node] {
    if let Value::List(items) = &node.value {
        return items;
    }
    wrong::<()>(node, "a list", faults);
    &[]
}

/// An object's fields, whatever their names; a name that stands twice is
/// reported. Empty if it is none.
pub fn object<'a>(node: &'a Node, faults: &mut Vec<Fault>) -> &'a [Field] {
    let Value::Object(fields) = &node.value else {
        wrong::<()>(node, "an object", faults);
        return &[];
    };
    report_doubles(fields, faults);
    fields
}

fn report_doubles(fields: &[Field], faults: &mut Vec<Fault>) {
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

fn wrong<T>(node: &Node, wanted: &str, faults: &mut Vec<Fault>) -> Option<T> {
    faults.push(Fault::new(
        &node.place,
        Kind::WrongType,
        format!("found {}", node.value.kind()),
        format!("write {wanted}"),
    ));
    None
}
