//! Parsing of a settings file into [`Settings`].
//!
//! Invariant: all faults of a file are collected before any is returned.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use jsonc::fault::{Fault, Kind};
use jsonc::fields::Fields;
use jsonc::node::Node;
use jsonc::{nearest, read};

use crate::limits::{self, Limits};
use crate::secret::{Secret, Source};
use crate::{Listen, Log, Settings};

const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

const SETTINGS_FIELDS: [&str; 9] = [
    "name",
    "domain",
    "listen",
    "seeds",
    "store",
    "secret",
    "secret_file",
    "limits",
    "log",
];

pub(crate) fn settings(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let root = jsonc::parse(file, text).map_err(|fault| vec![fault])?;
    let mut faults = Vec::new();
    let found = read_root(&root, &mut faults);
    faults.sort();
    match found {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

/// Reads every field before the first `?`, so that one fault doesn't hide another.
fn read_root(root: &Node, faults: &mut Vec<Fault>) -> Option<Settings> {
    let fields = Fields::open(root, &SETTINGS_FIELDS, faults);
    let name = name(&fields, "name", faults);
    let domain = self::name(&fields, "domain", faults);
    let listen = listen(&fields, faults);
    let seeds = addrs(fields.find("seeds"), faults);
    let store = store(&fields, faults);
    let secret = secret(root, &fields, faults);
    let limits = limits(fields.find("limits"), faults);
    let log = log(fields.find("log"), faults);
    Some(Settings {
        name: name?,
        domain: domain?,
        listen: listen?,
        seeds,
        store,
        secret: secret?,
        limits,
        log,
    })
}

fn name(fields: &Fields<'_>, name: &str, faults: &mut Vec<Fault>) -> Option<Arc<str>> {
    let node = fields.require(name, faults)?;
    read::name(node, faults).cloned()
}

fn listen(fields: &Fields<'_>, faults: &mut Vec<Fault>) -> Option<Listen> {
    let node = fields.require("listen", faults)?;
    let fields = Fields::open(node, &["callers", "peers", "operators"], faults);
    let callers = fields.require("callers", faults);
    let callers = callers.and_then(|node| addr(node, faults));
    let peers = fields.require("peers", faults);
    let peers = peers.and_then(|node| addr(node, faults));
    let operators = fields.require("operators", faults);
    let operators = operators.and_then(|node| addr(node, faults));
    let listen = Listen {
        callers: callers?,
        peers: peers?,
        operators: operators?,
    };
    report_shared_addrs(node, &listen, faults);
    Some(listen)
}

/// Reports two listeners with one address. Callers must not reach state, metrics or
/// peer calls, and the second listener would fail to bind long after the check.
fn report_shared_addrs(node: &Node, listen: &Listen, faults: &mut Vec<Fault>) {
    let listeners = [
        ("callers", listen.callers),
        ("peers", listen.peers),
        ("operators", listen.operators),
    ];
    for (i, (first, a)) in listeners.iter().enumerate() {
        for (second, b) in &listeners[i + 1..] {
            if a == b && a.port() != 0 {
                faults.push(Fault::new(
                    &node.get(second).unwrap_or(node).place,
                    Kind::Conflict,
                    format!("\"{first}\" and \"{second}\" both listen on {a}"),
                    "give each its own port",
                ));
            }
        }
    }
}

fn store(fields: &Fields<'_>, faults: &mut Vec<Fault>) -> Vec<SocketAddr> {
    let node = fields.require("store", faults);
    let before = faults.len();
    let store = addrs(node, faults);
    if let Some(node) = node
        && store.is_empty()
        && faults.len() == before
    {
        faults.push(Fault::new(
            &node.place,
            Kind::OutOfRange,
            "no address of the key-value service",
            "list at least one, like \"192.0.2.7:2379\"",
        ));
    }
    store
}

fn addrs(node: Option<&Node>, faults: &mut Vec<Fault>) -> Vec<SocketAddr> {
    let Some(node) = node else {
        return Vec::new();
    };
    let items = read::list(node, faults);
    items
        .iter()
        .filter_map(|item| target_addr(item, faults))
        .collect()
}

fn addr(node: &Node, faults: &mut Vec<Fault>) -> Option<SocketAddr> {
    read::parsed(node, "an address with a port", "192.0.2.7:8080", faults)
}

/// Reads an address to connect to, which can't have port 0.
fn target_addr(node: &Node, faults: &mut Vec<Fault>) -> Option<SocketAddr> {
    let addr = addr(node, faults)?;
    if addr.port() == 0 {
        faults.push(Fault::new(
            &node.place,
            Kind::OutOfRange,
            format!("{addr} has port 0"),
            "name the port that the other side listens on",
        ));
        return None;
    }
    Some(addr)
}

fn secret(root: &Node, fields: &Fields<'_>, faults: &mut Vec<Fault>) -> Option<Source> {
    match (fields.find("secret"), fields.find("secret_file")) {
        (Some(_), Some(file)) => {
            faults.push(Fault::new(
                &file.place,
                Kind::Conflict,
                "both \"secret\" and \"secret_file\" are given",
                "keep one of them",
            ));
            None
        }
        (Some(node), None) => inline_secret(node, faults),
        (None, Some(node)) => Some(Source::File(path(node, faults)?)),
        (None, None) => {
            if matches!(root.value, jsonc::node::Value::Object(_)) {
                faults.push(Fault::new(
                    &root.place,
                    Kind::Missing,
                    "\"secret_file\" is missing",
                    "add \"secret_file\" with the path of a file of mode 600, or \"secret\"",
                ));
            }
            None
        }
    }
}

fn inline_secret(node: &Node, faults: &mut Vec<Fault>) -> Option<Source> {
    let text = read::text(node, faults)?;
    match Secret::new(text) {
        Ok(secret) => Some(Source::Inline(secret)),
        Err(error) => {
            let text = error.to_string();
            let (message, remedy) = text.split_once("; ").unwrap_or((&text, "choose another"));
            faults.push(Fault::new(&node.place, Kind::OutOfRange, message, remedy));
            None
        }
    }
}

fn path(node: &Node, faults: &mut Vec<Fault>) -> Option<PathBuf> {
    let text = read::text(node, faults)?;
    if text.is_empty() {
        faults.push(Fault::new(
            &node.place,
            Kind::OutOfRange,
            "the path is empty",
            "write the file's path",
        ));
        return None;
    }
    Some(PathBuf::from(&**text))
}

fn limits(node: Option<&Node>, faults: &mut Vec<Fault>) -> Limits {
    let mut limits = Limits::default();
    let Some(node) = node else {
        return limits;
    };
    let names = limits::LIMIT_DEFS.map(|b| b.name);
    let fields = Fields::open(node, &names, faults);
    for (i, bound) in limits::LIMIT_DEFS.iter().enumerate() {
        let Some(node) = fields.find(bound.name) else {
            continue;
        };
        if let Some(value) = read::number(node, bound.range.clone(), faults) {
            limits.set(i, value);
        }
    }
    limits
}

fn log(node: Option<&Node>, faults: &mut Vec<Fault>) -> Log {
    let mut log = Log {
        level: "info".into(),
        file: None,
    };
    let Some(node) = node else {
        return log;
    };
    let fields = Fields::open(node, &["level", "file"], faults);
    if let Some(node) = fields.find("level") {
        log.level = level(node, faults).unwrap_or(log.level);
    }
    if let Some(node) = fields.find("file") {
        log.file = path(node, faults);
    }
    log
}

fn level(node: &Node, faults: &mut Vec<Fault>) -> Option<Arc<str>> {
    let text = read::text(node, faults)?;
    if !LOG_LEVELS.contains(&&**text) {
        faults.push(Fault::new(
            &node.place,
            Kind::OutOfRange,
            format!("no level \"{}\"", text.escape_debug()),
            nearest::remedy(text, LOG_LEVELS),
        ));
        return None;
    }
    Some(Arc::clone(text))
}
