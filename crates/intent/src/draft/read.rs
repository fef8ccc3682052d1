//! From the value tree to a [`Draft`].

use std::sync::Arc;

use jsonc::fault::Fault;
use jsonc::fields::Fields;
use jsonc::node::{Field, Node};
use jsonc::read;

use super::{Block, Class, Domain, Draft, Drain, Link, Name, Region, Service, Shift, Spot};
use crate::blocks;

/// Time of a request whose caller and service state none, in milliseconds.
pub const DEADLINE_MS: u64 = 2_000;

/// Ramp of a shift that states none, in seconds.
pub const RAMP_S: u64 = 30;

/// Share of a region's callers that one change may move, in percent.
pub const MOVE_PERCENT: u64 = 10;

/// Largest cap in requests a second; keeps products with milliseconds in range.
const CAP_MAX: u64 = 1_000_000_000;

const FIELDS: [&str; 8] = [
    "regions",
    "classes",
    "services",
    "links",
    "shifts",
    "drain",
    "blocks",
    "move_percent",
];

/// Reads a base file's tree; what can't be read is reported and left out.
pub fn draft(root: &Node, faults: &mut Vec<Fault>) -> Draft {
    let fields = Fields::open(root, &FIELDS, faults);
    Draft {
        regions: regions(fields.require("regions", faults), faults),
        classes: each(fields.require("classes", faults), faults, class),
        services: services(fields.require("services", faults), faults),
        links: each(fields.find("links"), faults, |n, f| Some(link(n, f))),
        shifts: each(fields.find("shifts"), faults, |n, f| Some(shift(n, f))),
        drain: drain(fields.find("drain"), faults),
        blocks: blocks(fields.find("blocks"), faults),
        move_percent: number(fields.find("move_percent"), 0, 100, faults).unwrap_or(MOVE_PERCENT),
    }
}

fn regions(node: Option<&Node>, faults: &mut Vec<Fault>) -> Vec<Region> {
    let mut regions = Vec::new();
    for field in members(node, faults) {
        let name = key(field, faults);
        let fields = Fields::open(&field.node, &["domains"], faults);
        let domains = domains(fields.require("domains", faults), faults);
        regions.extend(name.map(|name| Region { name, domains }));
    }
    regions
}

fn domains(node: Option<&Node>, faults: &mut Vec<Fault>) -> Vec<Domain> {
    let mut domains = Vec::new();
    for field in members(node, faults) {
        let name = key(field, faults);
        let fields = Fields::open(&field.node, &["entries", "sites"], faults);
        let entries = names(fields.require("entries", faults), faults);
        let sites = names(fields.find("sites"), faults);
        domains.extend(name.map(|name| Domain {
            name,
            entries,
            sites,
        }));
    }
    domains
}

fn class(node: &Node, faults: &mut Vec<Fault>) -> Option<Class> {
    let fields = Fields::open(node, &["name", "queue_percent"], faults);
    let name = name(fields.require("name", faults), faults);
    let percent = fields.require("queue_percent", faults);
    let queue = number(percent, 1, 100, faults).zip(percent);
    Some(Class {
        name: name?,
        queue: queue.map(|(value, node)| Spot {
            value,
            place: node.place.clone(),
        }),
    })
}

fn services(node: Option<&Node>, faults: &mut Vec<Fault>) -> Vec<Service> {
    let fields = members(node, faults);
    fields.iter().filter_map(|f| service(f, faults)).collect()
}

fn service(field: &Field, faults: &mut Vec<Fault>) -> Option<Service> {
    let known = ["class", "idempotent", "deadline_ms", "sites"];
    let own = key(field, faults);
    let fields = Fields::open(&field.node, &known, faults);
    let class = name(fields.require("class", faults), faults);
    let idempotent = fields.require("idempotent", faults);
    let idempotent = idempotent.and_then(|node| read::flag(node, faults));
    let deadline = number(fields.find("deadline_ms"), 1, 600_000, faults);
    let list = fields.require("sites", faults);
    let sites = list.map(|list| Spot {
        value: names(Some(list), faults),
        place: list.place.clone(),
    });
    Some(Service {
        name: own?,
        class,
        idempotent,
        deadline: deadline.unwrap_or(DEADLINE_MS),
        sites,
    })
}

fn link(node: &Node, faults: &mut Vec<Fault>) -> Link {
    let fields = Fields::open(node, &["from", "to", "mbit"], faults);
    Link {
        from: name(fields.require("from", faults), faults),
        to: name(fields.require("to", faults), faults),
        mbit: number(fields.require("mbit", faults), 1, 10_000_000, faults),
    }
}

fn shift(node: &Node, faults: &mut Vec<Fault>) -> Shift {
    let known = ["service", "from", "to", "cap_per_s", "ramp_s"];
    let fields = Fields::open(node, &known, faults);
    Shift {
        service: name(fields.require("service", faults), faults),
        from: name(fields.require("from", faults), faults),
        to: name(fields.require("to", faults), faults),
        cap: number(fields.require("cap_per_s", faults), 1, CAP_MAX, faults),
        ramp: number(fields.find("ramp_s"), 0, 86_400, faults).unwrap_or(RAMP_S),
    }
}

fn drain(node: Option<&Node>, faults: &mut Vec<Fault>) -> Drain {
    let Some(node) = node else {
        return Drain::default();
    };
    let fields = Fields::open(node, &["sites", "targets", "entries"], faults);
    Drain {
        sites: names(fields.find("sites"), faults),
        targets: names(fields.find("targets"), faults),
        entries: names(fields.find("entries"), faults),
    }
}

fn blocks(node: Option<&Node>, faults: &mut Vec<Fault>) -> Vec<Block> {
    let fields = members(node, faults);
    fields.iter().map(|f| block(f, faults)).collect()
}

fn block(field: &Field, faults: &mut Vec<Fault>) -> Block {
    let prefix = blocks::prefix(&field.name);
    faults.extend(prefix.err().map(|error| error.fault(&field.place)));
    Block {
        prefix: prefix.ok(),
        place: field.place.clone(),
        region: name(Some(&field.node), faults),
    }
}

/// Items of a list that may be absent.
fn each<T>(
    node: Option<&Node>,
    faults: &mut Vec<Fault>,
    item: impl Fn(&Node, &mut Vec<Fault>) -> Option<T>,
) -> Vec<T> {
    let Some(node) = node else {
        return Vec::new();
    };
    let items = read::list(node, faults);
    items.iter().filter_map(|n| item(n, faults)).collect()
}

/// Fields of an object that may be absent.
fn members<'a>(node: Option<&'a Node>, faults: &mut Vec<Fault>) -> &'a [Field] {
    node.map_or(&[], |node| read::object(node, faults))
}

fn key(field: &Field, faults: &mut Vec<Fault>) -> Option<Name> {
    if let Some(fault) = read::name_fault(&field.name, &field.place) {
        faults.push(fault);
        return None;
    }
    Some(Spot {
        value: Arc::clone(&field.name),
        place: field.place.clone(),
    })
}

fn name(node: Option<&Node>, faults: &mut Vec<Fault>) -> Option<Name> {
    let node = node?;
    let value = read::name(node, faults)?;
    Some(Spot {
        value: Arc::clone(value),
        place: node.place.clone(),
    })
}

fn names(node: Option<&Node>, faults: &mut Vec<Fault>) -> Vec<Name> {
    each(node, faults, |item, faults| name(Some(item), faults))
}

fn number(node: Option<&Node>, least: u64, most: u64, faults: &mut Vec<Fault>) -> Option<u64> {
    read::number(node?, least..=most, faults)
}
