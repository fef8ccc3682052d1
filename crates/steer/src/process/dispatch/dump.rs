//! The dispatcher's state as text, for dumps on request.

use core::fmt;

use crate::process::dispatch::Dispatch;
use crate::process::dispatch::group::Group;
use crate::process::safeguard::Safeguards;
use crate::process::target::{Fit, Track};

/// A dispatcher's state at a point in time; one line per service and place.
pub struct Dump<'a> {
    pub(super) dispatch: &'a Dispatch,
    pub(super) now: crate::clock::Time,
}

impl fmt::Display for Dump<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let dispatch = self.dispatch;
        writeln!(
            f,
            "{} in flight, {} waiting, {} suspects, view {}",
            dispatch.in_flight(),
            dispatch.waiting(),
            dispatch.suspects.len(),
            dispatch.view.version,
        )?;
        for group in &dispatch.groups {
            self.group(f, group)?;
        }
        writeln!(f, "{}", dispatch.stats)
    }
}

impl Dump<'_> {
    fn group(&self, f: &mut fmt::Formatter<'_>, group: &Group) -> fmt::Result {
        let tracks = self.dispatch.tracks.as_slice();
        let mean = group.latency.mean().unwrap_or_default().as_millis();
        let (name, queue) = (&group.name, group.queue.len());
        let (running, limit) = (group.running, group.limit);
        writeln!(
            f,
            "{name}: {running} in flight, {queue} waiting, {limit} at home, mean {mean} ms"
        )?;
        for local in &group.locals {
            self.place(f, "target", &tracks[local.track])?;
        }
        // Peers without a part in it would fill pages.
        let busy = |track: &&Track| track.flight > 0;
        let peers = group.remotes.iter().map(|r| &tracks[r.track]);
        for track in peers.filter(busy) {
            self.place(f, "peer", track)?;
        }
        Ok(())
    }

    fn place(&self, f: &mut fmt::Formatter<'_>, kind: &str, track: &Track) -> fmt::Result {
        let on: Safeguards = self.dispatch.tuning.safeguards;
        let word = match track.fit(self.now, on) {
            Fit::Free => "free",
            Fit::Trial => "due for a trial",
            Fit::Busy => "busy",
            Fit::Ejected => "ejected",
            Fit::Out => "leaving",
        };
        let mean = track.latency.mean().unwrap_or_default().as_millis();
        let (flight, limit) = (track.flight, track.limit(self.now, on));
        let name = &track.name;
        writeln!(
            f,
            "  {kind} {name}: {word}, {flight} of {limit}, mean {mean} ms"
        )
    }
}
