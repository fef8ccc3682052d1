//! Checks on lists of names.

use jsonc::fault::{Fault, Kind};
use jsonc::nearest;

use crate::draft::Name;

/// Reports each name that stands more than once.
pub fn unique<'a>(what: &str, names: impl Iterator<Item = &'a Name>, faults: &mut Vec<Fault>) {
    let mut sorted: Vec<&Name> = names.collect();
    sorted.sort_by(|a, b| (&a.value, &a.place).cmp(&(&b.value, &b.place)));
    for pair in sorted.windows(2) {
        if pair[0].value == pair[1].value {
            faults.push(Fault::new(
                &pair[1].place,
                Kind::Duplicate,
                format!("{what} \"{}\" stands twice", pair[1].value),
                format!("keep this one or the one at {}", pair[0].place),
            ));
        }
    }
}

/// Reports `name` unless it is one of `known`, which are sorted.
pub fn known(what: &str, name: &Name, known: &[&str], faults: &mut Vec<Fault>) -> bool {
    let found = known.binary_search(&&*name.value).is_ok();
    if !found {
        faults.push(Fault::new(
            &name.place,
            Kind::Unknown,
            format!("unknown {what} \"{}\"", name.value),
            nearest::remedy(&name.value, known.iter().copied()),
        ));
    }
    found
}

/// The sorted names, to be searched by [`known`].
pub fn sorted<'a>(names: impl Iterator<Item = &'a Name>) -> Vec<&'a str> {
    let mut names: Vec<&str> = names.map(|name| &*name.value).collect();
    names.sort_unstable();
    names.dedup();
    names
}
