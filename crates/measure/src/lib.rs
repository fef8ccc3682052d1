//! Measures the decisions of `steer`.
//!
//! Two kinds of figures, named apart in all output: *virtual time*, where a
//! model of targets and latencies drives the real dispatchers and no clock is
//! read; and *processor time* of single decisions. Neither sends anything.

pub mod cost;
pub mod crashes;
pub mod hedge;
pub mod model;
pub mod robin;
pub mod scenarios;
pub mod shift;
pub mod sums;

use steer::clock::Time;
use steer::process::direct::Direct;

/// Answers the probes of an instance whose links to targets are sound.
fn answer_probes(direct: &mut Direct, now: Time) {
    let probes = direct.begin_probes(now).len();
    direct.finish_probes(now, probes, probes);
}
