//! Entry instances: the product's decisions, driven as its process drives them.
//!
//! Invariant: an instance learns nothing but by the platform's store, by
//! heartbeats, and by what comes back to it, each by its own clock, which starts
//! at zero with its process.

mod knowledge;
mod links;

use core::net::{Ipv4Addr, SocketAddr};
use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::direct::members::Registration;
use steer::process::direct::target::Feedback;
use steer::process::direct::{
    Assignment, AttemptOutcome, Decision, Direct, FollowUp, Identity, Rejection, Request,
    STEP_INTERVAL_MAX, Ticket, hash,
};
use steer::request::arrival::Fingerprint;

pub(super) use knowledge::LAPSE;

use super::{Event, Micros, Reply, Sent, World, micros};
use crate::brain::Brain;
use crate::plan::Plan;

/// Time from a process's start until it has read the store.
const START: Micros = 200_000;

/// Between two heartbeats, as the process sends them.
const BEAT: Micros = 250_000;

/// Time after which a connection that isn't answered is given up, unsent.
const CONNECT: Micros = 300_000;

/// Time to open a connection to a target, beyond the way.
const HANDSHAKE: Micros = 1_000;

/// An instance.
#[derive(Debug)]
pub(super) struct Instance {
    pub name: Arc<str>,
    pub domain: usize,
    pub region: usize,
    /// Counts its processes.
    pub life: u64,
    pub boot: Micros,
    /// Whether its process runs.
    pub up: bool,
    pub direct: Option<Direct>,
    pub asks: Vec<Held>,
    ticking: bool,
    beats: u64,
}

/// A request that is at an instance.
#[derive(Clone, Debug)]
pub(super) struct Held {
    ticket: Ticket,
    request: usize,
    current: u32,
    /// Target that it is at.
    at: Option<usize>,
    may_have_run: bool,
}

/// All instances of a plan, none of them started.
pub(super) fn all(plan: &Plan, region_of: &[usize]) -> Vec<Instance> {
    let mut instances = Vec::new();
    for (domain, known) in plan.domains.iter().enumerate() {
        for number in 0..known.instances {
            instances.push(Instance {
                name: format!("{}-{number}", known.name).into(),
                domain,
                region: region_of[domain],
                life: 0,
                boot: 0,
                up: false,
                direct: None,
                asks: Vec::new(),
                ticking: false,
                beats: 0,
            });
        }
    }
    instances
}

fn anywhere() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// Where an instance's heartbeats go, by which it is found again.
fn address(number: usize) -> SocketAddr {
    let number = u32::try_from(number).unwrap_or(u32::MAX);
    (Ipv4Addr::from_bits(number), 1).into()
}

/// The instance of such an address.
fn number(addr: SocketAddr) -> Option<usize> {
    match addr {
        SocketAddr::V4(addr) => usize::try_from(addr.ip().to_bits()).ok(),
        SocketAddr::V6(_) => None,
    }
}

impl World<'_> {
    fn row(&self, number: usize) -> Registration {
        let instance = &self.instances[number];
        Registration {
            region: Arc::clone(&self.regions[instance.region]),
            domain: Arc::clone(&self.plan.domains[instance.domain].name),
            callers: anywhere(),
            peers: anywhere(),
            heartbeats: address(number),
        }
    }

    fn clock(&self, instance: usize) -> Time {
        Time::from_micros(self.now - self.instances[instance].boot)
    }

    /// A process starts.
    pub(super) fn restart(&mut self, number: usize) {
        self.instances[number].up = true;
        let Brain::Product(mechanisms) = self.brain else {
            return;
        };
        let row = self.row(number);
        let instance = &mut self.instances[number];
        instance.life += 1;
        instance.boot = self.now;
        let home = Identity {
            name: Arc::clone(&instance.name),
            region: Arc::clone(&self.regions[instance.region]),
            incarnation: instance.life,
            registration: row,
        };
        let domains = self.plan.domains.iter();
        let domains = domains.map(|d| (Arc::clone(&d.name), Arc::clone(&d.region)));
        let direct = Direct::with(home, self.plan.bounds, domains.collect(), mechanisms);
        instance.direct = Some(direct);
        instance.asks.clear();
        instance.ticking = false;
        let life = instance.life;
        self.after(
            START,
            Event::Learn {
                instance: number,
                life,
            },
        );
        let beat = self.rng.u64(0..BEAT);
        self.after(beat, Event::Beat(number));
        self.tell_members(number);
    }

    /// The process ends, and with it all that was at it.
    pub(super) fn kill(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.up = false;
        instance.direct = None;
        let asks = core::mem::take(&mut instance.asks);
        for held in asks {
            if let Some(target) = held.at {
                self.cancel(target, held.request, held.current);
            }
            if self.requests[held.request].current == held.current {
                self.failed(held.request);
            }
        }
        self.central_kill(number);
    }

    /// A request reaches the instance that its caller has chosen.
    pub(super) fn come(&mut self, request: usize, current: u32) {
        let known = &self.requests[request];
        if known.current != current || known.end.is_some() {
            return;
        }
        let region = self.region_of[known.at];
        let up = |n: &usize| self.instances[*n].up;
        let near: Vec<usize> = (0..self.instances.len())
            .filter(|n| self.instances[*n].region == region)
            .filter(up)
            .collect();
        let all: Vec<usize> = (0..self.instances.len()).filter(up).collect();
        let fit = if near.is_empty() { all } else { near };
        if fit.is_empty() {
            self.unanswered(request);
            return;
        }
        let number = fit[self.rng.usize(0..fit.len())];
        if matches!(self.brain, Brain::Product(_)) {
            self.take(number, request, current);
        } else {
            self.central_come(request, current, number);
        }
    }

    fn take(&mut self, number: usize, request: usize, current: u32) {
        let now = self.clock(number);
        let known = &self.requests[request];
        let kind = &self.plan.kinds[known.kind];
        let left = Duration::from_micros(known.until.saturating_sub(self.now));
        let object = known.object;
        let Some(direct) = &mut self.instances[number].direct else {
            return;
        };
        let found = direct
            .routes()
            .and_then(|r| r.find("host", &path(&kind.name)));
        let Some(route) = found.cloned() else {
            self.rejected(request, 500_000);
            return;
        };
        let ask = Request {
            route,
            authorized: None,
            object: Some(object),
            deadline: now + left,
            fingerprint: Fingerprint(u128::from(hash(&request.to_le_bytes()))),
        };
        match direct.submit(now, ask) {
            Err(_) => self.rejected(request, 500_000),
            Ok(ticket) => {
                let limit = direct.time_limit(ticket).unwrap_or(now);
                let instance = &mut self.instances[number];
                instance.asks.push(Held {
                    ticket,
                    request,
                    current,
                    at: None,
                    may_have_run: false,
                });
                let (life, boot) = (instance.life, instance.boot);
                let at = boot + limit.as_micros();
                let event = Event::Limit {
                    instance: number,
                    life,
                    ticket,
                };
                self.at(at.max(self.now), event);
                self.pump(number);
            }
        }
    }

    /// Hands out what an instance has decided.
    fn pump(&mut self, number: usize) {
        let now = self.clock(number);
        let Some(direct) = &mut self.instances[number].direct else {
            return;
        };
        for order in direct.step(now) {
            match order {
                Decision::Send(go) => self.go(number, &go),
                Decision::Reject {
                    ticket,
                    reason,
                    retry_after,
                    ..
                } => {
                    self.turn_away(number, ticket, reason, retry_after);
                }
                Decision::GiveUp { ticket } => self.give_up(number, ticket),
            }
        }
        let instance = &mut self.instances[number];
        let waits = instance
            .direct
            .as_ref()
            .is_some_and(|d| d.waiting_count() > 0);
        if waits && !instance.ticking {
            instance.ticking = true;
            self.after(micros(STEP_INTERVAL_MAX), Event::Tick(number));
        }
    }

    pub(super) fn tick(&mut self, number: usize) {
        self.instances[number].ticking = false;
        self.pump(number);
    }

    fn turn_away(&mut self, number: usize, ticket: Ticket, why: Rejection, after: Duration) {
        let Some(held) = self.drop_ask(number, ticket) else {
            return;
        };
        if self.requests[held.request].current != held.current {
            return;
        }
        if matches!(why, Rejection::OutcomeUnknown) || held.may_have_run {
            self.failed(held.request);
        } else {
            self.rejected(held.request, micros(after));
        }
    }

    fn drop_ask(&mut self, number: usize, ticket: Ticket) -> Option<Held> {
        let asks = &mut self.instances[number].asks;
        let at = asks.binary_search_by_key(&ticket, |a| a.ticket).ok()?;
        Some(asks.remove(at))
    }

    fn go(&mut self, number: usize, go: &Assignment) {
        let Some(target) = self.targets.iter().position(|t| t.name == go.target) else {
            // It is gone, and nobody has its address.
            self.lost(number, go.ticket);
            return;
        };
        let instance = &mut self.instances[number];
        let (domain, region, life, boot) = (
            instance.domain,
            instance.region,
            instance.life,
            instance.boot,
        );
        let limit = instance
            .direct
            .as_ref()
            .and_then(|d| d.time_limit(go.ticket));
        let until = limit.map_or(self.now, |l| boot + l.as_micros());
        let Ok(at) = instance.asks.binary_search_by_key(&go.ticket, |a| a.ticket) else {
            return;
        };
        instance.asks[at].at = Some(target);
        let (request, current) = (instance.asks[at].request, instance.asks[at].current);
        let place = &self.targets[target];
        let (to, there, born) = (place.domain, place.region, place.born);
        self.note_sent(region, there != region);
        let relay = match &go.relay {
            None => None,
            Some(relay) => match self.relay(number, &relay.name) {
                Some(relay) => Some(relay),
                None => return self.unsent(number, go.ticket, AttemptOutcome::RelayRefused),
            },
        };
        let is_unlinked = relay.is_none() && self.is_unlinked(number);
        // A relay has both ways more.
        let hop = relay.map_or(0, |relay| {
            self.way(domain, self.instances[relay].domain) * 2
        });
        let domain = relay.map_or(domain, |relay| self.instances[relay].domain);
        let way = self.way(domain, to) + hop;
        let unsafe_way = if self.kind(request).idempotent {
            way
        } else {
            way * 3 + HANDSHAKE
        };
        let sent = Sent {
            request,
            current,
            target,
            born,
            from: Some((number, life, go.ticket)),
            region,
            until,
        };
        if is_unlinked || self.is_cut(region, there) {
            let ending = AttemptOutcome::Unreachable;
            self.after(
                CONNECT,
                Event::Back {
                    sent,
                    ending,
                    reply: Reply::default(),
                },
            );
        } else {
            self.after(unsafe_way, Event::Land(sent));
        }
    }

    /// An attempt has ended.
    pub(super) fn back(&mut self, sent: &Sent, ending: AttemptOutcome, reply: Reply) {
        let Some((number, life, ticket)) = sent.from else {
            self.central_back(sent, ending);
            return;
        };
        if self.instances[number].life != life {
            return;
        }
        let now = self.clock(number);
        let instance = &mut self.instances[number];
        let Ok(at) = instance.asks.binary_search_by_key(&ticket, |a| a.ticket) else {
            return;
        };
        instance.asks[at].may_have_run |= !ending.is_not_run();
        instance.asks[at].at = None;
        let held = instance.asks[at].clone();
        let Some(direct) = &mut instance.direct else {
            return;
        };
        let feedback = Feedback {
            load: (reply.load > 0).then_some(reply.load),
            slowdown: None,
            limit: None,
            backoff: (reply.backoff > 0).then(|| Duration::from_micros(reply.backoff)),
            is_leaving: reply.is_leaving,
        };
        if feedback != Feedback::default() {
            let name = &self.targets[sent.target].name;
            direct.apply_feedback(now, name, sent.born, feedback);
        }
        let next = direct.finish_attempt(now, ticket, ending);
        match next {
            FollowUp::Retry => {}
            FollowUp::Settled => {
                self.drop_ask(number, ticket);
                if self.requests[held.request].current == held.current {
                    let far = self.targets[sent.target].region != sent.region;
                    match ending {
                        AttemptOutcome::Answered => self.answered(held.request, far),
                        _ => self.failed(held.request),
                    }
                }
            }
            FollowUp::Reject { retry_after } => {
                self.turn_away(number, ticket, Rejection::Overload, retry_after);
            }
        }
        self.pump(number);
    }

    /// The time that caller and operator allow a request is over.
    pub(super) fn limit(&mut self, number: usize, life: u64, ticket: Ticket) {
        if self.instances[number].life != life {
            return;
        }
        let Some(held) = self.drop_ask(number, ticket) else {
            return;
        };
        let now = self.clock(number);
        if let Some(direct) = &mut self.instances[number].direct {
            if held.at.is_some() {
                direct.finish_attempt(now, ticket, AttemptOutcome::TimedOut);
            }
            direct.cancel(now, ticket);
        }
        if let Some(target) = held.at {
            self.cancel(target, held.request, held.current);
        }
        if self.requests[held.request].current == held.current {
            if held.at.is_some() || held.may_have_run {
                self.failed(held.request);
            } else {
                self.rejected(held.request, 0);
            }
        }
        self.pump(number);
    }

    /// A caller has left: its request is taken out wherever it is.
    pub(super) fn forget(&mut self, request: usize) {
        for number in 0..self.instances.len() {
            let asks = &self.instances[number].asks;
            let Some(held) = asks.iter().find(|a| a.request == request).cloned() else {
                continue;
            };
            self.drop_ask(number, held.ticket);
            let now = self.clock(number);
            if let Some(direct) = &mut self.instances[number].direct {
                direct.cancel(now, held.ticket);
            }
            if let Some(target) = held.at {
                self.cancel(target, held.request, held.current);
            }
            self.pump(number);
        }
        self.central_forget(request);
    }
}

fn path(kind: &str) -> String {
    format!("/{kind}/")
}
