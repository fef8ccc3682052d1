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
const MESSAGE_OVERHEAD_BYTES: u64 = 512;

/// Size of an answer that is assumed before one was seen, in bytes.
const INITIAL_ANSWER_BYTES: u64 = 8 << 10;

/// Part of what a link takes in a second that may be promised to answers to
/// come: one in this many. They then leave within that part of a second.
const COMMITTED_DIVISOR: u64 = 4;

/// What a requester is told in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// A whole answer.
    Reply(Arc<Answer>),
    /// A refusal.
    Refuse(Refusal),
}

impl FinalResponse {
    fn bytes(&self) -> u64 {
        match self {
            Self::Reply(answer) => answer.bytes() + MESSAGE_OVERHEAD_BYTES,
            Self::Refuse(_) => MESSAGE_OVERHEAD_BYTES,
        }
    }
}

/// A request that came over a link, until its answer has left.
#[derive(Clone, Debug)]
struct OpenRequest {
    id: RequestId,
    link: Route,
}

/// An answer that waits for room.
#[derive(Clone, Debug)]
struct QueuedResponse {
    id: RequestId,
    link: Route,
    response: FinalResponse,
    /// Bytes taken of the link in advance.
    reserved: u64,
}

impl QueuedResponse {
    fn remaining(&self) -> u64 {
        self.response.bytes().saturating_sub(self.reserved)
    }
}

/// Requests that came over links, and answers that wait.
#[derive(Clone, Debug)]
pub struct Outbox {
    /// Sorted by request.
    open: Vec<OpenRequest>,
    queued: VecDeque<QueuedResponse>,
    /// Typical size of an answer.
    mean_bytes: u64,
    /// A link that was full, and what its next answer needs.
    blocked: Option<(Route, u64)>,
}

impl Default for Outbox {
    fn default() -> Self {
        Self {
            open: Vec::new(),
            queued: VecDeque::new(),
            mean_bytes: INITIAL_ANSWER_BYTES,
            blocked: None,
        }
    }
}

impl Outbox {
    /// Takes note of a request that came over a link, whose answer goes back
    /// over `link`; false if its answer may find no room.
    pub fn admit(&mut self, now: Time, id: RequestId, link: Route, shares: &mut Shares) -> bool {
        let limit = shares.limit(now, &link);
        let open = self.open.iter().filter(|o| o.link == link).count() as u64;
        let queued = self.queued.iter().filter(|h| h.link == link);
        let waiting: u64 = queued.map(|h| h.response.bytes()).sum();
        // One at a time is let in however large answers are: with none, no
        // smaller one would ever be seen.
        let idle = open == 0 && waiting == 0 && limit > 0;
        if !idle && (open + 1) * self.mean_bytes + waiting > limit / COMMITTED_DIVISOR {
            return false;
        }
        let at = self.open.partition_point(|o| o.id < id);
        self.open.insert(at, OpenRequest { id, link });
        true
    }

    /// Whether a request came over a link.
    #[must_use]
    pub fn contains(&self, id: RequestId) -> bool {
        self.open.binary_search_by_key(&id, |o| o.id).is_ok()
    }

    /// Answers of finished requests that wait for room.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queued.len()
    }

    /// A link over which an answer waits, and the bytes that it needs.
    #[must_use]
    pub const fn blocked(&self) -> Option<&(Route, u64)> {
        self.blocked.as_ref()
    }

    /// The requester has left.
    pub fn forget(&mut self, id: RequestId) {
        if let Ok(at) = self.open.binary_search_by_key(&id, |o| o.id) {
            self.open.remove(at);
        }
        self.queued.retain(|h| h.id != id);
    }

    /// Takes the final answer of a request that came over a link.
    pub fn put(&mut self, id: RequestId, response: FinalResponse) {
        let Ok(at) = self.open.binary_search_by_key(&id, |o| o.id) else {
            return;
        };
        let link = self.open.remove(at).link;
        if let FinalResponse::Reply(answer) = &response {
            let bytes = answer.bytes() + MESSAGE_OVERHEAD_BYTES;
            self.mean_bytes = (self.mean_bytes * 7 + bytes).div_ceil(8);
        }
        let reserved = 0;
        self.queued.push_back(QueuedResponse {
            id,
            link,
            response,
            reserved,
        });
    }

    /// The answers that have room now, in order. One link that is full doesn't
    /// hold up the answers over another.
    pub fn release(&mut self, now: Time, shares: &mut Shares) -> Vec<(RequestId, FinalResponse)> {
        self.blocked = None;
        let mut free = Vec::new();
        let mut full: Vec<Route> = Vec::new();
        let mut kept = VecDeque::with_capacity(self.queued.len());
        for mut queued in core::mem::take(&mut self.queued) {
            let blocked = full.contains(&queued.link);
            if !blocked && fits(now, &mut queued, shares) {
                free.push((queued.id, queued.response));
                continue;
            }
            if !blocked {
                full.push(queued.link.clone());
                self.blocked
                    .get_or_insert_with(|| (queued.link.clone(), queued.remaining()));
            }
            kept.push_back(queued);
        }
        self.queued = kept;
        free
    }
}

/// Whether an answer may leave. One larger than the part of a whole second is
/// paid for as room comes free, and nothing else leaves over the link
/// meanwhile: sent for the price of one second, it would crowd out other
/// instances' answers.
fn fits(now: Time, queued: &mut QueuedResponse, shares: &mut Shares) -> bool {
    let remaining = queued.remaining();
    if queued.reserved == 0 && remaining <= shares.limit(now, &queued.link) {
        return shares.take(now, &[(&queued.link, remaining)]).is_ok();
    }
    queued.reserved += shares.take_some(now, &queued.link, remaining);
    queued.remaining() == 0
}
