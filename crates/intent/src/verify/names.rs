//! Checks on lists of names.

use jsonc::fault::{Fault, Kind, Place};
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

/// Reports each key that stands more than once; `message` says what is twice.
pub fn unique_keys<const N: usize>(
    mut keys: Vec<([&str; N], &Place)>,
    faults: &mut Vec<Fault>,
    message: impl Fn([&str; N]) -> String,
) {
    keys.sort_unstable();
    for pair in keys.windows(2) {
        let ((first, earlier), (second, place)) = (pair[0], pair[1]);
        if first == second {
            let remedy = format!("keep this one or the one at {earlier}");
            faults.push(Fault::new(place, Kind::Duplicate, message(second), remedy));
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
