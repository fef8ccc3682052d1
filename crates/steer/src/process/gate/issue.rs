//! What look-up answers put in front of a caller's nonce.
//!
//! Invariant: a witness is only named after it told its epoch, and it stands in
//! another failure domain. With no such peer keys are issued without a witness:
//! they run all the same, and only lose the certain answer after this process's
//! death. A cut-off failure domain goes on serving that way.

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

/// Chooses the witness and remembers which prefix is published.
pub struct Issue {
    me: view::Incarnation,
    witness: Option<Witness>,
    probe: Option<Probe>,
    due: clock::Time,
    suspects: Vec<(view::Incarnation, clock::Time)>,
    published: Option<key::Prefix>,
}

impl Issue {
    /// Nothing chosen, nothing published.
    pub const fn new(me: view::Incarnation) -> Self {
        Self {
            me,
            witness: None,
            probe: None,
            due: clock::Time::ZERO,
            suspects: Vec::new(),
            published: None,
        }
    }

    /// The witness that new keys name.
    pub fn witness(&self) -> Option<view::Incarnation> {
        self.witness.as_ref().map(|w| w.incarnation)
    }

    /// The prefix for keys issued at this process's epoch `epoch`.
    pub fn prefix(&self, epoch: u64) -> key::Prefix {
        let stamp = |w: &Witness| key::Stamp {
            incarnation: w.incarnation,
            epoch: w.epoch,
        };
        key::Prefix {
            owner: key::Stamp {
                incarnation: self.me,
                epoch,
            },
            witness: self.witness.as_ref().map(stamp),
        }
    }

    /// Remembers what is published; `true` if that is a change.
    pub fn publish(&mut self, prefix: Option<key::Prefix>) -> bool {
        let changed = self.published != prefix;
        self.published = prefix;
        changed
    }

    /// Drops a witness that the view no longer holds as live.
    pub fn view(&mut self, view: &view::View) {
        let Some(witness) = &self.witness else {
            return;
        };
        let stays = |m: &view::MemberData| {
            m.incarnation == witness.incarnation && m.state == view::State::Live
        };
        if !view.members.values().any(stays) {
            self.drop_witness();
        }
    }

    /// Stops naming a process that did not answer, for a while.
    pub fn suspect(
        &mut self,
        now: clock::Time,
        limits: &limits::Limits,
        incarnation: view::Incarnation,
    ) {
        self.suspects.retain(|&(who, _)| who != incarnation);
        self.suspects.push((incarnation, now + limits.suspect_time));
        if self.witness.as_ref().map(|w| w.incarnation) == Some(incarnation) {
            self.drop_witness();
        }
    }

    /// Takes a peer's epoch, or its silence. `false` if `ask` is no probe.
    pub fn told(
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
            None => self.silent(now, limits, incarnation),
        }
        true
    }

    /// The peer to ask for its epoch now, if one is due. The caller follows up
    /// with [`Issue::asked`].
    pub fn due(
        &mut self,
        now: clock::Time,
        limits: &limits::Limits,
        view: &view::View,
        home: &str,
    ) -> Option<message::Peer> {
        self.suspects.retain(|&(_, until)| now < until);
        if let Some(late) = self.probe.take_if(|p| p.until <= now) {
            self.silent(now, limits, late.incarnation);
        }
        if self.probe.is_some() || now < self.due {
            return None;
        }
        self.due = now + limits.probe_interval;
        let best = self.best(view, home);
        if best.is_none() {
            self.witness = None;
        }
        best.map(message::Peer::from)
    }

    /// A probe is on its way.
    pub fn asked(
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

    fn silent(
        &mut self,
        now: clock::Time,
        limits: &limits::Limits,
        incarnation: view::Incarnation,
    ) {
        self.suspect(now, limits, incarnation);
        self.due = now;
    }

    fn drop_witness(&mut self) {
        self.witness = None;
        self.due = clock::Time::ZERO;
    }

    /// The nearest candidate in another failure domain. Among equals the order
    /// is random for each pair of processes but fixed, so that witnesses are
    /// spread and change only when they have to.
    fn best<'a>(&self, view: &'a view::View, home: &str) -> Option<&'a view::MemberData> {
        let home = view.domain(home)?;
        let region = |m: &view::MemberData| view.domains[m.domain].region;
        let fit = |m: &&view::MemberData| {
            m.domain != home
                && m.state == view::State::Live
                && m.incarnation != self.me
                && !self.suspects.iter().any(|&(who, _)| who == m.incarnation)
        };
        let rank = |m: &&view::MemberData| {
            let far = region(m) != view.domains[home].region;
            (far, mix(self.me.0 ^ m.incarnation.0.rotate_left(32)))
        };
        view.members.values().filter(fit).min_by_key(rank)
    }
}

/// Spreads the bits of a number (the finaliser of `SplitMix64`).
const fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
