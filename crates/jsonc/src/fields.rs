//! Access to the fields of objects whose field names are declared.

use crate::fault::{Fault, Kind};
use crate::nearest;
use crate::node::{Field, Node};
use crate::read;

/// An object whose unknown and duplicate fields have been reported.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'a> {
    node: &'a Node,
    fields: &'a [Field],
}

impl<'a> Fields<'a> {
    /// Reads an object, and reports fields that are not in `known` or are repeated.
    pub fn open(node: &'a Node, known: &[&str], faults: &mut Vec<Fault>) -> Self {
        let fields = read::object(node, faults);
        for field in fields {
            if !known.contains(&&*field.name) {
                faults.push(Fault::new(
                    &field.place,
                    Kind::Unknown,
                    format!("unknown field \"{}\"", field.name.escape_debug()),
                    nearest::remedy(&field.name, known.iter().copied()),
                ));
            }
        }
        Self { node, fields }
    }

    /// Returns an optional field.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&'a Node> {
        let field = self.fields.iter().find(|f| &*f.name == name)?;
        Some(&field.node)
    }

    /// Returns a required field, or reports that it is missing. A node that is not an
    /// object has already been reported, so its fields are not reported as missing.
    pub fn require(&self, name: &str, faults: &mut Vec<Fault>) -> Option<&'a Node> {
        let found = self.find(name);
        if found.is_none() && matches!(self.node.value, crate::node::Value::Object(_)) {
            faults.push(Fault::new(
                &self.node.place,
                Kind::Missing,
                format!("\"{name}\" is missing"),
                format!("add \"{name}\" to this object"),
            ));
        }
        found
    }
}
