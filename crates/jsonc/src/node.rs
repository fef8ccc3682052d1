//! Tree of parsed values, in which every key and value keeps its place.

use core::fmt;
use std::sync::Arc;

use crate::fault::Place;

/// A value with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Start of the value.
    pub place: Place,
    /// Value at this place.
    pub value: Value,
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number as written in the file.
    Number(Arc<str>),
    /// A string.
    Text(Arc<str>),
    /// A list.
    List(Vec<Node>),
    /// An object with its fields as written: in the order of the file, with repeated
    /// names.
    Object(Vec<Field>),
}

/// A field of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name of the field.
    pub name: Arc<str>,
    /// Start of the name.
    pub place: Place,
    /// Value of the field.
    pub node: Node,
}

impl Value {
    /// Returns the type as named in messages.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Bool(_) => "true or false",
            Self::Number(_) => "a number",
            Self::Text(_) => "a string",
            Self::List(_) => "a list",
            Self::Object(_) => "an object",
        }
    }
}

impl Node {
    /// Returns the value of the first field of this name, if the node is an object with
    /// one.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Node> {
        let Value::Object(fields) = &self.value else {
            return None;
        };
        let field = fields.iter().find(|f| &*f.name == name)?;
        Some(&field.node)
    }

    /// Returns whether two nodes have equal values, regardless of places and of the order
    /// of fields.
    #[must_use]
    pub fn has_same_value(&self, other: &Node) -> bool {
        match (&self.value, &other.value) {
            (Value::List(a), Value::List(b)) => {
                a.len() == b.len() && a.iter().zip(b).all(|(a, b)| a.has_same_value(b))
            }
            (Value::Object(a), Value::Object(b)) => {
                a.len() == b.len()
                    && a.iter().all(|f| {
                        other
                            .get(&f.name)
                            .is_some_and(|n| n.has_same_value(&f.node))
                    })
            }
            (a, b) => a == b,
        }
    }
}

/// Prints the value as compact JSON without its places.
impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Value::Null => f.write_str("null"),
            Value::Bool(flag) => write!(f, "{flag}"),
            Value::Number(text) => f.write_str(text),
            Value::Text(text) => quote(f, text),
            Value::List(items) => write_list(f, items),
            Value::Object(fields) => write_object(f, fields),
        }
    }
}

fn quote(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    let quoted = serde_json::to_string(text).map_err(|_| fmt::Error)?;
    f.write_str(&quoted)
}

fn write_list(f: &mut fmt::Formatter<'_>, items: &[Node]) -> fmt::Result {
    f.write_str("[")?;
    for (i, item) in items.iter().enumerate() {
        let comma = if i == 0 { "" } else { ", " };
        write!(f, "{comma}{item}")?;
    }
    f.write_str("]")
}

fn write_object(f: &mut fmt::Formatter<'_>, fields: &[Field]) -> fmt::Result {
    f.write_str("{")?;
    for (i, field) in fields.iter().enumerate() {
        f.write_str(if i == 0 { "" } else { ", " })?;
        quote(f, &field.name)?;
        write!(f, ": {}", field.node)?;
    }
    f.write_str("}")
}
