//! Answers that go back over a link between regions.
//!
//! A request is refused before it runs if answers under way would fill the
//! link; an answer that has no room in this second waits for the next. Without
//! it a region that fails over would have its answers, which are much larger
//! than its requests, pass the link's limit however few requests the cap lets
//! through.
//!
//! Invariant: an answer leaves when this process's part of the link has room
//! for it, in the order the answers came, or not at all. One larger than the
//! part of a whole second is paid for in advance, second by second, so that
//! what is taken in any second stays within the limit.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::share::{Route, Shares};
use crate::request::answer::Answer;
use crate::request::arrival::RequestId;
use crate::request::outcome::Refusal;

/// Bytes that a message between regions has besides its answer.
const OVERHEAD: u64 = 512;

/// Size of an answer that is assumed before one was seen, in bytes.
const TYPICAL: u64 = 8 << 10;

/// Part of what a link takes in a second that may be promised to answers to
/// come: one in this many. They then leave within that part of a second.
const PROMISED: u64 = 4;

/// What a requester is told in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Last {
    /// A whole answer.
    Reply(Arc<Answer>),
    /// A refusal.
    Refuse(Refusal),
}

impl Last {
    fn bytes(&self) -> u64 {
        match self {
            Self::Reply(answer) => answer.bytes() + OVERHEAD,
            Self::Refuse(_) => OVERHEAD,
        }
    }
}

/// A request that came over a link, until its answer has left.
#[derive(Clone, Debug)]
struct Open {
    id: RequestId,
    link: Route,
}

/// An answer that waits for room.
#[derive(Clone, Debug)]
struct Held {
    id: RequestId,
    link: Route,
    last: Last,
    /// Bytes taken of the link in advance.
    paid: u64,
}

impl Held {
    fn due(&self) -> u64 {
        self.last.bytes().saturating_sub(self.paid)
    }
}

/// Requests that came over links, and answers that wait.
#[derive(Clone, Debug)]
pub struct Outbox {
    /// Sorted by request.
    open: Vec<Open>,
    held: VecDeque<Held>,
    /// Typical size of an answer.
    typical: u64,
    /// A link that was full, and what its next answer needs.
    lacking: Option<(Route, u64)>,
}

impl Default for Outbox {
    fn default() -> Self {
        Self {
            open: Vec::new(),
            held: VecDeque::new(),
            typical: TYPICAL,
            lacking: None,
        }
    }
}

impl Outbox {
    /// Takes note of a request that came over a link, whose answer goes back
    /// over `link`; false if its answer may find no room.
    pub fn admit(&mut self, now: Time, id: RequestId, link: Route, shares: &mut Shares) -> bool {
        let limit = shares.limit(now, &link);
        let open = self.open.iter().filter(|o| o.link == link).count() as u64;
        let held = self.held.iter().filter(|h| h.link == link);
        let waiting: u64 = held.map(|h| h.last.bytes()).sum();
        // One at a time is let in however large answers are: with none, no
        // smaller one would ever be seen.
        let idle = open == 0 && waiting == 0 && limit > 0;
        if !idle && (open + 1) * self.typical + waiting > limit / PROMISED {
            return false;
        }
        let at = self.open.partition_point(|o| o.id < id);
        self.open.insert(at, Open { id, link });
        true
    }

    /// Whether a request came over a link.
    #[must_use]
    pub fn holds(&self, id: RequestId) -> bool {
        self.open.binary_search_by_key(&id, |o| o.id).is_ok()
    }

    /// Answers of finished requests that wait for room.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.held.len()
    }

    /// A link over which an answer waits, and the bytes that it needs.
    #[must_use]
    pub const fn lacking(&self) -> Option<&(Route, u64)> {
        self.lacking.as_ref()
    }

    /// The requester has left.
    pub fn forget(&mut self, id: RequestId) {
        if let Ok(at) = self.open.binary_search_by_key(&id, |o| o.id) {
            self.open.remove(at);
        }
        self.held.retain(|h| h.id != id);
    }

    /// Takes the final answer of a request that came over a link.
    pub fn put(&mut self, id: RequestId, last: Last) {
        let Ok(at) = self.open.binary_search_by_key(&id, |o| o.id) else {
            return;
        };
        let link = self.open.remove(at).link;
        if let Last::Reply(answer) = &last {
            let bytes = answer.bytes() + OVERHEAD;
            self.typical = (self.typical * 7 + bytes).div_ceil(8);
        }
        let paid = 0;
        self.held.push_back(Held {
            id,
            link,
            last,
            paid,
        });
    }

    /// The answers that have room now, in order. One link that is full doesn't
    /// hold up the answers over another.
    pub fn release(&mut self, now: Time, shares: &mut Shares) -> Vec<(RequestId, Last)> {
        self.lacking = None;
        let mut free = Vec::new();
        let mut full: Vec<Route> = Vec::new();
        let mut kept = VecDeque::with_capacity(self.held.len());
        for mut held in core::mem::take(&mut self.held) {
            let blocked = full.contains(&held.link);
            if !blocked && fits(now, &mut held, shares) {
                free.push((held.id, held.last));
                continue;
            }
            if !blocked {
                full.push(held.link.clone());
                self.lacking
                    .get_or_insert_with(|| (held.link.clone(), held.due()));
            }
            kept.push_back(held);
        }
        self.held = kept;
        free
    }
}

/// Whether an answer may leave. One larger than the part of a whole second is
/// paid for as room comes free, and nothing else leaves over the link
/// meanwhile: sent for the price of one second, it would crowd out other
/// instances' answers.
fn fits(now: Time, held: &mut Held, shares: &mut Shares) -> bool {
    let due = held.due();
    if held.paid == 0 && due <= shares.limit(now, &held.link) {
        return shares.take(now, &[(&held.link, due)]).is_ok();
    }
    held.paid += shares.take_up_to(now, &held.link, due);
    held.due() == 0
}
