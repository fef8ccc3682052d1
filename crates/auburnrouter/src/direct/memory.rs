//! Memory account for bodies: those of callers' requests, and those of answers until
//! they are written to their callers.
//!
//! A caller that reads slowly, or not at all, keeps its answers here. So a request
//! reserves room for the answer that its route usually gets before it is sent, and is
//! turned away where there is none. Small answers and bodies of requests have room of
//! their own, so that long answers that nobody reads leave it to all others. While
//! room is short, callers that take nothing of their answers are closed, the longest
//! stalled first ([`stalls`]).
//!
//! Invariants: what requests reserve never exceeds 1/[`RESERVABLE_DIVISOR`] of the
//! process's memory limit, long answers never take the last 1/[`GUARANTEED_DIVISOR`],
//! and all bytes together never exceed 1/[`TOTAL_DIVISOR`] of it.

mod answer;
mod buffer;
mod sizes;
mod stalls;

use std::sync::{Arc, Mutex};

use event_listener::Event;

use super::lock;
pub use answer::AnswerCharge;
pub use buffer::Buffer;
use sizes::AnswerSizes;
pub use stalls::Stall;
use stalls::Stalls;

/// Fraction (1/n) of the memory limit up to which requests may reserve memory for their
/// bodies and usual answers. Each body is buffered in full here, and a second time where
/// it is sent.
const RESERVABLE_DIVISOR: usize = 4;

/// Fraction (1/n) of the memory limit that is left to requests whatever long answers take.
const GUARANTEED_DIVISOR: usize = 8;

/// Fraction (1/n) of the memory limit beyond which answers are given up.
const TOTAL_DIVISOR: usize = 2;

/// Bytes reserved for any answer before its request is sent. They cover the read buffer
/// of the connection to the target too.
pub const ANSWER_ALLOWANCE_BYTES: usize = 16 * 1024;

/// Bytes of all bodies that this process holds.
#[derive(Debug)]
pub struct Account {
    used: Mutex<Used>,
    /// Memory limit of the process in bytes.
    limit: usize,
    sizes: Mutex<AnswerSizes>,
    stalls: Stalls,
    /// Notified when bytes are released.
    released: Event,
}

/// Bytes that are held, by purpose.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    reserved: usize,
    long: usize,
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Bodies of requests, and the allowance of each answer.
    Reserved,
    /// What answers take beyond their allowance.
    Long,
}

/// Bytes in an account; released on drop.
#[derive(Debug)]
pub struct Charge {
    account: Arc<Account>,
    purpose: Purpose,
    bytes: usize,
}

impl Account {
    /// An empty account of a process that may use this much memory.
    pub fn new(memory_mb: u64) -> Self {
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX);
        Self {
            used: Mutex::default(),
            limit: memory.saturating_mul(1 << 20),
            sizes: Mutex::default(),
            stalls: Stalls::default(),
            released: Event::new(),
        }
    }

    /// Bytes held.
    pub fn used(&self) -> usize {
        let used = lock(&self.used);
        used.reserved + used.long
    }

    /// Reserves memory for a request body of `length` bytes, as it announces, or of
    /// `max` bytes if it announces nothing. `None` if the account is used up.
    pub fn reserve_body(self: &Arc<Self>, max: usize, length: Option<u64>) -> Option<Charge> {
        let announced = length.and_then(|b| usize::try_from(b).ok()).unwrap_or(max);
        self.take(Purpose::Reserved, announced.min(max))
    }

    /// Reserves memory for the usual answer of a route, before its request is sent.
    /// `None` if the account is used up.
    pub fn reserve_answer(self: &Arc<Self>, route: &Arc<str>) -> Option<AnswerCharge> {
        let allowance = self.take(Purpose::Reserved, ANSWER_ALLOWANCE_BYTES)?;
        let usual = lock(&self.sizes).usual(route);
        let long = self.take(Purpose::Long, usual.saturating_sub(ANSWER_ALLOWANCE_BYTES))?;
        Some(AnswerCharge::new(Arc::clone(route), allowance, long))
    }

    /// Lists a connection whose caller takes nothing from now on of this many bytes,
    /// until what is returned is dropped.
    pub fn stall(self: &Arc<Self>, bytes: usize) -> Stall {
        Stalls::begin(self, bytes)
    }

    /// Tells the callers that have taken nothing for longest to go, until they release
    /// this many bytes.
    fn evict(&self, bytes: usize) {
        self.stalls.evict(bytes);
    }

    /// Takes bytes; `None` if there is no room for them, which there may be soon, as
    /// stalled callers are told to go.
    fn take(self: &Arc<Self>, purpose: Purpose, bytes: usize) -> Option<Charge> {
        let mut charge = Charge {
            account: Arc::clone(self),
            purpose,
            bytes: 0,
        };
        if charge.resize(bytes) {
            return Some(charge);
        }
        self.evict(bytes);
        None
    }
}

impl Used {
    /// Bytes held for a purpose.
    const fn of(&mut self, purpose: Purpose) -> &mut usize {
        match purpose {
            Purpose::Reserved => &mut self.reserved,
            Purpose::Long => &mut self.long,
        }
    }

    /// Whether no bound is exceeded in a process with this memory limit.
    const fn is_within(self, limit: usize) -> bool {
        let total = limit / TOTAL_DIVISOR;
        self.reserved <= limit / RESERVABLE_DIVISOR
            && self.long <= total - limit / GUARANTEED_DIVISOR
            && self.reserved + self.long <= total
    }
}

impl Charge {
    /// Changes the number of bytes. Returns whether there is room for them; if not,
    /// nothing changes.
    #[must_use]
    fn resize(&mut self, bytes: usize) -> bool {
        let mut used = lock(&self.account.used);
        let mut changed = *used;
        let held = changed.of(self.purpose);
        *held = (*held - self.bytes).saturating_add(bytes);
        if bytes > self.bytes && !changed.is_within(self.account.limit) {
            return false;
        }
        *used = changed;
        drop(used);
        if bytes < self.bytes {
            self.account.released.notify(usize::MAX);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        // Fewer bytes always have room.
        let _ = self.resize(0);
    }
}
