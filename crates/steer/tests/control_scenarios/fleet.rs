//! Simulation of many control states in virtual time, joined by a simulated
//! network and a simulated store. The scenarios and the measurements of whole
//! fleets drive it.
//!
//! Messages cross as encoded bytes, so that their size is counted and no two
//! processes share memory.

mod store;

use core::cmp::Reverse;
use core::time::Duration;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use steer::clock::Time;
use steer::process::config::{Body, Hash, Head};
use steer::process::control::message::Message;
use steer::process::control::store::{Call, CallId, Reply};
use steer::process::control::{
    Action, Control, Event, Notice, Safeguards, Settings, Snapshot, TICK_INTERVAL_MAX,
};
use steer::process::member::hash;
use steer::process::member::{Hint, Identity};
use steer::version::view::{Incarnation, Version};

pub use store::Store;

/// Size of a fleet and properties of its network.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of entry instances, assigned to the domains round-robin.
    pub nodes: usize,
    /// Number of failure domains per region.
    pub per_region: usize,
    /// Fraction of the messages that are lost.
    pub loss: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Enabled safeguards.
    pub guards: Safeguards,
    /// Delay of the platform's list of instances.
    pub lag: Duration,
}

/// A process, alive or not.
pub struct Node {
    /// Index of its configured name.
    pub slot: usize,
    /// Index of its failure domain.
    pub domain: usize,
    /// Control state under test.
    pub control: Control,
    /// Whether the process runs.
    pub is_alive: bool,
    /// Whether the process is frozen; its events are kept meanwhile.
    pub is_frozen: bool,
    /// Virtual time of its last freeze.
    frozen_at: Time,
    waiting: Vec<Event>,
    /// Its own clock minus virtual time.
    offset: Duration,
    /// The last published snapshot.
    pub snapshot: Option<Snapshot>,
    /// Number of snapshots published.
    pub publications: u64,
    /// Reported notices, each with its virtual time.
    pub notices: Vec<(Time, Notice)>,
    /// Versions put in force, each with its virtual time.
    pub installs: Vec<(Time, Version)>,
    /// Payload bytes sent and received.
    pub bytes: [u64; 2],
    /// Messages sent and received.
    pub messages: [u64; 2],
}

enum Scheduled {
    Tick(usize),
    Deliver {
        to: usize,
        bytes: Arc<[u8]>,
    },
    Call {
        from: usize,
        id: CallId,
        call: Call,
    },
    Reply {
        to: usize,
        id: CallId,
        reply: Reply,
    },
    Expire {
        from: usize,
        id: CallId,
    },
    /// A delayed write reaches the store.
    Write {
        head: Arc<Head>,
        expect: u64,
    },
}

struct Entry {
    at: Time,
    order: u64,
    scheduled: Scheduled,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<core::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> core::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// An end of a network link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// A whole failure domain.
    Domain(usize),
    /// The process of one slot, apart from others of its domain.
    Slot(usize),
    /// The platform's store.
    Store,
}

/// A simulated fleet.
pub struct Fleet {
    /// Virtual time.
    pub now: Time,
    /// Processes in the order of their starts, including ended ones.
    pub nodes: Vec<Node>,
    /// Index into `nodes` of the present process of each configured name.
    pub slots: Vec<usize>,
    /// The simulated store.
    pub store: Store,
    /// Pairs of places that can't reach each other.
    pub cuts: Vec<(Place, Place)>,
    /// Real time spent in control, encoding and decoding.
    pub real_time: Duration,
    /// Whether real time is measured.
    pub is_timed: bool,
    layout: Layout,
    queue: BinaryHeap<Reverse<Entry>>,
    order: u64,
    rng: fastrand::Rng,
}

/// Time after which the driver answers a call that has no reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl Fleet {
    /// A fleet whose processes all start within one second.
    pub fn new(layout: Layout) -> Self {
        let rng = fastrand::Rng::with_seed(layout.seed);
        let mut fleet = Self {
            now: Time::ZERO,
            nodes: Vec::new(),
            slots: Vec::new(),
            store: Store::default(),
            cuts: Vec::new(),
            real_time: Duration::ZERO,
            is_timed: false,
            layout,
            queue: BinaryHeap::new(),
            order: 0,
            rng,
        };
        for slot in 0..fleet.layout.nodes {
            fleet.slots.push(0);
            fleet.start(slot, None);
        }
        fleet
    }

    /// Name of a slot: `d1-0` is the first of domain `d1`.
    pub fn name(&self, slot: usize) -> String {
        let domains = self.layout.domains;
        format!("d{}-{}", slot % domains, slot / domains)
    }

    /// Slot of a configured name.
    pub fn slot(&self, name: &str) -> usize {
        let mut slots = 0..self.layout.nodes;
        let found = slots.find(|&s| self.name(s) == name);
        found.unwrap_or_else(|| panic!("no instance {name}"))
    }

    /// Present process of a configured name.
    pub fn node(&self, name: &str) -> &Node {
        &self.nodes[self.slots[self.slot(name)]]
    }

    /// Starts a process under the name of a slot and returns its index. `wall`
    /// sets its wall clock, which is right otherwise.
    pub fn start(&mut self, slot: usize, wall: Option<u64>) -> usize {
        let at = self.nodes.len();
        let domain = slot % self.layout.domains;
        let identity = Identity {
            name: self.name(slot).into(),
            domain: format!("d{domain}").into(),
            addr: addr(at, 80),
            peer: addr(at, 90),
        };
        let lag = if self.now == Time::ZERO {
            Duration::ZERO
        } else {
            self.layout.lag
        };
        self.store.list.push(store::Listed {
            hint: Hint {
                name: Arc::clone(&identity.name),
                domain: Arc::clone(&identity.domain),
                peer: identity.peer,
            },
            from: self.now + lag,
            until: Time::from_micros(u64::MAX),
        });
        let offset = Duration::from_micros(self.rng.u64(100_000_000..1_000_000_000));
        let millis = self.now.as_micros() / 1000;
        let settings = Settings {
            identity,
            incarnation: Incarnation(self.rng.u64(..)),
            generation: wall.unwrap_or(1_000_000 + millis),
            seeds: Vec::new(),
            guards: self.layout.guards,
        };
        let rng = fastrand::Rng::with_seed(self.rng.u64(..));
        self.nodes.push(Node {
            slot,
            domain,
            control: Control::new(self.now + offset, settings, rng),
            is_alive: true,
            is_frozen: false,
            frozen_at: Time::ZERO,
            waiting: Vec::new(),
            offset,
            snapshot: None,
            publications: 0,
            notices: Vec::new(),
            installs: Vec::new(),
            bytes: [0; 2],
            messages: [0; 2],
        });
        self.slots[slot] = at;
        let spread = Duration::from_micros(self.rng.u64(..1_000_000));
        let first = if self.now == Time::ZERO {
            spread
        } else {
            Duration::ZERO
        };
        self.push(first, Scheduled::Tick(at));
        at
    }

    /// Ends a process at once; the platform's list follows after its delay.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].is_alive = false;
        self.store.watches.retain(|w| w.from != at);
        let peer = addr(at, 90);
        let until = self.now + self.layout.lag;
        for listed in &mut self.store.list {
            if listed.hint.peer == peer {
                listed.until = until;
            }
        }
    }

    /// Stops a process gracefully.
    pub fn stop(&mut self, at: usize) {
        self.feed(at, Event::Stop);
        self.kill(at);
    }

    /// Freezes a process: its clock goes on, and its events wait.
    pub fn freeze(&mut self, at: usize) {
        self.nodes[at].is_frozen = true;
        self.nodes[at].frozen_at = self.now;
    }

    /// Resumes a frozen process whose clock stood still as well.
    pub fn resume(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let span = self.now.since(node.frozen_at);
        node.offset = node.offset.saturating_sub(span);
        self.thaw(at);
    }

    /// Resumes a frozen process: the events that waited come first.
    pub fn thaw(&mut self, at: usize) {
        self.nodes[at].is_frozen = false;
        let waiting = core::mem::take(&mut self.nodes[at].waiting);
        for event in waiting {
            self.feed(at, event);
        }
        self.push(Duration::ZERO, Scheduled::Tick(at));
    }

    /// Advances virtual time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|Reverse(e)| e.at <= end) {
            let Some(Reverse(entry)) = self.queue.pop() else {
                break;
            };
            self.now = entry.at;
            self.process(entry.scheduled);
        }
        self.now = end;
    }

    /// Whether two places can reach each other.
    pub fn is_connected(&self, a: Place, b: Place) -> bool {
        !self.cuts.contains(&(a, b)) && !self.cuts.contains(&(b, a))
    }

    fn push(&mut self, after: Duration, scheduled: Scheduled) {
        self.order += 1;
        self.queue.push(Reverse(Entry {
            at: self.now + after,
            order: self.order,
            scheduled,
        }));
    }

    fn process(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Tick(at) => {
                let node = &self.nodes[at];
                if node.is_alive && !node.is_frozen {
                    self.feed(at, Event::Tick);
                    self.push(TICK_INTERVAL_MAX, Scheduled::Tick(at));
                }
            }
            Scheduled::Deliver { to, bytes } => self.deliver(to, &bytes),
            Scheduled::Call { from, id, call } => self.handle_call(from, id, &call),
            Scheduled::Reply { to, id, reply } => self.feed(to, Event::StoreReply { id, reply }),
            Scheduled::Expire { from, id } => self.expire(from, id),
            Scheduled::Write { head, expect } => {
                // The write is refused if the revision changed meanwhile.
                let _refused = self.write(&head, Some(expect));
            }
        }
    }

    fn deliver(&mut self, to: usize, bytes: &[u8]) {
        if !self.nodes[to].is_alive {
            return;
        }
        let clock = self.start_timer();
        let message = wire::heartbeat::Message::decode(bytes).expect("as encoded");
        let message = Message::try_from(message).expect("as made");
        self.add_time(clock);
        let node = &mut self.nodes[to];
        node.bytes[1] += bytes.len() as u64;
        node.messages[1] += 1;
        self.feed(to, Event::Received(message));
    }

    /// Delivers an event to a process, or keeps it while the process is frozen.
    pub fn feed(&mut self, at: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if !node.is_alive {
            return;
        }
        if node.is_frozen {
            return node.waiting.push(event);
        }
        let mut out = Vec::new();
        let clock = self.is_timed.then(std::time::Instant::now);
        node.control.handle(now + node.offset, event, &mut out);
        self.add_time(clock);
        for action in out {
            self.act(at, action);
        }
    }

    fn start_timer(&self) -> Option<std::time::Instant> {
        self.is_timed.then(std::time::Instant::now)
    }

    fn add_time(&mut self, clock: Option<std::time::Instant>) {
        if let Some(clock) = clock {
            self.real_time += clock.elapsed();
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(at, to, &message),
            Action::Store { id, call } => self.call(at, id, call),
            Action::Install { head, bodies } => self.install(at, &head, &bodies),
            Action::Publish(snapshot) => {
                let node = &mut self.nodes[at];
                node.snapshot = Some(snapshot);
                node.publications += 1;
            }
            Action::Notice(notice) => self.nodes[at].notices.push((self.now, notice)),
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let clock = self.start_timer();
        let bytes = wire::heartbeat::Message::from(message)
            .encode()
            .expect("messages can be written");
        self.add_time(clock);
        let node = &mut self.nodes[from];
        node.bytes[0] += bytes.len() as u64;
        node.messages[0] += 1;
        let to = index(to);
        let (a, b) = (self.nodes[from].domain, self.nodes[to].domain);
        let is_lost = self.rng.f64() < self.layout.loss;
        let (from, at) = (self.nodes[from].slot, self.nodes[to].slot);
        let is_connected = self.is_connected(Place::Domain(a), Place::Domain(b))
            && self.is_connected(Place::Slot(from), Place::Slot(at));
        if is_lost || !is_connected {
            return;
        }
        let after = self.latency(a, b);
        let bytes = bytes.into();
        self.push(after, Scheduled::Deliver { to, bytes });
    }

    fn latency(&mut self, a: usize, b: usize) -> Duration {
        let region = |d: usize| d / self.layout.per_region;
        let micros = if a == b {
            200
        } else if region(a) == region(b) {
            500
        } else {
            35_000
        };
        let jitter = self.rng.u64(..=micros / 10);
        Duration::from_micros(micros + jitter)
    }

    /// Stands in for the verifier: rejects a version that has a file with
    /// content `bad`, and reads the number of slots from a file named `slots`.
    fn install(&mut self, at: usize, head: &Arc<Head>, bodies: &[Body]) {
        let version = head.version;
        if bodies.iter().any(|b| &*b.bytes == b"bad") {
            return self.feed(at, Event::Rejected(version));
        }
        let slots = head.files.iter().position(|f| &*f.name == "slots");
        let slots = slots.and_then(|i| {
            let text = core::str::from_utf8(&bodies[i].bytes).ok()?;
            text.parse().ok()
        });
        let all = u32::try_from(self.slots.len()).expect("small");
        let slots = slots.unwrap_or(all);
        let own = u32::try_from(self.nodes[at].slot).expect("small");
        let slots = (own < slots).then_some(slots);
        self.nodes[at].installs.push((self.now, version));
        self.feed(at, Event::Installed { version, slots });
    }
}

/// A body with this text. Its hash stands in for SHA-256.
pub fn body(text: &str) -> Body {
    let mut hash = [0; 32];
    for (i, chunk) in hash.chunks_mut(8).enumerate() {
        let salt = [u8::try_from(i).expect("four chunks")];
        chunk.copy_from_slice(&hash::stable_hash(&[text.as_bytes(), &salt]).to_le_bytes());
    }
    Body {
        hash: Hash(hash),
        bytes: text.as_bytes().into(),
    }
}

fn addr(at: usize, port: u16) -> SocketAddr {
    let bits = 0x0a00_0000 + u32::try_from(at).expect("small");
    SocketAddrV4::new(Ipv4Addr::from(bits), port).into()
}

fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("the fleet is on IPv4");
    };
    (u32::from(*addr.ip()) - 0x0a00_0000) as usize
}
