//! A site's overlay laid over the base file.
//!
//! The result is a tree like the base's, in which each value still has the
//! place it was written at: that is its provenance.
//!
//! Invariant: an overlay can only tighten what the whole system promises. A cap
//! or a link's limit is a sum over all instances; if one site could raise its
//! copy, the sum would be more than any file states.

mod shape;

use std::sync::Arc;

use jsonc::fault::{Fault, Kind, Place};
use jsonc::node::{Field, Node, Value};
use jsonc::{nearest, read};

use crate::draft::read::{DEADLINE_MS, MOVE_PERCENT, RAMP_S};
use shape::{Rule, Shape};

/// File named by the places of values that no file states.
pub const DEFAULT: &str = "default";

/// Field that says whose overlay it is.
const SITE: &str = "site";

/// An overlay merged with its base.
#[derive(Clone, Debug)]
pub struct Merged {
    /// Name of the site.
    pub site: Arc<str>,
    /// Where the overlay names the site.
    pub place: Place,
    /// The base's tree with the overlay's values.
    pub root: Node,
}

/// The base's tree with its defaults written out, their places in [`DEFAULT`].
#[must_use]
pub fn with_defaults(base: &Node) -> Node {
    let mut root = base.clone();
    for service in members_mut(field_mut(&mut root, "services")) {
        add_default(service, "deadline_ms", DEADLINE_MS);
    }
    add_default(&mut root, "move_percent", MOVE_PERCENT);
    if let Some(Value::List(shifts)) = field_mut(&mut root, "shifts").map(|n| &mut n.value) {
        for shift in shifts {
            add_default(shift, "ramp_s", RAMP_S);
        }
    }
    root
}

/// Lays an overlay over a base with its defaults written out. `None` if the
/// overlay doesn't say whose it is.
pub fn merge(base: &Node, overlay: &Node, faults: &mut Vec<Fault>) -> Option<Merged> {
    let mut root = base.clone();
    let mut site = None;
    for field in read::object(overlay, faults) {
        if &*field.name == SITE {
            site = read::name(&field.node, faults).map(|name| (name, &field.node.place));
            continue;
        }
        lay_field(shape::ROOT, &mut root, field, faults);
    }
    if site.is_none() && overlay.get(SITE).is_none() {
        faults.push(Fault::new(
            &overlay.place,
            Kind::Missing,
            "\"site\" is missing",
            "add \"site\" with the name of the site that the overlay is for",
        ));
    }
    let (name, place) = site?;
    Some(Merged {
        site: Arc::clone(name),
        place: place.clone(),
        root,
    })
}

/// Lays one field of an overlay over the object that `shape` describes.
fn lay_field(fields: &[(&str, Shape)], base: &mut Node, field: &Field, faults: &mut Vec<Fault>) {
    let names = fields.iter().map(|(name, _)| *name);
    let Some((_, shape)) = fields.iter().find(|(name, _)| *name == &*field.name) else {
        let remedy = nearest::remedy(&field.name, names);
        report_unknown("field", &field.name, &field.place, remedy, faults);
        return;
    };
    if let Shape::Base(why) = shape {
        faults.push(Fault::new(
            &field.place,
            Kind::Conflict,
            format!("\"{}\" can't differ by site: {why}", field.name),
            "state it in the base file",
        ));
        return;
    }
    let Some(under) = field_mut(base, &field.name) else {
        let remedy = "state it in the base file first".into();
        report_unknown("field", &field.name, &field.place, remedy, faults);
        return;
    };
    lay(shape, &field.name, under, &field.node, faults);
}

fn lay(shape: &Shape, name: &str, base: &mut Node, over: &Node, faults: &mut Vec<Fault>) {
    match shape {
        Shape::Base(_) => {}
        Shape::Value(rule) => lay_value(*rule, name, base, over, faults),
        Shape::Named(fields) => lay_named(fields, base, over, faults),
        Shape::Keyed(keys, fields) => lay_keyed(keys, fields, base, over, faults),
    }
}

fn lay_value(rule: Rule, name: &str, base: &mut Node, over: &Node, faults: &mut Vec<Fault>) {
    if base.has_same_value(over) {
        faults.push(Fault::new(
            &over.place,
            Kind::Redundant,
            format!("\"{name}\" repeats the value of {}", base.place),
            "remove it; an overlay holds only what differs",
        ));
        return;
    }
    if let Some(why) = rule.broken(base, over) {
        faults.push(Fault::new(
            &over.place,
            Kind::Conflict,
            format!("\"{name}\" is {over} here and {base} at {}", base.place),
            why,
        ));
        return;
    }
    *base = over.clone();
}

/// Objects of named members, such as services.
fn lay_named(fields: &[(&str, Shape)], base: &mut Node, over: &Node, faults: &mut Vec<Fault>) {
    for member in read::object(over, faults) {
        let Some(under) = field_mut(base, &member.name) else {
            let remedy = nearest::remedy(&member.name, names(base));
            report_unknown("name", &member.name, &member.place, remedy, faults);
            continue;
        };
        lay_object(fields, &[], under, &member.node, faults);
    }
}

/// Lists of objects that some of their fields tell apart, such as links.
fn lay_keyed(
    keys: &[&str],
    fields: &[(&str, Shape)],
    base: &mut Node,
    over: &Node,
    faults: &mut Vec<Fault>,
) {
    let mut seen: Vec<(String, &Place)> = Vec::new();
    for item in read::list(over, faults) {
        let Some(key) = key(item, keys, faults) else {
            continue;
        };
        if let Some((_, first)) = seen.iter().find(|(other, _)| *other == key) {
            faults.push(Fault::new(
                &item.place,
                Kind::Duplicate,
                format!("{key} stands twice"),
                format!("keep this one or the one at {first}"),
            ));
            continue;
        }
        if let Some(under) = find_keyed(base, keys, item) {
            lay_object(fields, keys, under, item, faults);
        } else {
            let remedy = "state it in the base file first, or mend the names".into();
            report_unknown("entry", &key, &item.place, remedy, faults);
        }
        seen.push((key, &item.place));
    }
}

fn lay_object(
    fields: &[(&str, Shape)],
    keys: &[&str],
    base: &mut Node,
    over: &Node,
    faults: &mut Vec<Fault>,
) {
    let own = read::object(over, faults);
    let mut stated = false;
    for field in own.iter().filter(|f| !keys.contains(&&*f.name)) {
        stated = true;
        lay_field(fields, base, field, faults);
    }
    if !stated && matches!(over.value, Value::Object(_)) {
        faults.push(Fault::new(
            &over.place,
            Kind::Redundant,
            "states nothing that differs",
            "remove it, or add the value that differs",
        ));
    }
}

/// The fields that tell an item apart, printed; reports the missing ones.
fn key(item: &Node, keys: &[&str], faults: &mut Vec<Fault>) -> Option<String> {
    read::object(item, faults);
    let mut words = Vec::new();
    for key in keys {
        let node = item.get(key);
        if node.is_none() && matches!(item.value, Value::Object(_)) {
            faults.push(Fault::new(
                &item.place,
                Kind::Missing,
                format!("\"{key}\" is missing"),
                format!(
                    "name the entry of the base by its \"{}\"",
                    keys.join("\", \"")
                ),
            ));
        }
        words.push(read::name(node?, faults)?.to_string());
    }
    Some(words.join(" "))
}

fn find_keyed<'a>(base: &'a mut Node, keys: &[&str], item: &Node) -> Option<&'a mut Node> {
    let Value::List(items) = &mut base.value else {
        return None;
    };
    items.iter_mut().find(|under| {
        keys.iter()
            .all(|key| match (under.get(key), item.get(key)) {
                (Some(a), Some(b)) => a.has_same_value(b),
                _ => false,
            })
    })
}

fn report_unknown(what: &str, name: &str, place: &Place, remedy: String, faults: &mut Vec<Fault>) {
    let message = format!("{what} \"{}\" is not in the base", name.escape_debug());
    faults.push(Fault::new(place, Kind::Unknown, message, remedy));
}

fn names(node: &Node) -> impl Iterator<Item = &str> + Clone {
    let fields: &[Field] = match &node.value {
        Value::Object(fields) => fields,
        _ => &[],
    };
    fields.iter().map(|f| &*f.name)
}

fn field_mut<'a>(node: &'a mut Node, name: &str) -> Option<&'a mut Node> {
    let Value::Object(fields) = &mut node.value else {
        return None;
    };
    let field = fields.iter_mut().find(|f| &*f.name == name)?;
    Some(&mut field.node)
}

fn members_mut(node: Option<&mut Node>) -> impl Iterator<Item = &mut Node> {
    let fields = match node.map(|n| &mut n.value) {
        Some(Value::Object(fields)) => fields.as_mut_slice(),
        _ => &mut [],
    };
    fields.iter_mut().map(|f| &mut f.node)
}

fn add_default(node: &mut Node, name: &str, value: u64) {
    let stated = node.get(name).is_some();
    let Value::Object(fields) = &mut node.value else {
        return;
    };
    if stated {
        return;
    }
    let place = Place {
        file: DEFAULT.into(),
        line: 0,
        column: 0,
    };
    fields.push(Field {
        name: name.into(),
        place: place.clone(),
        node: Node {
            place,
            value: Value::Number(value.to_string().into()),
        },
    });
}
