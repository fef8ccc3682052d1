//! Several processes, the network between them, targets that count runs, and a
//! store.
//!
//! Invariant: a process's decisions change only through [`World::step`]. What a
//! process decided lies in its outbox until a step carries it out, so that a
//! freeze can fall between any two of claim, send, answer and record.

mod message;
mod perform;
mod step;

use std::collections::VecDeque;
use std::sync::Arc;

use steer::clock;
use steer::process::{gate, traffic};
use steer::request::{arrival, key, outcome, record};
use steer::version::view;

use crate::scene;

pub use message::{HopKind, Kind, Message, Payload, Sender};
pub use step::{Loss, Span, Step};

/// Which keys a caller's requests carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From a look-up at this process.
    Issued(usize),
    /// The same, without a witness.
    Unwitnessed(usize),
    /// The caller's own choice.
    Chosen,
}

/// A request that a caller means to send: one copy of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Index of the key.
    pub key: usize,
    /// Zero, or one for a request with another body under the same key.
    pub body: u32,
    /// Process it is sent to.
    pub to: usize,
}

/// A key and what became of it.
pub struct KeyCase {
    source: Source,
    text: Option<Arc<str>>,
    /// Bodies that targets ran.
    pub runs: Vec<u32>,
    /// Copies that were told "not run".
    pub not_run: u32,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// A target's answer to this key and body.
    Answer(Payload),
    /// A refusal with this outcome.
    Refused(outcome::Outcome),
}

/// A copy that was sent.
pub struct Sent {
    /// What it is.
    pub plan: Plan,
    /// The process that took it.
    pub at: view::Incarnation,
    /// Whether its caller hung up.
    pub hung: bool,
    /// All answers it got.
    pub said: Vec<Said>,
}

struct Request {
    id: arrival::RequestId,
    payload: Payload,
    from: Sender,
}

struct Process {
    incarnation: view::Incarnation,
    /// `None` once killed.
    traffic: Option<traffic::Traffic>,
    now: clock::Time,
    frozen: bool,
    outbox: VecDeque<traffic::Action>,
    requests: Vec<Request>,
    asked: Vec<(record::QuestionId, Sender)>,
    issued: Option<key::Prefix>,
    next: u64,
}

/// The explored system.
pub struct World {
    limits: gate::Limits,
    safe: gate::Safeguards,
    processes: Vec<Process>,
    net: Vec<Message>,
    store: Vec<(Arc<str>, record::Claim)>,
    /// Keys in use.
    pub keys: Vec<KeyCase>,
    /// Copies not yet sent, in the order in which they are by default.
    pub plans: VecDeque<Plan>,
    /// Copies sent.
    pub sent: Vec<Sent>,
    /// What happened, one line a step.
    pub trace: Vec<String>,
    /// The process that acted last.
    acting: usize,
    serial: u32,
    starts: u64,
}

impl World {
    /// `count` processes that know each other, with witnesses chosen; nothing
    /// sent yet.
    #[must_use]
    pub fn new(
        count: usize,
        bounds: (gate::Limits, gate::Safeguards),
        sources: &[Source],
        plans: &[Plan],
    ) -> Self {
        let (limits, safe) = bounds;
        let key = |&source: &Source| KeyCase {
            source,
            text: None,
            runs: Vec::new(),
            not_run: 0,
        };
        let mut world = Self {
            limits,
            safe,
            processes: Vec::new(),
            net: Vec::new(),
            store: Vec::new(),
            keys: sources.iter().map(key).collect(),
            plans: VecDeque::new(),
            sent: Vec::new(),
            trace: Vec::new(),
            acting: 0,
            serial: 0,
            starts: 0,
        };
        for index in 0..count {
            let process = world.start(index);
            world.processes.push(process);
        }
        world.boot();
        world.plans.extend(plans);
        world
    }

    /// Gives every process its first view and lets all probes be answered.
    fn boot(&mut self) {
        for index in 0..self.processes.len() {
            self.refresh(index);
            self.feed(index, traffic::Event::Tick);
        }
        self.quiesce();
        self.trace.clear();
    }

    fn start(&mut self, index: usize) -> Process {
        self.starts += 1;
        // Far apart, so that no arithmetic relates two incarnations.
        let incarnation = view::Incarnation(self.starts.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let rng = fastrand::Rng::with_seed(self.starts);
        Process {
            incarnation,
            traffic: Some(traffic::Traffic::with_safeguards(
                scene::identity(index),
                incarnation,
                self.limits,
                self.safe,
                rng,
            )),
            now: clock::Time::ZERO,
            frozen: false,
            outbox: VecDeque::new(),
            requests: Vec::new(),
            asked: Vec::new(),
            issued: None,
            next: 0,
        }
    }

    /// Tells a process which processes are alive now.
    fn refresh(&mut self, index: usize) {
        let alive: Vec<_> = self
            .processes
            .iter()
            .enumerate()
            .filter(|(_, p)| p.traffic.is_some())
            .map(|(i, p)| (i, p.incarnation))
            .collect();
        let view = scene::view(self.processes.len(), &alive);
        self.feed(index, traffic::Event::View(view));
    }

    /// Hands a process an event; what it decides goes to its outbox.
    fn feed(&mut self, index: usize, event: traffic::Event) {
        let process = &mut self.processes[index];
        let Some(traffic) = &mut process.traffic else {
            return;
        };
        let mut out = Vec::new();
        traffic.handle(process.now, event, &mut out);
        process.outbox.extend(out);
    }

    /// Lets the callers look all keys up, before anything is sent.
    pub fn look_up(&mut self) {
        for key in 0..self.keys.len() {
            self.key_text(key);
        }
    }

    /// Hands a process a request.
    fn arrive(&mut self, index: usize, payload: Payload, from: Sender, origin: arrival::Origin) {
        let Some(text) = self.key_text(payload.key) else {
            return;
        };
        let process = &mut self.processes[index];
        process.next += 1;
        let id = arrival::RequestId(process.next);
        process.requests.push(Request { id, payload, from });
        let arrival = arrival::Arrival {
            id,
            service: scene::SERVICE.into(),
            caller: "caller".into(),
            key: Some(text),
            fingerprint: arrival::Fingerprint(u128::from(payload.body) << 64 | payload.key as u128),
            deadline: Some(scene::DEADLINE),
            bytes: 100,
            origin,
            caller_region: None,
            peer_region: None,
        };
        self.feed(index, traffic::Event::Arrive(arrival));
    }

    /// The key's text; an issued key is made at its first use from the prefix
    /// that its owner published last. `None` if that owner can't serve.
    fn key_text(&mut self, key: usize) -> Option<Arc<str>> {
        if let Some(text) = &self.keys[key].text {
            return Some(Arc::clone(text));
        }
        let text: Arc<str> = match self.keys[key].source {
            Source::Chosen => format!("caller-chosen-key-{key}").into(),
            Source::Issued(index) => {
                let prefix = self.processes[index].issued?;
                format!("{prefix}nonce-of-sixteen-{key}").into()
            }
            Source::Unwitnessed(index) => {
                let prefix = key::Prefix {
                    witness: None,
                    ..self.processes[index].issued?
                };
                format!("{prefix}nonce-of-sixteen-{key}").into()
            }
        };
        self.keys[key].text = Some(Arc::clone(&text));
        Some(text)
    }

    /// A message under way, by its serial number.
    #[must_use]
    pub fn message(&self, serial: u32) -> Option<&Message> {
        self.net.iter().find(|m| m.serial == serial)
    }

    /// Incarnation of a process, dead or alive.
    #[must_use]
    pub fn incarnation(&self, index: usize) -> view::Incarnation {
        self.processes[index].incarnation
    }

    /// Whether the process of this incarnation is alive.
    #[must_use]
    pub fn lives(&self, incarnation: view::Incarnation) -> bool {
        let found = |p: &&Process| p.incarnation == incarnation;
        let process = self.processes.iter().find(found);
        process.is_some_and(|p| p.traffic.is_some())
    }

    /// Whether every living process has nothing in flight.
    #[must_use]
    pub fn drained(&self) -> bool {
        let mut living = self.processes.iter().filter_map(|p| p.traffic.as_ref());
        living.all(traffic::Traffic::is_drained)
    }

    /// Copies that got a target's answer, "not run", "unknown".
    #[must_use]
    pub fn tally(&self) -> [usize; 3] {
        let mut tally = [0; 3];
        for said in self.sent.iter().flat_map(|s| &s.said) {
            let at = match said {
                Said::Answer(_) | Said::Refused(outcome::Outcome::Ran) => 0,
                Said::Refused(outcome::Outcome::NotRun) => 1,
                Said::Refused(outcome::Outcome::Unknown) => 2,
            };
            tally[at] += 1;
        }
        tally
    }
}
