//! A tree as a list of settings: one path and value a line.

use core::fmt;

use jsonc::fault::Place;
use jsonc::node::{Node, Value};

/// Fields that tell the objects of a list apart, in the order they print.
const KEYS: [&str; 4] = ["name", "service", "from", "to"];

/// One value, the way to it, and where it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Names from the root, joined by dots; `shifts[sheetview seq cq].ramp_s`.
    pub path: String,
    /// The value as compact JSON.
    pub value: String,
    /// Where it was written.
    pub place: Place,
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}  # {}", self.path, self.value, self.place)
    }
}

/// All values of a tree, in the order they were written. Lists of names are one
/// value; lists of objects are told apart by their names.
#[must_use]
pub fn settings(root: &Node) -> Vec<Setting> {
    let mut settings = Vec::new();
    walk(root, "", &mut settings);
    settings
}

fn walk(node: &Node, path: &str, settings: &mut Vec<Setting>) {
    match &node.value {
        Value::Object(fields) if !fields.is_empty() => {
            for field in fields {
                let dot = if path.is_empty() { "" } else { "." };
                walk(&field.node, &format!("{path}{dot}{}", field.name), settings);
            }
        }
        Value::List(items) if items.iter().any(|i| matches!(i.value, Value::Object(_))) => {
            for item in items {
                walk_item(item, &format!("{path}[{}]", key(item)), settings);
            }
        }
        _ => settings.push(Setting {
            path: path.into(),
            value: node.to_string(),
            place: node.place.clone(),
        }),
    }
}

/// The fields of a list's object that aren't part of its key.
fn walk_item(item: &Node, path: &str, settings: &mut Vec<Setting>) {
    let Value::Object(fields) = &item.value else {
        walk(item, path, settings);
        return;
    };
    for field in fields.iter().filter(|f| !KEYS.contains(&&*f.name)) {
        walk(&field.node, &format!("{path}.{}", field.name), settings);
    }
}

fn key(item: &Node) -> String {
    let words = KEYS.iter().filter_map(|key| match &item.get(key)?.value {
        Value::Text(text) => Some(&**text),
        _ => None,
    });
    words.collect::<Vec<&str>>().join(" ")
}
