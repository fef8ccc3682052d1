//! Faults of the platform's service, switched on at run time.

use serde::{Deserialize, Serialize};

/// What goes wrong with calls from now on. A new fault replaces the one before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Each call's connection is cut; nothing takes effect.
    Outage,
    /// As [`Fault::Outage`], but the list of instances still answers.
    KeysOutage,
    /// Each call is answered with 503; nothing takes effect.
    Refuse,
    /// No call is answered; nothing takes effect.
    Hang,
    /// Each call takes effect and is answered this much later.
    Slow {
        /// Milliseconds.
        ms: u64,
    },
    /// Writes take effect, but their connections are cut unanswered.
    LostAnswer {
        /// Keys concerned; empty for all.
        #[serde(default)]
        prefix: String,
        /// Whether reads of these keys are cut too, so that nobody can find out
        /// what became of a write.
        #[serde(default)]
        reads: bool,
    },
    /// A waiting watch learns nothing of writes and waits out its time.
    MissedEvents,
}
