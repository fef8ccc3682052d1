//! Cross-region spillover: the share of a service's requests that runs in other
//! regions.
//!
//! The operator bounds how far that share may change from one window of
//! [`BOUND_WINDOW`] to the next. Overflow by random choice breaks the bound at low
//! rates by chance alone, and overflow that follows the load breaks it whenever a
//! burst begins or ends. So the share is a state of its own. It rises while more
//! than a few requests would be better off in another region; it falls while
//! hardly any would and the local region has room for all of its requests. Requests
//! are assigned by it one by one, whether or not the single request would be
//! better off.
//!
//! Invariants: the share moves by at most [`Spillover::rate`] per second; the
//! count of requests sent to other regions stays within [`CREDIT_BAND`] and one
//! request of the share.

use core::time::Duration;

use crate::clock::Time;

/// Part of the operator's bound by which the share may move within a window.
/// The rest covers rounding to whole requests, at each instance and for each
/// service.
const BOUND_USED_RATIO: f64 = 0.55;

/// Window of the operator's bound on changes of the share.
const BOUND_WINDOW: Duration = Duration::from_secs(2);

/// Time over which pressure and utilization are averaged.
const SMOOTHING_TIME: Duration = Duration::from_millis(1500);

/// Number of requests by which the assignments may run ahead of the share or lag
/// behind it. The slack lets the same objects go to other regions each time, where
/// they are warm.
const CREDIT_BAND: f64 = 0.35;

/// Part of requests that would be better off in another region at which the share
/// stays as it is.
///
/// The share is an integral of the excess over this part. A share proportional to
/// the part itself would settle where as many requests are late locally as run
/// elsewhere, far below what a region with few targets lacks.
const PRESSURE_SETPOINT: f64 = 0.05;

/// Largest difference between the parts of warm answers that are late locally and
/// elsewhere before every request counts as pressure. Beyond it the local region is
/// fuller than it looks: instances of other regions also send there, for teams
/// that may run nowhere else.
const LATE_RATIO_GAP_MAX: f64 = 0.4;

/// Number of answers over which the late parts are averaged.
const LATE_AVERAGE_ANSWERS: f64 = 16.0;

/// Excess over [`PRESSURE_SETPOINT`] from which the share rises at its full rate.
/// Single requests move the share little that way.
const PRESSURE_RANGE: f64 = 0.10;

/// Utilization of the local region, if all its requests ran there, up to which the
/// share falls at its full rate. If they only just fitted, they would have to leave
/// again a moment later, and objects are cold after each move. A slow fixed rate
/// would keep requests away long after there is room locally, and the way to
/// another region alone uses up short latency objectives.
const FULL_FALL_UTILIZATION_MAX: f64 = 0.4;

/// Utilization, taken likewise, from which the share doesn't fall at all, although
/// no request is late: they are in time only because others run elsewhere.
const FALL_UTILIZATION_MAX: f64 = 0.7;

/// Largest share. The remaining requests show whether the local region has room again.
const SHARE_MAX: f64 = 0.9;

/// Largest share while local answers are late, which takes few requests to see.
const SHARE_LATE_MAX: f64 = 0.98;

/// What other regions report of themselves, compared with the local one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outlook {
    /// A region that could serve the request reports nothing.
    Unknown,
    /// A region is better off.
    Better,
    /// None is better off: sending requests there gains nothing, although the local region
    /// may be full.
    Balanced {
        /// Part of its full rate, from 0 to 1, at which the share falls.
        fall: f64,
    },
}

/// Controller of the share of one service's requests that runs in other regions.
#[derive(Clone, Copy, Debug)]
pub struct Spillover {
    /// Largest change of the share per second.
    rate: f64,
    share: f64,
    /// Smoothed part of requests that would be better off elsewhere.
    pressure: f64,
    /// Smoothed part of the local region's slots in use.
    utilization: f64,
    /// Requests that are due elsewhere by the share and have not been sent there.
    credit: f64,
    updated_at: Option<Time>,
    /// Averaged parts of answers that are late, locally and elsewhere.
    late_ratios: [f64; 2],
}

impl Spillover {
    /// Starts at `share`; `bound` is the largest change of the share from one
    /// [`BOUND_WINDOW`] to the next.
    #[must_use]
    pub fn new(bound: f64, share: f64) -> Self {
        Self {
            rate: bound * BOUND_USED_RATIO / BOUND_WINDOW.as_secs_f64(),
            share,
            pressure: PRESSURE_SETPOINT,
            utilization: 0.0,
            credit: 0.5,
            updated_at: None,
            late_ratios: [0.0; 2],
        }
    }

    /// Utilization of the local region if all its requests ran there.
    fn demand(&self) -> f64 {
        self.utilization / (1.0 - self.share).max(1.0 - SHARE_MAX)
    }

    /// The current share, from 0 to 1.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Records whether the answer to a request that could have run in any region
    /// was late.
    pub fn record_answer(&mut self, is_remote: bool, is_late: bool) {
        let ratio = &mut self.late_ratios[usize::from(is_remote)];
        *ratio += (f64::from(u8::from(is_late)) - *ratio) / LATE_AVERAGE_ANSWERS;
    }

    /// Decides whether the next request runs in another region. `pressure` says
    /// whether it would be better off there; `utilization` is the part of the local
    /// region's slots in use. `position`, from 0 to 1, is the same for all requests
    /// of an object: objects at low positions go first.
    pub fn choose_remote(
        &mut self,
        now: Time,
        pressure: bool,
        utilization: f64,
        position: f64,
    ) -> bool {
        self.choose_with(now, pressure, Outlook::Unknown, utilization, position)
    }

    /// Decides like [`Spillover::choose_remote`], with what other regions report.
    pub fn choose_with(
        &mut self,
        now: Time,
        pressure: bool,
        outlook: Outlook,
        utilization: f64,
        position: f64,
    ) -> bool {
        self.update(now, pressure, outlook, utilization);
        self.credit += self.share;
        let is_behind = self.credit >= 1.0 + CREDIT_BAND;
        let is_allowed = self.credit >= 1.0 - CREDIT_BAND && self.share > 0.0;
        let is_remote = is_behind || (is_allowed && position <= self.share);
        if is_remote {
            self.credit -= 1.0;
        }
        is_remote
    }

    /// Moves the averages and the share on to `now`.
    fn update(&mut self, now: Time, pressure: bool, outlook: Outlook, utilization: f64) {
        let elapsed = self
            .updated_at
            .map_or(0.0, |at| now.since(at).as_secs_f64());
        self.updated_at = Some(now);
        let [local, remote] = self.late_ratios;
        let is_balanced = matches!(outlook, Outlook::Balanced { .. });
        let is_local_late = local - remote > LATE_RATIO_GAP_MAX && !is_balanced;
        let pressure = (pressure || is_local_late) && !is_balanced;
        let share_max = if is_local_late {
            SHARE_LATE_MAX
        } else {
            SHARE_MAX.max(self.share)
        };
        let weight = (elapsed / SMOOTHING_TIME.as_secs_f64()).min(0.2);
        self.pressure += (f64::from(u8::from(pressure)) - self.pressure) * weight;
        self.utilization += (utilization - self.utilization) * weight;
        let room = ((FALL_UTILIZATION_MAX - self.demand())
            / (FALL_UTILIZATION_MAX - FULL_FALL_UTILIZATION_MAX))
            .clamp(0.0, 1.0);
        let slope = if self.pressure > PRESSURE_SETPOINT {
            ((self.pressure - PRESSURE_SETPOINT) / PRESSURE_RANGE).min(1.0)
        } else {
            room * (self.pressure - PRESSURE_SETPOINT) / PRESSURE_SETPOINT
        };
        let slope = match outlook {
            Outlook::Balanced { fall } => slope.min(-fall.clamp(0.0, 1.0)),
            Outlook::Unknown | Outlook::Better => slope,
        };
        self.share = (self.share + slope * self.rate * elapsed).clamp(0.0, share_max);
    }
}
