//! Chooses the key prefix that look-up answers hand out to callers.
//!
//! Invariant: a key names a witness only after that process reported its epoch,
//! and the witness is in another failure domain. Without such a peer keys are
//! issued without a witness: they run all the same, but after this process's
//! death their outcome is unknown. A partitioned failure domain keeps serving
//! that way.

use super::{limits, message};
use crate::clock;
use crate::request::{key, record};
use crate::version::view;

struct Witness {
    incarnation: view::Incarnation,
    epoch: u64,
}

struct Probe {
    ask: record::QuestionId,
    incarnation: view::Incarnation,
    until: clock::Time,
}

/// Chooses the witness and tracks the published prefix.
pub struct KeyIssuer {
    incarnation: view::Incarnation,
    witness: Option<Witness>,
    probe: Option<Probe>,
    next_probe_at: clock::Time,
    suspects: Vec<(view::Incarnation, clock::Time)>,
    published: Option<key::Prefix>,
}

impl KeyIssuer {
    /// Creates an issuer with no witness chosen and no prefix published.
    pub const fn new(incarnation: view::Incarnation) -> Self {
        Self {
            incarnation,
            witness: None,
            probe: None,
            next_probe_at: clock::Time::ZERO,
            suspects: Vec::new(),
            published: None,
        }
    }

    /// Witness that new keys name.
    pub fn witness(&self) -> Option<view::Incarnation> {
        self.witness.as_ref().map(|w| w.incarnation)
    }

    /// Prefix for keys issued in this process's epoch `epoch`.
    pub fn prefix(&self, epoch: u64) -> key::Prefix {
        let stamp = |w: &Witness| key::Stamp {
            incarnation: w.incarnation,
            epoch: w.epoch,
        };
        key::Prefix {
            owner: key::Stamp {
                incarnation: self.incarnation,
                epoch,
            },
            witness: self.witness.as_ref().map(stamp),
        }
    }

    /// Records the published prefix and returns whether it changed.
    pub fn publish(&mut self, prefix: Option<key::Prefix>) -> bool {
        let changed = self.published != prefix;
        self.published = prefix;
        changed
    }

    /// Drops the witness if the view no longer lists it as live.
    pub fn set_view(&mut self, view: &view::View) {
        let Some(witness) = &self.witness else {
            return;
        };
        let is_live = |m: &view::MemberData| {
            m.incarnation == witness.incarnation && m.state == view::State::Live
        };
        if !view.members.values().any(is_live) {
            self.drop_witness();
        }
    }

    /// Excludes a process that did not answer from being the witness for
    /// [`Limits::suspect_time`](limits::Limits::suspect_time).
    pub fn suspect(
        &mut self,
        now: clock::Time,
        limits: &limits::Limits,
        incarnation: view::Incarnation,
    ) {
        self.suspects.retain(|&(suspect, _)| suspect != incarnation);
        self.suspects.push((incarnation, now + limits.suspect_time));
        if self.witness.as_ref().map(|w| w.incarnation) == Some(incarnation) {
            self.drop_witness();
        }
    }

    /// Handles the end of a probe: the peer's epoch, or `None` if it did not
    /// answer. Returns `false` if `ask` is not the open probe.
    pub fn probe_ended(
        &mut self,
        now: clock::Time,
        limits: &limits::Limits,
        ask: record::QuestionId,
        epoch: Option<u64>,
    ) -> bool {
        let Some(probe) = self.probe.take_if(|p| p.ask == ask) else {
            return false;
        };
        let incarnation = probe.incarnation;
        match epoch {
            Some(epoch) => self.witness = Some(Witness { incarnation, epoch }),
            None => self.probe_failed(now, limits, incarnation),
        }
        true
    }

    /// Returns the peer to probe for its epoch now, if a probe is due. After
    /// sending it the caller calls [`KeyIssuer::probe_sent`].
    pub fn next_probe(
        &mut self,
        now: clock::Time,
        limits: &limits::Limits,
        view: &view::View,
        own_domain: &str,
    ) -> Option<message::Peer> {
        self.suspects.retain(|&(_, until)| now < until);
        if let Some(expired) = self.probe.take_if(|p| p.until <= now) {
            self.probe_failed(now, limits, expired.incarnation);
        }
        if self.probe.is_some() || now < self.next_probe_at {
            return None;
        }
        self.next_probe_at = now + limits.probe_interval;
        let candidate = self.best_witness(view, own_domain);
        if candidate.is_none() {
            self.witness = None;
        }
        candidate.map(message::Peer::from)
    }

    /// Records that a probe was sent.
    pub fn probe_sent(
        &mut self,
        now: clock::Time,
        limits: &limits::Limits,
        ask: record::QuestionId,
        incarnation: view::Incarnation,
    ) {
        self.probe = Some(Probe {
            ask,
            incarnation,
            until: now + limits.ask_timeout,
        });
    }

    fn probe_failed(
        &mut self,
        now: clock::Time,
        limits: &limits::Limits,
        incarnation: view::Incarnation,
    ) {
        self.suspect(now, limits, incarnation);
        self.next_probe_at = now;
    }

    fn drop_witness(&mut self) {
        self.witness = None;
        self.next_probe_at = clock::Time::ZERO;
    }

    /// Returns the best live candidate in another failure domain, preferring the
    /// own region. Ties are broken by a hash of both incarnations, so that
    /// witnesses are spread evenly and change only when they have to.
    fn best_witness<'a>(
        &self,
        view: &'a view::View,
        own_domain: &str,
    ) -> Option<&'a view::MemberData> {
        let own_domain = view.domain(own_domain)?;
        let region = |m: &view::MemberData| view.domains[m.domain].region;
        let is_eligible = |m: &&view::MemberData| {
            m.domain != own_domain
                && m.state == view::State::Live
                && m.incarnation != self.incarnation
                && !self
                    .suspects
                    .iter()
                    .any(|&(suspect, _)| suspect == m.incarnation)
        };
        let rank = |m: &&view::MemberData| {
            let is_remote = region(m) != view.domains[own_domain].region;
            (
                is_remote,
                mix(self.incarnation.0 ^ m.incarnation.0.rotate_left(32)),
            )
        };
        view.members.values().filter(is_eligible).min_by_key(rank)
    }
}

/// Spreads the bits of a number (the finaliser of `SplitMix64`).
const fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
