//! Queue of the answers that this process returns over a link between regions.
//!
//! Both ends of the exchange are bounded. [`Outbox::admit`] turns a request
//! away before it runs if the answers under way would fill the link, and an
//! answer without room waits. Capping requests alone isn't enough: answers are
//! much larger than requests, so a region that fails over would exceed the
//! link's limit however few requests the cap lets through.
//!
//! Invariant: answers over one link leave in the order in which they came, each
//! once this process's part of the link has room for it. An answer larger than
//! the limit for a whole second reserves its bytes in advance, second by
//! second, so that no second exceeds the limit.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::share::{Route, Shares};
use crate::request::answer::Answer;
use crate::request::arrival::RequestId;
use crate::request::outcome::Refusal;

/// Bytes of a message between regions besides the answer that it carries.
const MESSAGE_OVERHEAD_BYTES: u64 = 512;

/// Estimated size of an answer before the first one was seen, in bytes.
const INITIAL_ANSWER_BYTES: u64 = 8 << 10;

/// Divisor of a link's limit for one second: answers to admitted requests may
/// claim one part in this many. They then leave within that part of a second.
const COMMITTED_DIVISOR: u64 = 4;

/// The final response to a request that came over a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// A complete answer.
    Reply(Arc<Answer>),
    /// A refusal with its reason.
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

/// An admitted request whose final response isn't queued yet.
#[derive(Clone, Debug)]
struct OpenRequest {
    id: RequestId,
    link: Route,
}

/// A final response that waits for room on its link.
#[derive(Clone, Debug)]
struct QueuedResponse {
    id: RequestId,
    link: Route,
    response: FinalResponse,
    /// Bytes already taken from the link in advance.
    reserved: u64,
}

impl QueuedResponse {
    fn remaining(&self) -> u64 {
        self.response.bytes().saturating_sub(self.reserved)
    }
}

/// Admitted requests and the responses that wait for their links.
#[derive(Clone, Debug)]
pub struct Outbox {
    /// Requests without a final response, sorted by id.
    open: Vec<OpenRequest>,
    queued: VecDeque<QueuedResponse>,
    /// Moving average of the size of answers, in bytes.
    mean_bytes: u64,
    /// The first link found full by the last release, and the bytes its next
    /// response lacks.
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
    /// Admits a request whose answer will go back over `link`. Returns false if
    /// the link may have no room for that answer.
    pub fn admit(&mut self, now: Time, id: RequestId, link: Route, shares: &mut Shares) -> bool {
        let limit = shares.limit(now, &link);
        let open = self.open.iter().filter(|o| o.link == link).count() as u64;
        let queued = self.queued.iter().filter(|q| q.link == link);
        let waiting: u64 = queued.map(|q| q.response.bytes()).sum();
        // An idle link admits one request whatever the expected size; otherwise
        // no smaller answer would ever be seen and the average could not fall.
        let is_idle = open == 0 && waiting == 0 && limit > 0;
        if !is_idle && (open + 1) * self.mean_bytes + waiting > limit / COMMITTED_DIVISOR {
            return false;
        }
        let at = self.open.partition_point(|o| o.id < id);
        self.open.insert(at, OpenRequest { id, link });
        true
    }

    /// Whether an admitted request still lacks its final response.
    #[must_use]
    pub fn contains(&self, id: RequestId) -> bool {
        self.open.binary_search_by_key(&id, |o| o.id).is_ok()
    }

    /// Number of queued responses.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queued.len()
    }

    /// A link whose next response is blocked, and the number of bytes it lacks.
    #[must_use]
    pub const fn blocked(&self) -> Option<&(Route, u64)> {
        self.blocked.as_ref()
    }

    /// Drops a request whose requester has left, and its queued response.
    pub fn forget(&mut self, id: RequestId) {
        if let Ok(at) = self.open.binary_search_by_key(&id, |o| o.id) {
            self.open.remove(at);
        }
        self.queued.retain(|q| q.id != id);
    }

    /// Queues the final response of an admitted request; ignores other
    /// requests.
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

    /// Removes and returns the responses that have room now, in order. A full
    /// link doesn't delay responses over other links.
    pub fn release(&mut self, now: Time, shares: &mut Shares) -> Vec<(RequestId, FinalResponse)> {
        self.blocked = None;
        let mut released = Vec::new();
        let mut blocked_links: Vec<Route> = Vec::new();
        let mut kept = VecDeque::with_capacity(self.queued.len());
        for mut queued in core::mem::take(&mut self.queued) {
            let is_blocked = blocked_links.contains(&queued.link);
            if !is_blocked && take_room(now, &mut queued, shares) {
                released.push((queued.id, queued.response));
                continue;
            }
            if !is_blocked {
                blocked_links.push(queued.link.clone());
                self.blocked
                    .get_or_insert_with(|| (queued.link.clone(), queued.remaining()));
            }
            kept.push_back(queued);
        }
        self.queued = kept;
        released
    }
}

/// Takes room on the link for a response and returns whether all of it was got.
/// A response larger than the limit for a whole second reserves bytes as room
/// comes free, and nothing else leaves over that link meanwhile. If it were
/// sent for one second's worth of room, it would displace the answers of other
/// instances.
fn take_room(now: Time, queued: &mut QueuedResponse, shares: &mut Shares) -> bool {
    let remaining = queued.remaining();
    if queued.reserved == 0 && remaining <= shares.limit(now, &queued.link) {
        return shares.take(now, &[(&queued.link, remaining)]).is_ok();
    }
    queued.reserved += shares.take_up_to(now, &queued.link, remaining);
    queued.remaining() == 0
}
