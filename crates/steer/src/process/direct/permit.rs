//! Permits to run requests that are suspected of crashing targets: of each, one copy runs
//! at a time over all instances, and its outcome decides what becomes of the others.
//!
//! The first of the instances that are present, by a hash of their names and the
//! request's fingerprint, issues the permits for it. An instance with a copy that waits
//! requests one; an issuer that doesn't reply is skipped. Each message tells what its
//! sender holds against the request, so a permit is issued on the newest outcome.
//!
//! Invariants: an instance issues one permit at a time for a request, each for
//! [`PERMIT_TTL`] at most; a permit that isn't used within [`USE_TIMEOUT`] is released.
//! Two copies can run at once only if their instances don't reach the same issuer, or if
//! the issuer was started anew, or if a copy runs for longer than its permit.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::job::State;
use super::suspect::ANSWERED_STRIKES_MAX;
use super::{Direct, Ticket, hash};
use crate::clock::Time;
use crate::request::arrival::Fingerprint;
use crate::request::poison::Report;

/// Longest time for which a permit is issued.
const PERMIT_TTL: Duration = Duration::from_secs(3);

/// Time in which a permit must be used.
const USE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between two requests for a permit.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Time without a reply after which the next issuer is tried. Several round trips
/// between the farthest regions.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Requests a permit, or releases one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Name of the sender.
    pub name: Arc<str>,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// What the sender holds against the request.
    pub report: Report,
    /// Whether the sender releases its permit.
    pub is_release: bool,
}

/// Reply to [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitReply {
    /// Name of the sender.
    pub name: Arc<str>,
    /// Incarnation of the instance that requested.
    pub incarnation: u64,
    /// What the sender holds against the request.
    pub report: Report,
    /// Whether the instance that requested may run a copy.
    pub is_granted: bool,
}

/// Permit that this instance has issued.
#[derive(Clone, Debug)]
struct Issued {
    fingerprint: Fingerprint,
    holder: Arc<str>,
    incarnation: u64,
    until: Time,
}

/// Progress of a permit that this instance wants.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Time of the last request, and of the last reply or the first request.
    Requested {
        sent_at: Option<Time>,
        waits_since: Time,
    },
    /// It may begin until then.
    Granted { until: Time },
    /// This request runs.
    Running(Ticket),
}

/// Permit that this instance wants or holds.
#[derive(Clone, Debug)]
struct Wanted {
    fingerprint: Fingerprint,
    issuer: Arc<str>,
    /// Number of issuers that were skipped.
    skipped: usize,
    stage: Stage,
}

/// Permits issued and wanted, each sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub(super) struct Permits {
    issued: Vec<Issued>,
    wanted: Vec<Wanted>,
    /// Permits to be released, with their issuers.
    released: Vec<(Arc<str>, Fingerprint)>,
}

impl Permits {
    /// Issues a permit unless another instance holds it.
    fn issue(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        holder: &Arc<str>,
        incarnation: u64,
    ) -> bool {
        let permit = Issued {
            fingerprint,
            holder: Arc::clone(holder),
            incarnation,
            until: now + PERMIT_TTL,
        };
        match self.find_issued(fingerprint) {
            Ok(at) => {
                let held = &mut self.issued[at];
                let is_free = now >= held.until || *held.holder == **holder;
                if is_free {
                    *held = permit;
                }
                is_free
            }
            Err(at) => {
                self.issued.insert(at, permit);
                true
            }
        }
    }

    /// Takes back the permit of this holder.
    fn revoke(&mut self, fingerprint: Fingerprint, holder: &str, incarnation: u64) {
        if let Ok(at) = self.find_issued(fingerprint)
            && *self.issued[at].holder == *holder
            && self.issued[at].incarnation == incarnation
        {
            self.issued.remove(at);
        }
    }

    fn find_issued(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.issued
            .binary_search_by_key(&fingerprint, |g| g.fingerprint)
    }

    fn find_wanted(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.wanted
            .binary_search_by_key(&fingerprint, |w| w.fingerprint)
    }

    /// Whether permits are wanted or to be released.
    fn is_pending(&self) -> bool {
        !self.released.is_empty() || !self.wanted.is_empty()
    }
}

impl Direct {
    /// Whether this instance may run a copy of a suspect now; requests a permit if not.
    pub(super) fn has_permit(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        if let Ok(at) = self.permits.find_wanted(fingerprint)
            && matches!(self.permits.wanted[at].stage, Stage::Granted { until } if now >= until)
        {
            self.drop_permit(at);
        }
        let at = match self.permits.find_wanted(fingerprint) {
            Ok(at) => at,
            Err(at) => {
                let wanted = Wanted {
                    fingerprint,
                    issuer: self.permit_issuer(now, fingerprint, 0),
                    skipped: 0,
                    stage: Stage::Requested {
                        sent_at: None,
                        waits_since: now,
                    },
                };
                self.permits.wanted.insert(at, wanted);
                self.is_permit_request_due = true;
                at
            }
        };
        match self.permits.wanted[at].stage {
            Stage::Granted { .. } => true,
            Stage::Running(_) => false,
            Stage::Requested { .. } => {
                let issuer = Arc::clone(&self.permits.wanted[at].issuer);
                let own = &self.identity;
                let is_granted = issuer == own.name
                    && self
                        .permits
                        .issue(now, fingerprint, &own.name, own.incarnation);
                if is_granted {
                    self.permits.wanted[at].stage = Stage::Granted {
                        until: now + USE_TIMEOUT,
                    };
                }
                is_granted
            }
        }
    }

    /// The instance that issues permits for a request, after skipping some.
    fn permit_issuer(&self, now: Time, fingerprint: Fingerprint, skipped: usize) -> Arc<str> {
        let rank = |name: &Arc<str>| hash(format!("{fingerprint} {name}").as_bytes());
        let others = self.others(now).map(|(name, _)| name);
        let mut all: Vec<&Arc<str>> = others.chain([&self.identity.name]).collect();
        all.sort_by_key(|name| rank(name));
        Arc::clone(all[skipped % all.len()])
    }

    /// Records that a request is sent; it uses the permit for its fingerprint.
    pub(super) fn use_permit(&mut self, fingerprint: Fingerprint, ticket: Ticket) {
        if let Ok(at) = self.permits.find_wanted(fingerprint)
            && matches!(self.permits.wanted[at].stage, Stage::Granted { .. })
        {
            self.permits.wanted[at].stage = Stage::Running(ticket);
        }
    }

    /// Whether a request runs under the permit for its fingerprint.
    pub(super) fn holds_permit(&self, fingerprint: Fingerprint, ticket: Ticket) -> bool {
        let found = self.permits.find_wanted(fingerprint);
        found.is_ok_and(|at| self.permits.wanted[at].stage == Stage::Running(ticket))
    }

    /// Releases the permit of a request that is no longer in flight, if it had one.
    pub(super) fn release_permit(&mut self, fingerprint: Fingerprint, ticket: Ticket) {
        if let Ok(at) = self.permits.find_wanted(fingerprint)
            && self.permits.wanted[at].stage == Stage::Running(ticket)
        {
            self.drop_permit(at);
        }
    }

    /// Forgets a wanted permit, and releases it if this instance holds it.
    fn drop_permit(&mut self, at: usize) {
        let wanted = self.permits.wanted.remove(at);
        if matches!(wanted.stage, Stage::Requested { .. }) {
            return;
        }
        let own = &self.identity;
        if wanted.issuer == own.name {
            self.permits
                .revoke(wanted.fingerprint, &own.name, own.incarnation);
        } else {
            self.permits
                .released
                .push((wanted.issuer, wanted.fingerprint));
            self.is_permit_request_due = true;
        }
    }

    /// Whether [`Direct::permit_requests`] is to be called at [`REQUEST_INTERVAL`].
    #[must_use]
    pub fn is_requesting_permits(&self) -> bool {
        self.permits.is_pending()
    }

    /// Requests and releases that are due, with the addresses that they go to.
    pub fn permit_requests(&mut self, now: Time) -> Vec<(SocketAddr, PermitRequest)> {
        self.is_permit_request_due = false;
        self.sweep_permits(now);
        let mut due = Vec::new();
        for (issuer, fingerprint) in core::mem::take(&mut self.permits.released) {
            due.push((issuer, fingerprint, true));
        }
        for wanted in &mut self.permits.wanted {
            let Stage::Requested { sent_at, .. } = &mut wanted.stage else {
                continue;
            };
            if sent_at.is_none_or(|at| now.since(at) >= REQUEST_INTERVAL) {
                *sent_at = Some(now);
                due.push((Arc::clone(&wanted.issuer), wanted.fingerprint, false));
            }
        }
        let message = |(issuer, fingerprint, is_release): (Arc<str>, Fingerprint, bool)| {
            let addr = self.members.registration(&issuer)?.heartbeats;
            let request = PermitRequest {
                name: Arc::clone(&self.identity.name),
                incarnation: self.identity.incarnation,
                report: self.suspects.report(now, fingerprint)?,
                is_release,
            };
            Some((addr, request))
        };
        due.into_iter().filter_map(message).collect()
    }

    /// Drops permits that nobody waits for, and skips issuers that don't reply.
    fn sweep_permits(&mut self, now: Time) {
        self.permits.issued.retain(|g| now < g.until);
        for at in (0..self.permits.wanted.len()).rev() {
            let wanted = &self.permits.wanted[at];
            let fingerprint = wanted.fingerprint;
            let is_due = match wanted.stage {
                Stage::Requested { .. } => !self.has_waiting_copy(fingerprint),
                Stage::Granted { until } => now >= until,
                Stage::Running(_) => false,
            };
            if is_due {
                self.drop_permit(at);
            } else if let Stage::Requested { waits_since, .. } = wanted.stage
                && wanted.issuer != self.identity.name
                && now.since(waits_since) >= REPLY_TIMEOUT
            {
                let skipped = wanted.skipped + 1;
                let issuer = self.permit_issuer(now, fingerprint, skipped);
                let wanted = &mut self.permits.wanted[at];
                wanted.issuer = issuer;
                wanted.skipped = skipped;
                wanted.stage = Stage::Requested {
                    sent_at: None,
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

    /// Replies to an instance that requests a permit; `None` if it releases one.
    pub fn receive_permit_request(
        &mut self,
        now: Time,
        request: &PermitRequest,
    ) -> Option<PermitReply> {
        let fingerprint = request.report.fingerprint;
        self.receive_suspects(now, &request.name, &[request.report]);
        if request.is_release {
            self.permits
                .revoke(fingerprint, &request.name, request.incarnation);
            return None;
        }
        let report = self.suspects.report(now, fingerprint)?;
        let is_open = (1..ANSWERED_STRIKES_MAX).contains(&report.strikes);
        let is_granted = is_open
            && self
                .permits
                .issue(now, fingerprint, &request.name, request.incarnation);
        Some(PermitReply {
            name: Arc::clone(&self.identity.name),
            incarnation: request.incarnation,
            report,
            is_granted,
        })
    }

    /// Takes the reply of an issuer.
    pub fn receive_permit_reply(&mut self, now: Time, reply: &PermitReply) {
        if reply.incarnation != self.identity.incarnation {
            return;
        }
        let fingerprint = reply.report.fingerprint;
        self.receive_suspects(now, &reply.name, &[reply.report]);
        let found = self.permits.find_wanted(fingerprint);
        let pending = found.ok().filter(|at| {
            let wanted = &self.permits.wanted[*at];
            wanted.issuer == reply.name && matches!(wanted.stage, Stage::Requested { .. })
        });
        // Whether this is the issuer of a permit that was granted before.
        let is_used = found.is_ok_and(|at| self.permits.wanted[at].issuer == reply.name);
        match pending {
            Some(at) if reply.is_granted => {
                self.permits.wanted[at].stage = Stage::Granted {
                    until: now + USE_TIMEOUT,
                };
                if !self.has_waiting_copy(fingerprint) {
                    self.drop_permit(at);
                }
            }
            Some(at) => {
                if let Stage::Requested { waits_since, .. } = &mut self.permits.wanted[at].stage {
                    *waits_since = now;
                }
            }
            // Replies to repeated requests arrive while the permit is used.
            None if reply.is_granted && !is_used => {
                let issuer = Arc::clone(&reply.name);
                self.permits.released.push((issuer, fingerprint));
                self.is_permit_request_due = true;
            }
            None => {}
        }
    }
}
