//! How old this instance's knowledge of keys may be, and whether a request is allowed.
//!
//! Invariant: the age is never underestimated.

use super::super::Direct;
use super::super::message::{Rejection, Request};
use super::{
    Access, Authorized, CLOCK_MARGIN, Credential, SHED_CALLERS_RATIO, STORE_FAILURE_WINDOW,
    UNKNOWN_KEY_STALENESS_MAX,
};
use crate::clock::Time;
use crate::version::routes::{Route, Routes};
use core::time::Duration;
use std::sync::Arc;

impl Direct {
    /// Records that everything the store held at `at` is known and applied.
    pub fn confirm_up_to(&mut self, at: Time) {
        self.confirmed.at = self.confirmed.at.max(Some(at));
    }

    /// Records that a configuration arrived that can't be parsed, so the one in force
    /// may be out of date.
    pub const fn config_unreadable(&mut self) {
        self.confirmed.is_config_unreadable = true;
    }

    /// Records that the latest configuration was parsed, whether or not it is newer.
    pub(in crate::process::direct) const fn config_readable(&mut self) {
        self.confirmed.is_config_unreadable = false;
    }

    /// Upper bound of the age of what is known of keys: the lag behind the store, or
    /// `None` before the first answer and while the latest configuration can't be parsed.
    #[must_use]
    pub fn staleness(&self, now: Time) -> Option<Duration> {
        self.lag(now)
            .filter(|_| !self.confirmed.is_config_unreadable)
    }

    /// Returns whether a revoked key would be refused here in time. An instance that
    /// can read the store is held to the smaller of the two bounds, one that can't to
    /// the revocation bound.
    #[must_use]
    pub fn has_current_keys(&self, now: Time) -> bool {
        let is_store_failed = self
            .failed_upstreams
            .is_store_failed_within(now, STORE_FAILURE_WINDOW);
        let lag = self.key_lag_bound().filter(|_| !is_store_failed);
        self.is_staleness_below(now, |bound| {
            lag.unwrap_or(bound).min(bound).saturating_sub(CLOCK_MARGIN)
        })
    }

    /// Returns whether callers with keys should be sent here.
    #[must_use]
    pub fn is_fit_for_callers(&self, now: Time) -> bool {
        self.is_staleness_below(now, |bound| bound.mul_f64(SHED_CALLERS_RATIO))
    }

    /// Checks the key of a request.
    #[must_use]
    pub fn access(
        &self,
        now: Time,
        routes: &Routes,
        route: &Route,
        credential: Credential,
    ) -> Access {
        if routes.teams.is_empty() {
            return Access::Open;
        }
        let known = match credential {
            Credential::Key(key) => routes.teams.find(&key).map(|team| (key, team)),
            Credential::Missing | Credential::Malformed => None,
        };
        match known {
            Some((key, team)) if route.is_public || self.has_current_keys(now) => {
                Access::Granted(Authorized {
                    team: Arc::clone(team),
                    key,
                })
            }
            None if route.is_public => Access::Open,
            None if self.has_recent_config(now) => Access::Denied,
            _ => Access::KeysStale,
        }
    }

    /// Reason for not sending a request now that was authorized on arrival.
    pub(in crate::process::direct) fn withhold_reason(
        &self,
        now: Time,
        request: &Request,
    ) -> Option<Rejection> {
        let authorized = request
            .authorized
            .as_ref()
            .filter(|_| !request.route.is_public)?;
        let known = self
            .routes
            .as_ref()
            .and_then(|r| r.teams.find(&authorized.key));
        match known {
            None => Some(Rejection::Denied),
            Some(team) if team.name != authorized.team.name => Some(Rejection::KeyMoved),
            Some(_) => (!self.has_current_keys(now)).then_some(Rejection::KeysStale),
        }
    }

    /// Bound on revoked keys; `None` if there are certainly no keys.
    fn revocation_bound(&self) -> Option<Duration> {
        let has_no_keys = self.routes.as_ref().is_some_and(|r| r.teams.is_empty());
        self.bounds.access.revocation.filter(|_| !has_no_keys)
    }

    /// Largest age of what is known of keys while the store can be read; `None` without
    /// a revocation bound.
    fn key_lag_bound(&self) -> Option<Duration> {
        let revocation = self.revocation_bound()?;
        let config = self.bounds.access.config;
        Some(config.map_or(revocation, |config| config.min(revocation)))
    }

    fn is_staleness_below(&self, now: Time, limit: impl Fn(Duration) -> Duration) -> bool {
        match self.revocation_bound() {
            Some(bound) => self.staleness(now).is_some_and(|age| age < limit(bound)),
            None => true,
        }
    }

    /// Returns whether a key added within the configuration's bound would be known
    /// here.
    fn has_recent_config(&self, now: Time) -> bool {
        let bound = self
            .bounds
            .access
            .config
            .unwrap_or(UNKNOWN_KEY_STALENESS_MAX);
        self.staleness(now).is_some_and(|age| age < bound)
    }
}
