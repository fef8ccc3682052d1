//! Whether a draft makes sense, apart from the reader that made it.
//!
//! Invariant: every check looks at the whole draft and reports every fault it
//! finds with its place; none stops another.

mod flows;
mod names;
mod places;
mod shifts;

use jsonc::fault::Fault;

use crate::draft::Draft;

/// All faults of a draft merged with an overlay, beyond those of its base.
///
/// Links, shifts, drains and blocks name the same things as in the base. A
/// shift to a region that the overlay leaves out has no effect at that site,
/// which is what the overlay says.
pub fn overlaid(draft: &Draft, faults: &mut Vec<Fault>) {
    places::verify(draft, faults);
    flows::services(draft, faults);
}

/// All faults of a draft, in no particular order.
pub fn verify(draft: &Draft, faults: &mut Vec<Fault>) {
    places::verify(draft, faults);
    flows::services(draft, faults);
    flows::links(draft, faults);
    shifts::verify(draft, faults);
    flows::drain(draft, faults);
    flows::blocks(draft, faults);
}
