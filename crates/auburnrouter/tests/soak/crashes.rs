//! Check that a request that crashes targets is refused once it is known, by all instances.

use std::time::Duration;

use platform_standin::target::Arrival;

use super::requests::{self, Process};

/// Crashes from which on the request must be refused.
const CRASHES_FREE: usize = 3;

/// Time after the last of these from which sends count, and for which a process that has
/// started or was frozen may not know.
const CONTACT: Duration = Duration::from_secs(4);

/// Longest time for which a process is frozen.
const FREEZE_MAX: Duration = Duration::from_millis(1_500);

/// Sends that may come later.
const LATER_MAX: usize = 3;

/// Returns the case in which more of the requests with these ids, which are sorted, reached
/// targets later than allowed.
pub fn violation(
    crashing: &[&str],
    arrivals: &[(String, Vec<Arrival>)],
    processes: &[Process],
) -> Option<String> {
    let mut sends = Vec::new();
    for (target, arrivals) in arrivals {
        let is_crashing = |a: &&Arrival| crashing.binary_search(&&*a.id).is_ok();
        let found = arrivals.iter().filter(is_crashing);
        sends.extend(found.map(|a| (a.at, (a.id.clone(), target.clone()))));
    }
    sends.sort();
    let (third, _) = sends.get(CRASHES_FREE - 1)?;
    let from = *third + CONTACT;
    let senders = requests::senders(processes);
    let may_not_know = |(at, key): &&(_, (String, String))| {
        let Ok(found) = senders.binary_search_by(|s| s.0.cmp(key)) else {
            // Its process was killed before it wrote the line.
            return true;
        };
        let process = &processes[senders[found].1];
        let is_recent = |began: std::time::Instant, span| *at < began + span;
        is_recent(process.started_at, CONTACT)
            || process
                .frozen_at
                .iter()
                .any(|frozen| *frozen <= *at && is_recent(*frozen, FREEZE_MAX + CONTACT))
    };
    let later = sends.iter().filter(|(at, _)| *at > from);
    let counted: Vec<_> = later.filter(|send| !may_not_know(send)).collect();
    (counted.len() > LATER_MAX).then(|| {
        let ids: Vec<&str> = counted.iter().map(|(_, (id, _))| &**id).collect();
        format!(
            "{} sends of a request that crashes targets: {ids:?}",
            ids.len()
        )
    })
}

/// Number of requests that were rejected because they crash targets, or may.
pub fn rejections(processes: &[Process]) -> usize {
    let count = |process: &Process| {
        let lines = process.lines.lock().expect("the lock is not poisoned");
        let is_rejection = |line: &&String| {
            [r#""why":"crashes-targets""#, r#""why":"suspect-in-flight""#]
                .iter()
                .any(|why| line.contains(why))
        };
        lines.iter().filter(is_rejection).count()
    };
    processes.iter().map(count).sum()
}
