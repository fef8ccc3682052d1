//! Turns of requests that are suspected of crashing targets: of each, one copy runs at a
//! time over all instances, and its outcome decides what becomes of the others.
//!
//! The first of the instances that are present, by a hash of their names and the
//! request's fingerprint, gives turns. An instance with a copy that waits asks it; one
//! that is out of reach is passed over after a while. Each message tells what its sender
//! holds against the request, so a turn is given on the newest outcome.
//!
//! Invariants: an instance gives one turn at a time for a request, each for
//! [`TURN_SPAN`] at most; a turn that isn't used within [`START_SPAN`] is given back.
//! Two copies can run at once only if their instances don't reach the same giver, or if
//! the giver was started anew, or if a copy runs for longer than a turn.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::job::State;
use super::suspect::ANSWERED_STRIKES_MAX;
use super::{Direct, Ticket, hash};
use crate::clock::Time;
use crate::request::arrival::Fingerprint;
use crate::request::poison::Report;

/// Longest time for which a turn is given.
const TURN_SPAN: Duration = Duration::from_secs(3);

/// Time in which a turn must be used.
const START_SPAN: Duration = Duration::from_millis(100);

/// Time between two askings for a turn.
pub const ASK_INTERVAL: Duration = Duration::from_millis(40);

/// Time without an answer after which the next instance is asked. Several times the way
/// between the farthest regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks for a turn, or ends one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnAsk {
    /// Name of the sender.
    pub name: Arc<str>,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// What the sender holds against the request.
    pub report: Report,
    /// Whether the sender's turn is over.
    pub is_over: bool,
}

/// Answer to [`TurnAsk`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnAnswer {
    /// Name of the sender.
    pub name: Arc<str>,
    /// Incarnation of the instance that has asked.
    pub incarnation: u64,
    /// What the sender holds against the request.
    pub report: Report,
    /// Whether the instance that has asked may run a copy.
    pub is_given: bool,
}

/// Turn that this instance has given.
#[derive(Clone, Debug)]
struct Given {
    fingerprint: Fingerprint,
    holder: Arc<str>,
    incarnation: u64,
    until: Time,
}

/// Progress of a turn that this instance wants.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// The giver was last asked, and last answered or first asked, at these times.
    Asking {
        asked_at: Option<Time>,
        waits_since: Time,
    },
    /// It may begin until then.
    Given { until: Time },
    /// This request runs.
    Running(Ticket),
}

/// Turn that this instance wants or has.
#[derive(Clone, Debug)]
struct Wanted {
    fingerprint: Fingerprint,
    giver: Arc<str>,
    /// Givers that were passed over.
    passed_over: usize,
    stage: Stage,
}

/// Turns given and wanted, each sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    given: Vec<Given>,
    wanted: Vec<Wanted>,
    /// Turns that are over, with their givers.
    over: Vec<(Arc<str>, Fingerprint)>,
}

impl Turns {
    /// Gives a turn unless another instance has it.
    fn give(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        holder: &Arc<str>,
        incarnation: u64,
    ) -> bool {
        let turn = Given {
            fingerprint,
            holder: Arc::clone(holder),
            incarnation,
            until: now + TURN_SPAN,
        };
        match self.find_given(fingerprint) {
            Ok(at) => {
                let held = &mut self.given[at];
                let is_free = now >= held.until || *held.holder == **holder;
                if is_free {
                    *held = turn;
                }
                is_free
            }
            Err(at) => {
                self.given.insert(at, turn);
                true
            }
        }
    }

    /// Ends a turn of this holder.
    fn take_back(&mut self, fingerprint: Fingerprint, holder: &str, incarnation: u64) {
        if let Ok(at) = self.find_given(fingerprint)
            && *self.given[at].holder == *holder
            && self.given[at].incarnation == incarnation
        {
            self.given.remove(at);
        }
    }

    fn find_given(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.given
            .binary_search_by_key(&fingerprint, |g| g.fingerprint)
    }

    fn find_wanted(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.wanted
            .binary_search_by_key(&fingerprint, |w| w.fingerprint)
    }

    /// Whether turns are asked for or have to be ended.
    fn is_asking(&self) -> bool {
        !self.over.is_empty() || !self.wanted.is_empty()
    }
}

impl Direct {
    /// Whether this instance may run a copy of a suspect now; asks for its turn if not.
    pub(super) fn has_turn(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        if let Ok(at) = self.turns.find_wanted(fingerprint)
            && matches!(self.turns.wanted[at].stage, Stage::Given { until } if now >= until)
        {
            self.drop_turn(at);
        }
        let at = match self.turns.find_wanted(fingerprint) {
            Ok(at) => at,
            Err(at) => {
                let wanted = Wanted {
                    fingerprint,
                    giver: self.turn_giver(now, fingerprint, 0),
                    passed_over: 0,
                    stage: Stage::Asking {
                        asked_at: None,
                        waits_since: now,
                    },
                };
                self.turns.wanted.insert(at, wanted);
                self.is_ask_due = true;
                at
            }
        };
        match self.turns.wanted[at].stage {
            Stage::Given { .. } => true,
            Stage::Running(_) => false,
            Stage::Asking { .. } => {
                let giver = Arc::clone(&self.turns.wanted[at].giver);
                let own = &self.identity;
                let is_given = giver == own.name
                    && self
                        .turns
                        .give(now, fingerprint, &own.name, own.incarnation);
                if is_given {
                    self.turns.wanted[at].stage = Stage::Given {
                        until: now + START_SPAN,
                    };
                }
                is_given
            }
        }
    }

    /// The instance that gives turns for a request, after passing over some.
    fn turn_giver(&self, now: Time, fingerprint: Fingerprint, passed_over: usize) -> Arc<str> {
        let rank = |name: &Arc<str>| hash(format!("{fingerprint} {name}").as_bytes());
        let others = self.others(now).map(|(name, _)| name);
        let mut all: Vec<&Arc<str>> = others.chain([&self.identity.name]).collect();
        all.sort_by_key(|name| rank(name));
        Arc::clone(all[passed_over % all.len()])
    }

    /// Records that a request is sent; it uses the turn for its fingerprint.
    pub(super) fn begin_turn(&mut self, fingerprint: Fingerprint, ticket: Ticket) {
        if let Ok(at) = self.turns.find_wanted(fingerprint)
            && matches!(self.turns.wanted[at].stage, Stage::Given { .. })
        {
            self.turns.wanted[at].stage = Stage::Running(ticket);
        }
    }

    /// Whether a request runs in the turn for its fingerprint.
    pub(super) fn is_in_turn(&self, fingerprint: Fingerprint, ticket: Ticket) -> bool {
        let found = self.turns.find_wanted(fingerprint);
        found.is_ok_and(|at| self.turns.wanted[at].stage == Stage::Running(ticket))
    }

    /// Ends the turn of a request that is no longer in flight, if it had one.
    pub(super) fn end_turn(&mut self, fingerprint: Fingerprint, ticket: Ticket) {
        if let Ok(at) = self.turns.find_wanted(fingerprint)
            && self.turns.wanted[at].stage == Stage::Running(ticket)
        {
            self.drop_turn(at);
        }
    }

    /// Forgets a wanted turn, and gives it back if this instance has it.
    fn drop_turn(&mut self, at: usize) {
        let wanted = self.turns.wanted.remove(at);
        if matches!(wanted.stage, Stage::Asking { .. }) {
            return;
        }
        let own = &self.identity;
        if wanted.giver == own.name {
            self.turns
                .take_back(wanted.fingerprint, &own.name, own.incarnation);
        } else {
            self.turns.over.push((wanted.giver, wanted.fingerprint));
            self.is_ask_due = true;
        }
    }

    /// Whether [`Direct::turn_asks`] is to be called at [`ASK_INTERVAL`].
    #[must_use]
    pub fn is_asking_turns(&self) -> bool {
        self.turns.is_asking()
    }

    /// Messages about turns that are due, with the addresses that they go to.
    pub fn turn_asks(&mut self, now: Time) -> Vec<(SocketAddr, TurnAsk)> {
        self.is_ask_due = false;
        self.sweep_turns(now);
        let mut due = Vec::new();
        for (giver, fingerprint) in core::mem::take(&mut self.turns.over) {
            due.push((giver, fingerprint, true));
        }
        for wanted in &mut self.turns.wanted {
            let Stage::Asking { asked_at, .. } = &mut wanted.stage else {
                continue;
            };
            if asked_at.is_none_or(|at| now.since(at) >= ASK_INTERVAL) {
                *asked_at = Some(now);
                due.push((Arc::clone(&wanted.giver), wanted.fingerprint, false));
            }
        }
        let message = |(giver, fingerprint, is_over): (Arc<str>, Fingerprint, bool)| {
            let addr = self.members.registration(&giver)?.heartbeats;
            let ask = TurnAsk {
                name: Arc::clone(&self.identity.name),
                incarnation: self.identity.incarnation,
                report: self.suspects.report(now, fingerprint)?,
                is_over,
            };
            Some((addr, ask))
        };
        due.into_iter().filter_map(message).collect()
    }

    /// Drops turns that nobody waits for, and passes over givers that don't answer.
    fn sweep_turns(&mut self, now: Time) {
        self.turns.given.retain(|g| now < g.until);
        for at in (0..self.turns.wanted.len()).rev() {
            let wanted = &self.turns.wanted[at];
            let fingerprint = wanted.fingerprint;
            let is_due = match wanted.stage {
                Stage::Asking { .. } => !self.has_waiting_copy(fingerprint),
                Stage::Given { until } => now >= until,
                Stage::Running(_) => false,
            };
            if is_due {
                self.drop_turn(at);
            } else if let Stage::Asking { waits_since, .. } = wanted.stage
                && wanted.giver != self.identity.name
                && now.since(waits_since) >= ANSWER_TIMEOUT
            {
                let passed_over = wanted.passed_over + 1;
                let giver = self.turn_giver(now, fingerprint, passed_over);
                let wanted = &mut self.turns.wanted[at];
                wanted.giver = giver;
                wanted.passed_over = passed_over;
                wanted.stage = Stage::Asking {
                    asked_at: None,
                    waits_since: now,
                };
            }
        }
    }

    fn has_waiting_copy(&self, fingerprint: Fingerprint) -> bool {
        self.jobs.iter().any(|job| {
            job.request.fingerprint == fingerprint && matches!(job.state, State::Waiting)
        })
    }

    /// Answers an instance that asks for a turn; `None` if it ends one.
    pub fn receive_turn_ask(&mut self, now: Time, ask: &TurnAsk) -> Option<TurnAnswer> {
        let fingerprint = ask.report.fingerprint;
        self.receive_suspects(now, &ask.name, &[ask.report]);
        if ask.is_over {
            self.turns
                .take_back(fingerprint, &ask.name, ask.incarnation);
            return None;
        }
        let report = self.suspects.report(now, fingerprint)?;
        let is_open = (1..ANSWERED_STRIKES_MAX).contains(&report.strikes);
        let is_given = is_open
            && self
                .turns
                .give(now, fingerprint, &ask.name, ask.incarnation);
        Some(TurnAnswer {
            name: Arc::clone(&self.identity.name),
            incarnation: ask.incarnation,
            report,
            is_given,
        })
    }

    /// Takes the answer of the instance that gives turns.
    pub fn receive_turn_answer(&mut self, now: Time, answer: &TurnAnswer) {
        if answer.incarnation != self.identity.incarnation {
            return;
        }
        let fingerprint = answer.report.fingerprint;
        self.receive_suspects(now, &answer.name, &[answer.report]);
        let found = self.turns.find_wanted(fingerprint);
        let asking = found.ok().filter(|at| {
            let wanted = &self.turns.wanted[*at];
            wanted.giver == answer.name && matches!(wanted.stage, Stage::Asking { .. })
        });
        match asking {
            Some(at) if answer.is_given => {
                self.turns.wanted[at].stage = Stage::Given {
                    until: now + START_SPAN,
                };
                if !self.has_waiting_copy(fingerprint) {
                    self.drop_turn(at);
                }
            }
            Some(at) => {
                if let Stage::Asking { waits_since, .. } = &mut self.turns.wanted[at].stage {
                    *waits_since = now;
                }
            }
            // Answers to repeated askings arrive while the turn is used.
            None if answer.is_given && found.is_err() => {
                let giver = Arc::clone(&answer.name);
                self.turns.over.push((giver, fingerprint));
                self.is_ask_due = true;
            }
            None => {}
        }
    }
}
