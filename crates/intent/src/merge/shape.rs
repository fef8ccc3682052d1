//! What an overlay may state, and how its values relate to the base's.

use jsonc::node::{Node, Value};

/// How an overlay's value may differ from the base's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// In any way.
    Any,
    /// A number may only be lower.
    Lower,
    /// A number may only be higher.
    Higher,
    /// `true` may become `false`.
    OnlyFalse,
    /// A list may only lose names.
    Fewer,
}

impl Rule {
    /// The remedy, if `over` breaks the rule. A value of a wrong type breaks
    /// none: it is reported when the merged tree is read.
    pub(super) fn broken(self, base: &Node, over: &Node) -> Option<&'static str> {
        let numbers = number(base).zip(number(over));
        let broken = match self {
            Self::Any => false,
            Self::Lower => numbers.is_some_and(|(base, over)| over > base),
            Self::Higher => numbers.is_some_and(|(base, over)| over < base),
            Self::OnlyFalse => over.value == Value::Bool(true),
            Self::Fewer => !within(over, base),
        };
        broken.then_some(match self {
            Self::Any => "state it in the base file",
            Self::Lower => {
                "only lower it here; it is a sum over all instances, raise it in the base"
            }
            Self::Higher => "only lengthen it here; shorten it in the base",
            Self::OnlyFalse => {
                "only turn it to false here; whether a repeat does harm is the same everywhere"
            }
            Self::Fewer => "only leave names out here; add them in the base",
        })
    }
}

fn number(node: &Node) -> Option<u64> {
    match &node.value {
        Value::Number(text) => text.parse().ok(),
        _ => None,
    }
}

fn within(over: &Node, base: &Node) -> bool {
    let (Value::List(over), Value::List(base)) = (&over.value, &base.value) else {
        return true;
    };
    over.iter()
        .all(|item| base.iter().any(|other| other.has_same_value(item)))
}

/// A part of the base file, as an overlay sees it.
pub(super) enum Shape {
    /// Can't differ by site, and why.
    Base(&'static str),
    /// A value.
    Value(Rule),
    /// An object of named members with these fields each.
    Named(&'static [(&'static str, Shape)]),
    /// A list of objects with these fields, told apart by the first ones.
    Keyed(&'static [&'static str], &'static [(&'static str, Shape)]),
}

const CLASS: &[(&str, Shape)] = &[("queue_percent", Shape::Value(Rule::Any))];

const SERVICE: &[(&str, Shape)] = &[
    ("class", Shape::Value(Rule::Any)),
    ("idempotent", Shape::Value(Rule::OnlyFalse)),
    ("deadline_ms", Shape::Value(Rule::Any)),
    ("sites", Shape::Value(Rule::Fewer)),
];

const LINK: &[(&str, Shape)] = &[("mbit", Shape::Value(Rule::Lower))];

const SHIFT: &[(&str, Shape)] = &[
    ("cap_per_s", Shape::Value(Rule::Lower)),
    ("ramp_s", Shape::Value(Rule::Higher)),
];

/// The whole file.
pub(super) const ROOT: &[(&str, Shape)] = &[
    (
        "regions",
        Shape::Base("all sites must agree on who is where"),
    ),
    ("classes", Shape::Keyed(&["name"], CLASS)),
    ("services", Shape::Named(SERVICE)),
    ("links", Shape::Keyed(&["from", "to"], LINK)),
    ("shifts", Shape::Keyed(&["service", "from", "to"], SHIFT)),
    ("drain", Shape::Base("who leaves, leaves for all sites")),
    ("blocks", Shape::Base("a caller belongs to one region")),
    (
        "move_percent",
        Shape::Base("it bounds a change of the whole"),
    ),
];
