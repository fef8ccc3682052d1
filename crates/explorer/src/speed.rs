//! Processor time that the gate takes for a request.
//!
//! Invariant: the time is read through the function passed in, so that nothing
//! here depends on a clock.

use core::time::Duration;
use std::sync::Arc;

use steer::clock;
use steer::process::gate;
use steer::request::{answer, arrival, key, record};
use steer::version::view;

use crate::scene;

/// What a request's key makes the gate do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Run its own key without a witness.
    Owner,
    /// Run its own key on a witness's word.
    Witnessed,
    /// Pass another's key on to its owner.
    Entry,
    /// Record another's key as its witness.
    Witness,
    /// Claim a key that its caller chose in the store.
    Store,
}

/// All kinds of work with their names.
pub const WORKS: [(&str, Work); 5] = [
    ("owner, no witness", Work::Owner),
    ("owner, with a witness", Work::Witnessed),
    ("entry for another's key", Work::Entry),
    ("witness for another's key", Work::Witness),
    ("claim in the store", Work::Store),
];

const ME: view::Incarnation = view::Incarnation(1);
const PEER: view::Incarnation = view::Incarnation(2);

struct Bench {
    gate: gate::Gate,
    out: Vec<gate::Action>,
    work: Work,
    answer: Arc<answer::Answer>,
}

impl Bench {
    fn new(work: Work) -> Self {
        let mut gate = gate::Gate::new(scene::identity(0), ME, gate::Limits::default());
        let view = scene::view(3, &[(0, ME), (1, PEER)]);
        let mut out = Vec::new();
        gate.handle(clock::Time::ZERO, gate::Event::View(view), &mut out);
        let answer = Arc::new(answer::Answer {
            status: 200,
            headers: Vec::new(),
            body: vec![0; 200].into(),
        });
        Self {
            gate,
            out,
            work,
            answer,
        }
    }

    fn key(&self, now: clock::Time, number: u64) -> Arc<str> {
        let epoch = gate::Limits::default().epoch_at(now);
        let stamp = |incarnation| key::Stamp { incarnation, epoch };
        let (owner, witness) = match self.work {
            Work::Store => return format!("chosen-by-the-caller-{number:016x}").into(),
            Work::Owner => (ME, None),
            Work::Witnessed => (ME, Some(stamp(PEER))),
            Work::Entry => (PEER, None),
            Work::Witness => (PEER, Some(stamp(ME))),
        };
        let prefix = key::Prefix {
            owner: stamp(owner),
            witness,
        };
        // Nonces come in no order.
        let nonce = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!("{prefix}{nonce:016x}").into()
    }

    /// Takes one request from its arrival to its answer.
    fn request(&mut self, now: clock::Time, number: u64) {
        let key = self.key(now, number);
        if self.work == Work::Witness {
            let ask = record::QuestionId(number);
            let question = record::Question::Claim(key);
            return self.feed(now, gate::Event::PeerAsked { ask, question });
        }
        let id = arrival::RequestId(number);
        let arrival = arrival::Arrival {
            id,
            service: scene::SERVICE.into(),
            caller: "caller".into(),
            key: Some(key),
            fingerprint: arrival::Fingerprint(u128::from(number)),
            deadline: None,
            bytes: 1000,
            origin: arrival::Origin::Caller,
            caller_region: None,
            peer_region: None,
        };
        self.feed(now, gate::Event::Arrive(arrival));
        self.follow(now, id);
    }

    /// Plays the witness, the store, the owner and the dispatcher.
    fn follow(&mut self, now: clock::Time, id: arrival::RequestId) {
        while let Some(action) = self.out.pop() {
            let verdict = gate::Verdict::Answered(Arc::clone(&self.answer));
            match action {
                gate::Action::Ask { ask, .. } => {
                    let word = Some(record::Reply::Claimed);
                    self.feed(now, gate::Event::AskEnded { ask, reply: word });
                }
                gate::Action::Store { .. } => {
                    let result = record::StoreResult::Created;
                    self.feed(now, gate::Event::Stored { id, result });
                }
                gate::Action::Forward { .. } => {
                    let ending =
                        steer::process::dispatch::AttemptOutcome::Answered(self.answer.clone());
                    self.feed(
                        now,
                        gate::Event::Forwarded {
                            id,
                            outcome: ending,
                        },
                    );
                }
                gate::Action::Run(_) => self.feed(now, gate::Event::Completed { id, verdict }),
                _ => {}
            }
        }
    }

    fn feed(&mut self, now: clock::Time, event: gate::Event) {
        self.gate.handle(now, event, &mut self.out);
        if self.work == Work::Witness {
            self.out.clear();
        }
    }
}

/// Mean processor time of one request, making of its key included, with `rate`
/// requests a second for `span` of virtual time before it, and the number of
/// records that stand then.
#[must_use]
pub fn measure(
    work: Work,
    rate: u64,
    span: Duration,
    clock: impl Fn() -> Duration,
) -> (Duration, usize) {
    let mut bench = Bench::new(work);
    let mut now = clock::Time::ZERO;
    let gap = Duration::from_secs(1) / u32::try_from(rate).unwrap_or(u32::MAX);
    let total = span.as_secs() * rate;
    let warm = total - total / 10;
    let mut begun = clock();
    for number in 1..=total {
        if number == warm {
            begun = clock();
        }
        now = now + gap;
        bench.request(now, number);
    }
    let spent = clock().saturating_sub(begun);
    let count = u32::try_from(total - warm).unwrap_or(u32::MAX).max(1);
    let (own, witnessed) = bench.gate.records();
    (spent / count, own + witnessed)
}

/// A gate whose table for this kind of work is full, to be weighed.
#[must_use]
pub fn fill(work: Work) -> gate::Gate {
    let mut bench = Bench::new(work);
    let count = gate::Limits::default().records_max as u64;
    for number in 1..=count {
        bench.request(clock::Time::ZERO, number);
    }
    bench.gate
}
