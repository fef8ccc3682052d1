//! Whom an instance asks for tokens.
//!
//! Invariant: one that didn't answer isn't asked again for [`REST`], unless it is
//! this instance.

use core::time::Duration;
use std::sync::Arc;

use super::super::upstream::weight;
use crate::clock::Time;

/// Time without an answer after which another instance is asked.
const SWITCH: Duration = Duration::from_millis(700);

/// Time for which one that didn't answer isn't asked.
const REST: Duration = Duration::from_secs(4);

/// Who is asked, and who failed.
#[derive(Debug, Default)]
pub struct Link {
    /// Who is asked, and when it last answered.
    asked: Option<(Arc<str>, Time)>,
    failed: Vec<(Arc<str>, Time)>,
}

impl Link {
    /// Who is asked.
    pub fn asked(&self) -> Option<&Arc<str>> {
        self.asked.as_ref().map(|(name, _)| name)
    }

    /// An answer has come. Says whether it is of who is asked.
    pub fn answered(&mut self, now: Time, name: &Arc<str>) -> bool {
        match &mut self.asked {
            Some((asked, at)) if asked == name => {
                *at = now;
                true
            }
            _ => false,
        }
    }

    /// Finds whom to ask, of these. Says whether it is another than before.
    pub fn settle<'a>(
        &mut self,
        now: Time,
        own: &Arc<str>,
        all: impl Iterator<Item = &'a Arc<str>>,
    ) -> bool {
        self.failed.retain(|(_, at)| now.since(*at) < REST);
        if let Some((name, at)) = &self.asked
            && now.since(*at) >= SWITCH
            && name != own
        {
            self.failed.push((Arc::clone(name), now));
        }
        let failed = |name: &&Arc<str>| self.failed.iter().any(|(known, _)| known == *name);
        let best = all.filter(|n| !failed(n)).max_by_key(|name| weight(name));
        let best = Arc::clone(best.unwrap_or(own));
        let same = self.asked() == Some(&best);
        if !same {
            self.asked = Some((best, now));
        }
        !same
    }
}
