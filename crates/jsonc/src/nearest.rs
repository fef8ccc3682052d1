//! Suggestions for misspelt names.

/// Largest edit distance at which a name counts as a misspelling of another.
const EDIT_DISTANCE_MAX: usize = 3;

/// Returns the name with the least edit distance, unless that exceeds the bound for
/// the length of `name`.
pub fn nearest<'a>(name: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let closest = names
        .into_iter()
        .map(|other| (strsim::damerau_levenshtein(name, other), other))
        .min()?;
    let limit = EDIT_DISTANCE_MAX.min(name.chars().count() / 2 + 1);
    (closest.0 <= limit).then_some(closest.1)
}

/// Returns the remedy for an unknown name: the nearest name, or up to 12 known ones.
pub fn remedy<'a>(name: &str, names: impl IntoIterator<Item = &'a str> + Clone) -> String {
    if let Some(closest) = nearest(name, names.clone()) {
        return format!("write \"{closest}\"?");
    }
    let all: Vec<&str> = names.into_iter().take(12).collect();
    if all.is_empty() {
        return "remove it; nothing of the kind is declared".into();
    }
    format!("use one of: {}", all.join(", "))
}
