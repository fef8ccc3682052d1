//! Trials as a table of text.

use core::fmt::Write;

use emulator::score::Score;
use emulator::trial::Trial;

/// Means over seeds; the last column compares with the first line, seed by seed.
pub fn table(trials: &[Trial]) -> String {
    let mut out = format!(
        "{:28} {:>15} {:>6} {:>7} {:>6} {:>8} {:>8} {:>7} {:>6} {:>6} {:>6} {:>19}\n",
        "who decides",
        "worth",
        "whole",
        "domain",
        "kind",
        "windows",
        "in time",
        "reject",
        "fail",
        "far",
        "warm",
        "against the first"
    );
    for trial in trials {
        let worth = trial.mean(|s| s.worth);
        let mean = |figure: fn(&Score) -> f64| trial.mean(figure).mean;
        let over = trial.over(&trials[0]);
        let against = if core::ptr::eq(trial, &raw const trials[0]) {
            String::new()
        } else {
            format!("{:+.3} ± {:.3}", over.mean, over.sure)
        };
        // Writing to a string can't fail.
        let _ = writeln!(
            out,
            "{:28} {:>15} {:6.3} {:7.3} {:6.3} {:8.3} {:8.3} {:7.3} {:6.3} {:6.3} {:6.3} {against:>19}",
            trial.name,
            format!("{:.3} ± {:.3}", worth.mean, worth.sure),
            mean(|s| s.whole),
            mean(|s| s.domain),
            mean(|s| s.kind),
            mean(|s| s.windows),
            mean(|s| s.in_time),
            mean(|s| s.rejected),
            mean(|s| s.failed),
            mean(|s| s.far),
            mean(|s| s.warm),
        );
    }
    out
}
