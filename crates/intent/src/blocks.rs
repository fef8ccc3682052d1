//! Client blocks in files of their own: a line each, `PREFIX REGION`.
//!
//! Built for 830,000 lines: a line costs no allocation, and its place is
//! rebuilt from the line's number only when there is a fault to report.

use std::net::Ipv4Addr;
use std::sync::Arc;

use jsonc::fault::{Fault, Kind, Place};
use jsonc::nearest;
use steer::version::blocks::Block;
use steer::version::view::Region;

/// Why a text is no block's prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PrefixError {
    /// Not an IPv4 address, slash and length.
    #[error("not an IPv4 prefix; write it like \"203.0.113.0/24\"")]
    Syntax,
    /// Bits beyond the length are set.
    #[error("addresses beyond /{1} are set; write \"{0}/{1}\"")]
    HostBits(Ipv4Addr, u8),
}

impl PrefixError {
    /// The fault that this error is at `place`.
    #[must_use]
    pub fn fault(self, place: &Place) -> Fault {
        let text = self.to_string();
        let (message, remedy) = text.split_once("; ").unwrap_or((&text, "mend it"));
        Fault::new(place, Kind::OutOfRange, message, remedy)
    }
}

/// Parses `a.b.c.d/len`; gives the first address and the length.
///
/// # Errors
/// See [`PrefixError`].
pub fn prefix(text: &str) -> Result<(u32, u8), PrefixError> {
    let (addr, len) = text.split_once('/').ok_or(PrefixError::Syntax)?;
    let addr: Ipv4Addr = addr.parse().map_err(|_| PrefixError::Syntax)?;
    let len = length(len).ok_or(PrefixError::Syntax)?;
    let base = u32::from(addr);
    let mask = u32::MAX.checked_shl(32 - u32::from(len)).unwrap_or(0);
    if base & !mask != 0 {
        return Err(PrefixError::HostBits((base & mask).into(), len));
    }
    Ok((base, len))
}

/// One way to write each length, so that equal blocks are equal texts.
fn length(text: &str) -> Option<u8> {
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    let padded = text.len() > 1 && text.starts_with('0');
    let len = text.parse().ok().filter(|&len: &u8| len <= 32);
    len.filter(|_| digits && !padded)
}

/// Region names with their references, sorted by name.
pub type Names = [(Arc<str>, Region)];

/// Finds a region by name.
#[must_use]
pub fn region(names: &Names, name: &str) -> Option<Region> {
    let found = names.binary_search_by(|(other, _)| (**other).cmp(name));
    found.ok().map(|i| names[i].1)
}

/// A block and the line that states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    /// The block.
    pub block: Block,
    /// Number of its line, from 1.
    pub line: u32,
}

/// Reads one block file; what can't be read is reported and left out.
pub fn read(file: &str, text: &str, names: &Names, faults: &mut Vec<Fault>) -> Vec<Line> {
    let file: Arc<str> = file.into();
    let mut lines = Vec::with_capacity(text.len() / 20);
    let mut last: Option<(&str, Region)> = None;
    for (i, line) in text.lines().enumerate() {
        let number = u32::try_from(i + 1).unwrap_or(u32::MAX);
        let content = line.split('#').next().unwrap_or_default();
        let mut words = content.split_ascii_whitespace();
        let Some(first) = words.next() else {
            continue;
        };
        let second = words.next().unwrap_or_default();
        let known = last
            .filter(|(name, _)| *name == second)
            .or_else(|| region(names, second).map(|found| (second, found)));
        last = known.or(last);
        match (prefix(first), known, words.next()) {
            (Ok((base, len)), Some((_, region)), None) => lines.push(Line {
                block: Block { base, len, region },
                line: number,
            }),
            (found, region, extra) => {
                let place = Place {
                    file: Arc::clone(&file),
                    line: number,
                    column: 1,
                };
                report(&place, found.err(), second, region.is_some(), names, faults);
                if let Some(extra) = extra {
                    faults.push(Fault::new(
                        &place,
                        Kind::Syntax,
                        format!("\"{}\" is one word too many", extra.escape_debug()),
                        "write one block a line: PREFIX REGION",
                    ));
                }
            }
        }
    }
    lines
}

fn report(
    place: &Place,
    error: Option<PrefixError>,
    name: &str,
    known: bool,
    names: &Names,
    faults: &mut Vec<Fault>,
) {
    faults.extend(error.map(|error| error.fault(place)));
    if known {
        return;
    }
    let all = names.iter().map(|(name, _)| &**name);
    let (message, remedy) = if name.is_empty() {
        (
            "no region after the prefix".into(),
            "write one block a line: PREFIX REGION".into(),
        )
    } else {
        (
            format!("unknown region \"{}\"", name.escape_debug()),
            nearest::remedy(name, all),
        )
    };
    faults.push(Fault::new(place, Kind::Unknown, message, remedy));
}
