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
    let mut lines = Vec::with_capacity(text.len() / LINE_BYTES);
    let mut known = Known { names, last: None };
    for (number, line) in (1..).zip(text.lines()) {
        let Some(words) = Words::new(line) else {
            continue;
        };
        let prefix = prefix(words.prefix);
        let region = known.region(words.region);
        if let (Ok((base, len)), Some(region), None) = (prefix, region, words.extra) {
            let block = Block { base, len, region };
            lines.push(Line {
                block,
                line: number,
            });
            continue;
        }
        let place = Place {
            file: Arc::clone(&file),
            line: number,
            column: 1,
        };
        faults.extend(prefix.err().map(|error| error.fault(&place)));
        if region.is_none() {
            faults.push(unknown(&place, words.region, names));
        }
        faults.extend(words.extra.map(|extra| too_many(&place, extra)));
    }
    lines
}

/// Typical bytes of a line; a guess at how many lines a text has.
const LINE_BYTES: usize = 20;

/// The words of a line that isn't empty.
struct Words<'a> {
    prefix: &'a str,
    /// Empty if there is none.
    region: &'a str,
    extra: Option<&'a str>,
}

impl<'a> Words<'a> {
    fn new(line: &'a str) -> Option<Self> {
        let content = line.split('#').next()?;
        let mut words = content.split_ascii_whitespace();
        Some(Self {
            prefix: words.next()?,
            region: words.next().unwrap_or_default(),
            extra: words.next(),
        })
    }
}

/// Finds regions by name; neighbouring lines tend to name the same one.
struct Known<'a> {
    names: &'a Names,
    last: Option<(&'a str, Region)>,
}

impl<'a> Known<'a> {
    fn region(&mut self, name: &'a str) -> Option<Region> {
        if let Some((_, region)) = self.last.filter(|(last, _)| *last == name) {
            return Some(region);
        }
        let found = region(self.names, name)?;
        self.last = Some((name, found));
        Some(found)
    }
}

fn unknown(place: &Place, name: &str, names: &Names) -> Fault {
    if name.is_empty() {
        let message = "no region after the prefix";
        return Fault::new(place, Kind::Unknown, message, FORM);
    }
    let all = names.iter().map(|(name, _)| &**name);
    let message = format!("unknown region \"{}\"", name.escape_debug());
    Fault::new(place, Kind::Unknown, message, nearest::remedy(name, all))
}

fn too_many(place: &Place, extra: &str) -> Fault {
    let message = format!("\"{}\" is one word too many", extra.escape_debug());
    Fault::new(place, Kind::Syntax, message, FORM)
}

const FORM: &str = "write one block a line: PREFIX REGION";
