//! A plan out of its file.

use core::ops::RangeInclusive;
use core::time::Duration;
use std::sync::Arc;

use jsonc::fault::{Fault, Kind as Sort};
use jsonc::fields::Fields;
use jsonc::node::{Node, Value};
use jsonc::{nearest, read};
use steer::process::direct::budget::Rule;
use steer::process::direct::{Bounds, access, limit, quota};

use super::{Callers, Delays, Domain, Kind, Part, Plan, Service, Trouble, Weights, What};

const PLAN: [&str; 9] = [
    "span_s",
    "domains",
    "services",
    "kinds",
    "callers",
    "delays_ms",
    "bounds",
    "weights",
    "faults",
];

/// Longest run in seconds, and longest time of any sort.
const LONGEST: f64 = 3600.0;
const AMOUNT: RangeInclusive<f64> = 0.0..=1e6;
const SHARE: RangeInclusive<f64> = 0.0..=1.0;

/// Reads what is common to all objects of a plan.
struct Reader<'a, 'f> {
    fields: Fields<'a>,
    faults: &'f mut Vec<Fault>,
}

impl<'a, 'f> Reader<'a, 'f> {
    fn open(node: &'a Node, known: &[&str], faults: &'f mut Vec<Fault>) -> Self {
        Self {
            fields: Fields::open(node, known, faults),
            faults,
        }
    }

    fn amount(&mut self, name: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let node = self.fields.require(name, self.faults)?;
        number(node, name, &range, self.faults)
    }

    fn amount_or(&mut self, name: &str, range: RangeInclusive<f64>, usual: f64) -> Option<f64> {
        match self.fields.find(name) {
            Some(node) => number(node, name, &range, self.faults),
            None => Some(usual),
        }
    }

    fn count(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<usize> {
        let node = self.fields.require(name, self.faults)?;
        let found = read::number(node, range, self.faults)?;
        usize::try_from(found).ok()
    }

    fn count_or(&mut self, name: &str, range: RangeInclusive<u64>, usual: usize) -> Option<usize> {
        if self.fields.find(name).is_none() {
            return Some(usual);
        }
        self.count(name, range)
    }

    fn seconds(&mut self, name: &str) -> Option<Duration> {
        self.amount(name, 0.0..=LONGEST)
            .map(Duration::from_secs_f64)
    }

    fn millis(&mut self, name: &str) -> Option<Duration> {
        let millis = self.amount(name, 0.0..=LONGEST * 1000.0)?;
        Some(Duration::from_secs_f64(millis / 1000.0))
    }

    fn name(&mut self, name: &str) -> Option<Arc<str>> {
        let node = self.fields.require(name, self.faults)?;
        read::name(node, self.faults).cloned()
    }

    /// Place in `names` of what a field names.
    fn place(&mut self, name: &str, names: &[Arc<str>]) -> Option<usize> {
        let node = self.fields.require(name, self.faults)?;
        place(node, names, self.faults)
    }

    #[allow(
        clippy::option_option,
        reason = "none inside: no such field; none outside: it has a fault"
    )]
    fn place_or_none(&mut self, name: &str, names: &[Arc<str>]) -> Option<Option<usize>> {
        match self.fields.find(name) {
            Some(_) => self.place(name, names).map(Some),
            None => Some(None),
        }
    }
}

fn number(
    node: &Node,
    name: &str,
    range: &RangeInclusive<f64>,
    faults: &mut Vec<Fault>,
) -> Option<f64> {
    let found = match &node.value {
        Value::Number(text) => text.parse::<f64>().ok(),
        _ => None,
    };
    let found = found.filter(|n| range.contains(n));
    if found.is_none() {
        let (least, most) = (range.start(), range.end());
        let message = format!("\"{name}\" is {} out of range", node.value.kind());
        let remedy = format!("use a number from {least} to {most}");
        faults.push(Fault::new(&node.place, Sort::OutOfRange, message, remedy));
    }
    found
}

fn place(node: &Node, names: &[Arc<str>], faults: &mut Vec<Fault>) -> Option<usize> {
    let name = read::name(node, faults)?;
    let found = names.iter().position(|n| n == name);
    if found.is_none() {
        let message = format!("nothing is called \"{name}\" here");
        let remedy = nearest::remedy(name, names.iter().map(|n| &**n));
        faults.push(Fault::new(&node.place, Sort::Unknown, message, remedy));
    }
    found
}

/// Reads each item of a list; one that has faults is left out.
fn list<T>(
    fields: &Fields<'_>,
    name: &str,
    faults: &mut Vec<Fault>,
    mut item: impl FnMut(&Node, &mut Vec<Fault>) -> Option<T>,
) -> Option<Vec<T>> {
    let node = fields.require(name, faults)?;
    let items = read::list(node, faults);
    let found: Vec<T> = items.iter().filter_map(|n| item(n, faults)).collect();
    (found.len() == items.len()).then_some(found)
}

/// Reads a whole plan.
pub fn plan(root: &Node, faults: &mut Vec<Fault>) -> Option<Plan> {
    let fields = Fields::open(root, &PLAN, faults);
    let span = Reader { fields, faults }.seconds("span_s");
    let domains = list(&fields, "domains", faults, domain)?;
    doubled(
        fields.find("domains"),
        domains.iter().map(|d| &d.name),
        faults,
    );
    let names: Vec<Arc<str>> = domains.iter().map(|d| Arc::clone(&d.name)).collect();
    let services = list(&fields, "services", faults, |n, f| service(n, &names, f))?;
    doubled(
        fields.find("services"),
        services.iter().map(|s| &s.name),
        faults,
    );
    let served: Vec<Arc<str>> = services.iter().map(|s| Arc::clone(&s.name)).collect();
    let kinds = list(&fields, "kinds", faults, |n, f| kind(n, &served, f));
    let callers = list(&fields, "callers", faults, |n, f| callers(n, &names, f));
    let mut regions: Vec<Arc<str>> = domains.iter().map(|d| Arc::clone(&d.region)).collect();
    regions.sort();
    regions.dedup();
    let troubles = list(&fields, "faults", faults, |n, f| {
        trouble(n, &names, &served, &regions, f)
    });
    let delays = fields
        .require("delays_ms", faults)
        .and_then(|n| delays(n, faults));
    let bounds = fields
        .require("bounds", faults)
        .and_then(|n| bounds(n, faults));
    let weights = fields
        .require("weights", faults)
        .and_then(|n| weights(n, faults));
    let (kinds, callers) = (kinds?, callers?);
    if domains.is_empty() || kinds.is_empty() || callers.is_empty() {
        let message = "there is no domain, no kind of request or no caller";
        let remedy = "name at least one of each";
        faults.push(Fault::new(&root.place, Sort::Missing, message, remedy));
    }
    Some(Plan {
        span: span?,
        domains,
        services,
        kinds,
        callers,
        delays: delays?,
        bounds: bounds?,
        weights: weights?,
        faults: troubles?,
    })
}

fn doubled<'a>(
    node: Option<&Node>,
    names: impl Iterator<Item = &'a Arc<str>>,
    faults: &mut Vec<Fault>,
) {
    let mut names: Vec<&Arc<str>> = names.collect();
    names.sort();
    for pair in names.windows(2).filter(|p| p[0] == p[1]) {
        if let Some(node) = node {
            let message = format!("\"{}\" stands twice", pair[0]);
            faults.push(Fault::new(
                &node.place,
                Sort::Duplicate,
                message,
                "rename one of them",
            ));
        }
    }
}

fn domain(node: &Node, faults: &mut Vec<Fault>) -> Option<Domain> {
    let mut r = Reader::open(node, &["name", "region", "instances"], faults);
    let (name, region) = (r.name("name"), r.name("region"));
    let instances = r.count("instances", 0..=1000);
    Some(Domain {
        name: name?,
        region: region?,
        instances: instances?,
    })
}

fn service(node: &Node, domains: &[Arc<str>], faults: &mut Vec<Fault>) -> Option<Service> {
    let known = [
        "name",
        "targets",
        "slots",
        "queue",
        "keeps",
        "cold_s",
        "cold_x",
        "cold_rate",
        "knee",
        "knee_x",
    ];
    let mut r = Reader::open(node, &known, faults);
    let name = r.name("name");
    let slots = r.count("slots", 1..=10_000);
    let queue = r.count("queue", 0..=100_000);
    let keeps = r.count("keeps", 0..=1_000_000);
    let cold = r.seconds("cold_s");
    let cold_x = r.amount("cold_x", 1.0..=100.0);
    let cold_rate = r.amount("cold_rate", AMOUNT);
    let knee = r.amount_or("knee", SHARE, 1.0);
    let knee_x = r.amount_or("knee_x", 1.0..=100.0, 1.0);
    let at = r.fields.require("targets", faults)?;
    let mut targets = vec![0; domains.len()];
    for field in read::object(at, faults) {
        let count = read::number(&field.node, 0..=10_000, faults);
        let name = Node {
            place: field.place.clone(),
            value: Value::Text(Arc::clone(&field.name)),
        };
        if let (Some(at), Some(count)) = (place(&name, domains, faults), count) {
            targets[at] = usize::try_from(count).unwrap_or_default();
        }
    }
    Some(Service {
        name: name?,
        targets,
        slots: slots?,
        queue: queue?,
        keeps: keeps?,
        cold: cold?,
        cold_x: cold_x?,
        cold_rate: cold_rate?,
        knee: knee?,
        knee_x: knee_x?,
    })
}

fn kind(node: &Node, services: &[Arc<str>], faults: &mut Vec<Fault>) -> Option<Kind> {
    let known = [
        "name",
        "service",
        "part",
        "idempotent",
        "goal_ms",
        "limit_ms",
        "timeout_ms",
        "worth",
        "late",
        "priority",
        "attempts",
        "retries",
        "work_ms",
        "spread",
        "gain",
        "objects",
        "skew",
        "ahead",
    ];
    let mut r = Reader::open(node, &known, faults);
    let name = r.name("name");
    let service = r.place("service", services);
    let part = r.amount("part", AMOUNT);
    let goal = r.millis("goal_ms");
    let limit = r.millis("limit_ms");
    let timeout = r.millis("timeout_ms");
    let worth = r.amount("worth", AMOUNT);
    let late = r.amount("late", AMOUNT);
    let priority = r.count("priority", 0..=100);
    let attempts = r.count_or("attempts", 1..=10, 2);
    let retries = r.count_or("retries", 0..=10, 1);
    let work = r.millis("work_ms");
    let spread = r.amount_or("spread", 0.0..=3.0, 0.15);
    let gain = r.amount_or("gain", 0.0..=0.99, 0.0);
    let objects = r.count_or("objects", 1..=1_000_000, 1);
    let skew = r.amount_or("skew", 0.0..=5.0, 0.0);
    let ahead = r.count_or("ahead", 1..=64, 1);
    let flag = r.fields.require("idempotent", faults);
    let idempotent = flag.and_then(|n| read::flag(n, faults));
    Some(Kind {
        name: name?,
        service: service?,
        part: part?,
        idempotent: idempotent?,
        goal: goal?,
        limit: limit?,
        timeout: timeout?,
        worth: worth?,
        late: late?,
        priority: u32::try_from(priority?).unwrap_or_default(),
        attempts: attempts?,
        retries: u32::try_from(retries?).unwrap_or_default(),
        work: work?,
        spread: spread?,
        gain: gain?,
        objects: objects?,
        skew: skew?,
        ahead: ahead?,
    })
}

fn callers(node: &Node, domains: &[Arc<str>], faults: &mut Vec<Fault>) -> Option<Callers> {
    let known = ["domain", "rate", "swing", "period_s", "phase"];
    let mut r = Reader::open(node, &known, faults);
    let domain = r.place("domain", domains);
    let rate = r.amount("rate", AMOUNT);
    let swing = r.amount_or("swing", SHARE, 0.0);
    let period = r.amount_or("period_s", 0.1..=LONGEST, 60.0);
    let phase = r.amount_or("phase", SHARE, 0.0);
    Some(Callers {
        domain: domain?,
        rate: rate?,
        swing: swing?,
        period: Duration::from_secs_f64(period?),
        phase: phase?,
    })
}

fn delays(node: &Node, faults: &mut Vec<Fault>) -> Option<Delays> {
    let mut r = Reader::open(
        node,
        &["domain", "region", "far", "caller", "store"],
        faults,
    );
    let names = ["domain", "region", "far", "caller", "store"];
    let [domain, region, far, caller, store] = names.map(|name| r.millis(name));
    Some(Delays {
        domain: domain?,
        region: region?,
        far: far?,
        caller: caller?,
        store: store?,
    })
}

fn bounds(node: &Node, faults: &mut Vec<Fault>) -> Option<Bounds> {
    let known = [
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "cold_factor",
        "cold_slack",
        "shift",
    ];
    let mut r = Reader::open(node, &known, faults);
    let ratio = r.amount("retry_ratio", AMOUNT);
    let slack = r.amount("retry_slack", AMOUNT);
    let window = r.seconds("retry_window_s");
    let factor = r.amount("cold_factor", AMOUNT);
    let cold = r.amount("cold_slack", AMOUNT);
    let shift = r.amount("shift", SHARE);
    Some(Bounds {
        retries: Rule {
            ratio: ratio?,
            slack: slack?,
            window: window?,
        },
        cold_factor: factor?,
        cold_slack: cold?,
        limit: limit::Rule::default(),
        drain: Duration::from_millis(2_500),
        backoff_max: Duration::from_mins(1),
        shift_max: shift?,
        evacuation: None,
        access: access::Bounds::default(),
        quota: quota::Rule::default(),
    })
}

fn weights(node: &Node, faults: &mut Vec<Fault>) -> Option<Weights> {
    let names = ["whole", "domain", "served", "windows", "kind", "prices"];
    let mut r = Reader::open(node, &names, faults);
    let [whole, domain, served, windows, kind, prices] = names.map(|name| r.amount(name, SHARE));
    Some(Weights {
        whole: whole?,
        domain: domain?,
        served: served?,
        windows: windows?,
        kind: kind?,
        prices: prices?,
    })
}

const TROUBLES: [&str; 18] = [
    "burst", "shift", "again", "leave", "crash", "slow", "shed", "backoff", "announce", "fail",
    "lose", "replace", "cold", "kill", "unlink", "cut", "store", "evacuate",
];

fn trouble(
    node: &Node,
    domains: &[Arc<str>],
    services: &[Arc<str>],
    regions: &[Arc<str>],
    faults: &mut Vec<Fault>,
) -> Option<Trouble> {
    let known = [
        "what", "at_s", "for_s", "share", "x", "domain", "to", "service", "region", "one_way",
    ];
    let mut r = Reader::open(node, &known, faults);
    let kinds: Vec<Arc<str>> = TROUBLES.iter().map(|t| Arc::from(*t)).collect();
    let what = r.place("what", &kinds);
    let at = r.seconds("at_s");
    let span = r.amount_or("for_s", 0.0..=LONGEST, 0.0);
    let share = r.amount_or("share", SHARE, 1.0)?;
    let x = r.amount_or("x", AMOUNT, 1.0)?;
    let domain = r.place_or_none("domain", domains)?;
    let service = r.place_or_none("service", services)?;
    let part = Part {
        share,
        service,
        domain,
    };
    let what = match TROUBLES[what?] {
        "burst" => What::Burst { x, domain },
        "shift" => What::Shift {
            share,
            from: r.place("domain", domains)?,
            to: r.place("to", domains)?,
        },
        "again" => What::Again { share, x },
        "leave" => What::Leave { share },
        "crash" => What::Crash(part),
        "slow" => What::Slow(part, x),
        "shed" => What::Shed(part, x),
        "backoff" => What::Backoff(part, x),
        "announce" => What::Announce(part),
        "fail" => What::Fail(part, x),
        "lose" => What::Lose(part, x),
        "replace" => What::Replace(part),
        "cold" => What::Cold(part),
        "kill" => What::Kill { share, domain },
        "unlink" => What::Unlink { share, domain },
        "cut" => What::Cut {
            region: Arc::clone(&regions[r.place("region", regions)?]),
            one_way: match r.fields.find("one_way") {
                Some(node) => read::flag(node, faults)?,
                None => false,
            },
        },
        "store" => What::Store,
        _ => What::Evacuate {
            domain: r.place("domain", domains)?,
        },
    };
    Some(Trouble {
        at: at?,
        span: Duration::from_secs_f64(span?),
        what,
    })
}
