//! "Did you mean": the nearest of the names there are.

/// Farthest edit distance at which a name still counts as a misspelling.
const FAR: usize = 3;

/// The nearest of `names`, if one is near.
pub fn nearest<'a>(name: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let near = names
        .into_iter()
        .map(|other| (strsim::damerau_levenshtein(name, other), other))
        .min()?;
    let limit = FAR.min(name.chars().count() / 2 + 1);
    (near.0 <= limit).then_some(near.1)
}

/// The remedy for an unknown name: the nearest one, or the names there are.
pub fn remedy<'a>(name: &str, names: impl IntoIterator<Item = &'a str> + Clone) -> String {
    if let Some(near) = nearest(name, names.clone()) {
        return format!("write \"{near}\"?");
    }
    let all: Vec<&str> = names.into_iter().take(12).collect();
    if all.is_empty() {
        return "remove it; nothing of the kind is declared".into();
    }
    format!("use one of: {}", all.join(", "))
}
