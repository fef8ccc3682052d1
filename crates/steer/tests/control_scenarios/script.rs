//! Directives of the scenario files.

use core::time::Duration;
use std::sync::Arc;

use datadriven::TestCase;
use steer::process::config::{File, Head};
use steer::process::control::apply::{self, Apply, Base, Expect, Outcome, Step};
use steer::process::control::store::StoredHead;
use steer::process::control::{Event, MemberStatus, Safeguards};
use steer::version::view::Version;

use crate::fleet::{self, Fleet, Layout, Place};

/// Disables the safeguard of this name.
pub fn disable_safeguard(name: &str, guards: &mut Safeguards, apply: &mut apply::Guards) {
    let switch = match name {
        "monotonic" => &mut guards.monotonic,
        "stamps" => &mut guards.stamps,
        "doubt" => &mut guards.doubt,
        "reread" => &mut guards.reread,
        "pull" => &mut guards.pull,
        "confirm" => &mut guards.confirm,
        "introduce" => &mut guards.introduce,
        "quarantine" => &mut guards.slot.quarantine,
        "transfer" => &mut guards.slot.transfer,
        "hold" => &mut guards.slot.confirm,
        "transition" => &mut guards.slot.transition,
        "compare" => &mut apply.compare,
        "readback" => &mut apply.readback,
        "fence" => &mut apply.fence,
        _ => panic!("no safeguard {name}"),
    };
    *switch = false;
}

/// Fault of an operator's write of the head.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The write takes effect, but its answer is lost.
    LostAfter,
    /// The write is lost.
    LostBefore,
    /// The write takes effect, and the store becomes unavailable.
    StoreLost,
    /// The write takes effect a few seconds later, after its answer timed out.
    Delayed,
}

struct Plan {
    id: Arc<str>,
    apply: Apply,
    expect: u64,
}

/// A run of one scenario file.
pub struct Script {
    guards: Safeguards,
    apply: apply::Guards,
    fleet: Option<Fleet>,
    plans: Vec<Plan>,
}

impl Script {
    /// A run with these safeguards.
    pub fn new(guards: Safeguards, apply: apply::Guards) -> Self {
        Self {
            guards,
            apply,
            fleet: None,
            plans: Vec::new(),
        }
    }

    /// Executes one directive and returns its output.
    pub fn step(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "safeguard" => String::new(),
            "fleet" => self.layout(case),
            "run" => {
                let millis = number(case, "ms");
                self.fleet().run(Duration::from_millis(millis));
                String::new()
            }
            "plan" => self.plan(case),
            "commit" => self.commit(case),
            "cut" | "heal" => self.cut(case),
            "store" => self.store(case),
            "process" => self.process(case),
            "versions" => self.versions(),
            "standing" => self.statuses(),
            "members" => self.members(&text(case, "of")),
            "shares" => self.shares(),
            "files" => self.files(&text(case, "of")),
            "stamps" => self.stamps(&text(case, "of"), &text(case, "about")),
            "dropped" => {
                let nodes = self.fleet().nodes.iter();
                let dropped: u64 = nodes.map(|n| n.control.counters().dropped).sum();
                format!("{dropped}\n")
            }
            "notices" => self.notices(&text(case, "of")),
            other => panic!("no directive {other}"),
        }
    }

    fn fleet(&mut self) -> &mut Fleet {
        self.fleet.as_mut().expect("`fleet` comes first")
    }

    fn layout(&mut self, case: &TestCase) -> String {
        let domains = usize::try_from(number(case, "domains")).expect("small");
        let nodes = usize::try_from(number(case, "nodes")).expect("small");
        let seed = number_or(case, "seed", 1);
        let layout = Layout {
            domains,
            nodes,
            per_region: 2,
            loss: f64::from(u32::try_from(number_or(case, "loss", 0)).expect("percent")) / 100.0,
            seed,
            guards: self.guards,
            lag: Duration::from_secs(10),
        };
        self.fleet = Some(Fleet::new(layout));
        format!("seed {seed}\n")
    }

    /// `plan id=a file=(base,text) force=N`: an operator's change, made from
    /// the present head.
    fn plan(&mut self, case: &TestCase) -> String {
        let id: Arc<str> = text(case, "id").into();
        let stored = self.fleet().store.stored.clone();
        let old = stored.as_ref().map(|s| s.head.files.clone());
        let mut files = old.unwrap_or_default();
        let mut bodies = Vec::new();
        for pair in case.args["file"].chunks(2) {
            let [name, content] = pair else {
                panic!("a name and a content for each file");
            };
            let body = fleet::body(content);
            files.retain(|f| *f.name != **name);
            files.push(File {
                name: name.as_str().into(),
                hash: body.hash,
            });
            bodies.push(body);
        }
        files.sort();
        let expect = stored.as_ref().map_or(0, |s| s.revision);
        let force = Version(number_or(case, "force", 0));
        let base = Base { stored, force };
        let apply = Apply::new(Arc::clone(&id), base, files, bodies).with_guards(self.apply);
        self.plans.push(Plan { id, apply, expect });
        String::new()
    }

    /// `commit id=a fault=after from=d0`: runs the change to its verdict.
    fn commit(&mut self, case: &TestCase) -> String {
        let id = text(case, "id");
        let fault = match text_or(case, "fault", "none").as_str() {
            "none" => Fault::None,
            "after" => Fault::LostAfter,
            "before" => Fault::LostBefore,
            "linger" => Fault::Delayed,
            "vanish" => Fault::StoreLost,
            other => panic!("no fault {other}"),
        };
        let place = match text_or(case, "from", "store").as_str() {
            "store" => Place::Store,
            domain => place(self.fleet(), domain),
        };
        let at = self.plans.iter().position(|p| *p.id == *id);
        let mut plan = self.plans.remove(at.expect("planned before"));
        let mut fault = fault;
        let mut step = plan.apply.start();
        loop {
            let fleet = self.fleet();
            let is_reachable = !fleet.store.is_down && fleet.is_connected(place, Place::Store);
            let outcome = match step {
                Step::Done(verdict) => return format!("{verdict}\n"),
                _ if !is_reachable => {
                    fleet.run(Duration::from_secs(1));
                    Outcome::Lost
                }
                Step::PutBody(body) => {
                    fleet.put_body(body);
                    Outcome::Written
                }
                Step::ReadHead => Outcome::Read(fleet.store.stored.clone()),
                Step::PutHead { head, expect } => {
                    let fault = core::mem::replace(&mut fault, Fault::None);
                    put_head(fleet, &head, expect, fault, plan.expect)
                }
            };
            step = plan.apply.next(outcome);
        }
    }

    fn cut(&mut self, case: &TestCase) -> String {
        let fleet = self.fleet();
        let pair = (
            place(fleet, &text(case, "a")),
            place(fleet, &text(case, "b")),
        );
        if case.directive == "cut" {
            fleet.cuts.push(pair);
        } else {
            fleet.cuts.retain(|cut| *cut != pair);
        }
        String::new()
    }

    /// `store do=away|up`, `do=reset version=N`, `do=stale version=N`;
    /// `do=restore version=N` writes the present head anew as version N.
    fn store(&mut self, case: &TestCase) -> String {
        let version = Version(number_or(case, "version", 0));
        let fleet = self.fleet();
        let past = fleet.store.past.iter().find(|s| s.head.version == version);
        let past = past.cloned();
        match text(case, "do").as_str() {
            "away" => fleet.set_store_down(true),
            "up" => fleet.set_store_down(false),
            "reset" => fleet.store.stored = past,
            "stale" => fleet.stale_event(&past.expect("a past version")),
            "restore" => {
                let past = fleet.store.stored.clone().expect("a head");
                let mut head = Head::clone(&past.head);
                head.version = version;
                head.recent[0].version = version;
                fleet.write(&Arc::new(head), None).expect("no condition");
            }
            other => panic!("no such thing as {other}"),
        }
        String::new()
    }

    /// `process do=kill|stop|leave|freeze|thaw|resume|thaw-old|start of=d0-0`,
    /// with `wall=N` for a start.
    fn process(&mut self, case: &TestCase) -> String {
        let name = text(case, "of");
        let wall = case.args.get("wall").map(|_| number(case, "wall"));
        let fleet = self.fleet();
        let slot = fleet.slot(&name);
        let at = fleet.slots[slot];
        match text(case, "do").as_str() {
            "kill" => fleet.kill(at),
            "stop" => fleet.stop(at),
            "leave" => fleet.feed(at, Event::Leave),
            "freeze" => fleet.freeze(at),
            "thaw" => fleet.thaw(at),
            "resume" => fleet.resume(at),
            // Resumes the previous process of that name, after it was replaced.
            "thaw-old" => {
                let old = (0..at).rev().find(|&i| fleet.nodes[i].slot == slot);
                fleet.thaw(old.expect("a predecessor"));
            }
            "start" => {
                fleet.start(slot, wall);
            }
            other => panic!("no such thing as {other}"),
        }
        String::new()
    }

    /// Versions in force at live processes, and the processes whose version
    /// ever went back. `!` marks processes that aren't ready.
    fn versions(&mut self) -> String {
        let fleet = self.fleet();
        let mut rows = Vec::new();
        let mut rolled_back = Vec::new();
        for (at, node) in fleet.nodes.iter().enumerate() {
            let mark = if fleet.slots[node.slot] == at {
                ""
            } else {
                "'"
            };
            let name = format!("{}{mark}", fleet.name(node.slot));
            if node.installs.windows(2).any(|w| w[1].1 < w[0].1) {
                rolled_back.push(name.clone());
            }
            if node.is_alive && !node.is_frozen {
                let ready = if node.control.is_ready() { "" } else { "!" };
                let version = node.control.version();
                rows.push((version, format!("{ready}{name}")));
            }
        }
        let mut out = grouped(rows);
        if !rolled_back.is_empty() {
            out = format!("{out}went back: {}\n", rolled_back.join(" "));
        }
        out
    }

    /// Status of live processes. `name'` is a process whose name was taken
    /// over.
    fn statuses(&mut self) -> String {
        let fleet = self.fleet();
        let live = fleet.nodes.iter().enumerate().filter(|(_, n)| n.is_alive);
        let rows = live.map(|(at, node)| {
            let mark = if fleet.slots[node.slot] == at {
                ""
            } else {
                "'"
            };
            let status = match node.control.status() {
                _ if node.is_frozen => "frozen",
                MemberStatus::Current => "current",
                other => other.as_str(),
            };
            (status, format!("{}{mark}", fleet.name(node.slot)))
        });
        grouped(rows.collect())
    }

    fn members(&mut self, name: &str) -> String {
        let node = self.fleet().node(name);
        let shown = node.snapshot.as_ref().expect("published");
        let rows = shown.members.iter().map(|seen| {
            let lifecycle = seen.record.lifecycle.as_str();
            (lifecycle, seen.record.identity.name.to_string())
        });
        grouped(rows.collect())
    }

    /// Shares of live processes and their sum, as a fraction of the cap.
    fn shares(&mut self) -> String {
        let fleet = self.fleet();
        let mut rows = Vec::new();
        let mut sum = 0.0;
        for (at, node) in fleet.nodes.iter().enumerate() {
            let Some(shown) = node
                .snapshot
                .as_ref()
                .filter(|_| node.is_alive && !node.is_frozen)
            else {
                continue;
            };
            let mark = if fleet.slots[node.slot] == at {
                ""
            } else {
                "'"
            };
            sum += shown.share.divisor.map_or(0.0, |p| 1.0 / f64::from(p));
            rows.push((
                shown.share.to_string(),
                format!("{}{mark}", fleet.name(node.slot)),
            ));
        }
        format!("{}sum {sum:.2}\n", grouped(rows))
    }

    /// Files of the version in force at a process.
    fn files(&mut self, name: &str) -> String {
        let fleet = self.fleet();
        let files = fleet.node(name).control.head().map(|h| h.files.clone());
        let text = |file: &File| {
            let content = fleet.content(file.hash);
            format!("{}: {content}\n", file.name)
        };
        files.unwrap_or_default().iter().map(text).collect()
    }

    /// Number of the process, among those of the name `about`, whose record the
    /// process `name` has.
    fn stamps(&mut self, name: &str, about: &str) -> String {
        let fleet = self.fleet();
        let slot = fleet.slot(about);
        let (domain, _) = about.split_once('-').expect("domain and number");
        let row = fleet.node(name).control.table().get(domain, about);
        let row = row.expect("a row");
        let mut processes = fleet.nodes.iter().filter(|n| n.slot == slot);
        let incarnation = row.record.stamp.incarnation;
        let at = processes.position(|n| n.control.record().stamp.incarnation == incarnation);
        let lifecycle = row.record.lifecycle.as_str();
        format!(
            "process {} of {about}: {lifecycle}\n",
            at.expect("known") + 1
        )
    }

    fn notices(&mut self, name: &str) -> String {
        let node = self.fleet().node(name);
        let lines = node
            .notices
            .iter()
            .map(|(_, notice)| format!("{notice:?}\n"));
        lines.collect()
    }
}

fn put_head(
    fleet: &mut Fleet,
    head: &Arc<Head>,
    expect: Expect,
    fault: Fault,
    base: u64,
) -> Outcome {
    let expect = match expect {
        Expect::Any => None,
        Expect::Absent => Some(0),
        Expect::Revision(revision) => Some(revision),
    };
    match fault {
        Fault::LostBefore => return Outcome::Lost,
        Fault::Delayed => {
            fleet.delay_write(head, base, Duration::from_secs(3));
            return Outcome::Lost;
        }
        Fault::StoreLost => {
            let _lost: Result<(), Option<StoredHead>> = fleet.write(head, expect);
            fleet.set_store_down(true);
            return Outcome::Lost;
        }
        Fault::None | Fault::LostAfter => {}
    }
    let written: Result<(), Option<StoredHead>> = fleet.write(head, expect);
    match written {
        _ if fault == Fault::LostAfter => Outcome::Lost,
        Ok(()) => Outcome::Written,
        Err(stored) => Outcome::Conflict(stored),
    }
}

/// Formats rows as `value: name name`, with the highest value first.
fn grouped<V: Ord + ToString>(mut rows: Vec<(V, String)>) -> String {
    rows.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    let groups = rows.chunk_by(|a, b| a.0 == b.0);
    let line = |group: &[(V, String)]| {
        let names: Vec<&str> = group.iter().map(|(_, name)| name.as_str()).collect();
        format!("{}: {}\n", group[0].0.to_string(), names.join(" "))
    };
    groups.map(line).collect()
}

fn place(fleet: &Fleet, name: &str) -> Place {
    if name.contains('-') {
        return Place::Slot(fleet.slot(name));
    }
    match name.strip_prefix('d') {
        Some(number) => Place::Domain(number.parse().expect("a domain's number")),
        None => Place::Store,
    }
}

fn text(case: &TestCase, arg: &str) -> String {
    let args = case.args.get(arg);
    let args = args.unwrap_or_else(|| panic!("{} lacks {arg}", case.directive));
    args[0].clone()
}

fn text_or(case: &TestCase, arg: &str, other: &str) -> String {
    case.args.get(arg).map_or(other, |a| &a[0]).to_owned()
}

fn number(case: &TestCase, arg: &str) -> u64 {
    text(case, arg).parse().expect("a number")
}

fn number_or(case: &TestCase, arg: &str, other: u64) -> u64 {
    case.args.get(arg).map_or(other, |_| number(case, arg))
}
