//! Figures of a plan that are replaced for one run: `callers.0.rate=60`.

use std::str::FromStr;
use std::sync::Arc;

use jsonc::fault::{Fault, Kind};
use jsonc::node::{Field, Node, Value};
use thiserror::Error;

/// A place and its new value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Set {
    path: Vec<String>,
    value: Value,
}

/// It isn't written as a replacement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("\"{0}\" is no replacement; write it like callers.0.rate=60")]
pub struct Error(String);

impl FromStr for Set {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let wrong = || Error(text.to_owned());
        let (path, value) = text.split_once('=').ok_or_else(wrong)?;
        let path: Vec<String> = path.split('.').map(str::to_owned).collect();
        if path.iter().any(String::is_empty) || value.is_empty() {
            return Err(wrong());
        }
        let value = match value {
            "true" => Value::Bool(true),
            "false" => Value::Bool(false),
            number if number.parse::<f64>().is_ok() => Value::Number(number.into()),
            name => Value::Text(name.into()),
        };
        Ok(Self { path, value })
    }
}

impl Set {
    /// Replaces the value at its place.
    pub(super) fn apply(&self, root: &mut Node) -> Result<(), Fault> {
        let mut node = root;
        for (depth, step) in self.path.iter().enumerate() {
            let place = node.place.clone();
            let last = depth + 1 == self.path.len();
            let next = match &mut node.value {
                Value::List(items) => step.parse().ok().and_then(|at: usize| items.get_mut(at)),
                Value::Object(fields) => {
                    // A figure that the file leaves to its usual value.
                    if last && fields.iter().all(|f| *f.name != **step) {
                        fields.push(Field {
                            name: Arc::from(&**step),
                            place: place.clone(),
                            node: Node {
                                place: place.clone(),
                                value: Value::Null,
                            },
                        });
                    }
                    let field = fields.iter_mut().find(|f| *f.name == **step);
                    field.map(|f| &mut f.node)
                }
                _ => None,
            };
            node = next.ok_or_else(|| {
                let path = self.path.join(".");
                let message = format!("{path} names nothing in this file");
                Fault::new(
                    &place,
                    Kind::Unknown,
                    message,
                    "name fields and places of lists that it has",
                )
            })?;
        }
        node.value = self.value.clone();
        node.place.file = Arc::from(format!("{} (replaced)", node.place.file));
        Ok(())
    }
}
