//! Links between instances and targets that are cut: relays, and attempts that end without
//! an answer.

use steer::process::direct::{AttemptOutcome, Ticket};

use super::CONNECT;
use crate::world::{Event, Reply, Sent, World};

impl World<'_> {
    /// The instance that sends for another one, if it does.
    pub(super) fn relay(&self, sender: usize, name: &str) -> Option<usize> {
        let relay = self.instances.iter().position(|i| *i.name == *name)?;
        let (from, to) = (self.instances[sender].region, self.instances[relay].region);
        let is_there = self.instances[relay].up && !self.is_cut(from, to);
        (is_there && !self.is_unlinked(relay)).then_some(relay)
    }

    /// An attempt that steering gives up.
    pub(super) fn give_up(&mut self, number: usize, ticket: Ticket) {
        let asks = &mut self.instances[number].asks;
        let Ok(at) = asks.binary_search_by_key(&ticket, |a| a.ticket) else {
            return;
        };
        let (request, current) = (asks[at].request, asks[at].current);
        if let Some(target) = asks[at].at.take() {
            self.cancel(target, request, current);
        }
        self.unsent(number, ticket, AttemptOutcome::GivenUp);
    }

    /// The connections of an instance to all targets break.
    pub(in crate::world) fn break_links(&mut self, number: usize) {
        let held = self.instances[number].asks.clone();
        for held in held {
            if let Some(target) = held.at {
                self.cancel(target, held.request, held.current);
                self.unsent(number, held.ticket, AttemptOutcome::ConnectionLost);
            }
        }
    }

    pub(super) fn lost(&mut self, number: usize, ticket: Ticket) {
        self.unsent(number, ticket, AttemptOutcome::Unreachable);
    }

    /// Ends an attempt of which no answer comes.
    pub(super) fn unsent(&mut self, number: usize, ticket: Ticket, ending: AttemptOutcome) {
        let life = self.instances[number].life;
        let sent = Sent {
            request: 0,
            current: 0,
            target: 0,
            born: 0,
            from: Some((number, life, ticket)),
            region: self.instances[number].region,
            until: self.now,
        };
        // Connecting takes its time; what breaks or is refused shows at once.
        let delay = match ending {
            AttemptOutcome::Unreachable => CONNECT,
            _ => 0,
        };
        self.after(
            delay,
            Event::Back {
                sent,
                ending,
                reply: Reply::default(),
            },
        );
    }
}
