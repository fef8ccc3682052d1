//! Comments say what code is for. What a change was worth, when it was made and
//! which issue asked for it stand in its commit, where they can't grow stale.

use std::fs;
use std::path::{Path, PathBuf};

use rstest::rstest;

/// What a comment must not say.
#[derive(Debug, PartialEq, Eq)]
enum Fault {
    /// A figure of what a change was worth.
    Worth,
    /// A date.
    Date,
    /// The number of an issue.
    Issue,
    /// Where or on whose behalf something was tried.
    Place,
}

/// Deployments and programs that comments don't name.
const PLACES: [&str; 5] = ["bluestone", "chainhire", "fleetbench", "khuree", "tesfaye"];

/// The faults of a file, each with its line from 1.
fn faults(text: &str) -> Vec<(usize, Fault)> {
    let mut found = Vec::new();
    // Whether the comment that goes on over several lines speaks of worth.
    let mut worth = false;
    for (number, line) in text.lines().enumerate() {
        let Some((code, comment)) = line.split_once("//") else {
            worth = false;
            continue;
        };
        let words = words(comment);
        let goes_on = code.trim().is_empty();
        worth = words.iter().any(|w| w == "worth") || (worth && goes_on);
        let fault = judge(&words, worth);
        found.extend(fault.map(|fault| (number + 1, fault)));
        worth &= goes_on;
    }
    found
}

fn words(comment: &str) -> Vec<String> {
    let ends = |c: char| c.is_whitespace() || ",;:()".contains(c);
    let words = comment.split(ends).filter(|w| !w.is_empty());
    words
        .map(|w| w.trim_end_matches('.').to_lowercase())
        .collect()
}

fn judge(words: &[String], worth: bool) -> Option<Fault> {
    if worth && words.iter().any(|w| is_figure(w)) {
        return Some(Fault::Worth);
    }
    if words.iter().any(|w| is_date(w)) {
        return Some(Fault::Date);
    }
    let numbered = |pair: &[String]| {
        let number = pair[1].trim_start_matches('#');
        pair[0] == "issue" && number.parse::<u32>().is_ok()
    };
    if words.windows(2).any(numbered) {
        return Some(Fault::Issue);
    }
    let named = |word: &String| PLACES.iter().any(|place| word.contains(place));
    words.iter().any(named).then_some(Fault::Place)
}

/// Whether a word is a part of one to two digits or more, as `0.79`.
fn is_figure(word: &str) -> bool {
    let fraction = word.trim_start_matches(['+', '-']).strip_prefix("0.");
    fraction.is_some_and(|f| f.len() > 1 && f.bytes().all(|b| b.is_ascii_digit()))
}

/// Whether a word is a day as `2026-12-03`.
fn is_date(word: &str) -> bool {
    let parts: Vec<&str> = word.split('-').collect();
    let digits = |part: &str, len| part.len() == len && part.bytes().all(|b| b.is_ascii_digit());
    matches!(parts[..], [year, month, day]
        if digits(year, 4) && digits(month, 2) && digits(day, 2))
}

/// The start of a comment. Apart from the cases, or they would be faults of this
/// file themselves.
const START: &str = concat!("/", "/");

#[rstest]
#[case::figure("", &["Kept away: worth 0.79 to 0.76."], Fault::Worth)]
#[case::figure_after_code("let a = 1; ", &["worth: +0.012"], Fault::Worth)]
#[case::figure_of_other_line("", &["Worth of a day,", "so far 0.71."], Fault::Worth)]
#[case::date("", &["since 2026-12-03."], Fault::Date)]
#[case::issue("", &["See issue 17."], Fault::Issue)]
#[case::issue_with_sign("", &["issue #4"], Fault::Issue)]
#[case::place("", &["As at Tesfaye's archive."], Fault::Place)]
fn name_fault(#[case] code: &str, #[case] comments: &[&str], #[case] fault: Fault) {
    let lines = comments.iter().map(|c| format!("{code}{START} {c}\n"));
    let text: String = lines.collect();
    let text = format!("fn first() {{}}\n{text}fn last() {{}}\n");
    assert_eq!(faults(&text), [(1 + comments.len(), fault)]);
}

#[rstest]
#[case::unit("Pause between two looks, 0.25 s.")]
#[case::worth_without_figure("Not worth asking for.")]
#[case::issue_without_number("Whose issue this is.")]
fn pass_comment(#[case] comment: &str) {
    assert_eq!(faults(&format!("{START} {comment}")), []);
}

#[rstest]
#[case::worth_of_other_comment(&["let a = 1; // not worth it", "// A part, 0.25."])]
#[case::code(&["let worth = 0.79;"])]
#[case::address(&["const PAGE: &str = \"http://a.example/2026\";"])]
fn pass_lines(#[case] lines: &[&str]) {
    assert_eq!(faults(&lines.join("\n")), []);
}

/// All sources of this repository.
#[test]
fn keep_measurements_out_of_comments() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    for folder in ["crates", "platform"] {
        sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 100, "only {} sources found", files.len());
    let mut all = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file).expect("a source can be read");
        let shown = file.strip_prefix(&root).unwrap_or(file).display();
        let named = faults(&text).into_iter();
        all.extend(named.map(|(line, fault)| format!("{shown}:{line}: {fault:?}")));
    }
    assert!(
        all.is_empty(),
        "say what the code is for, and the rest in the commit:\n{}",
        all.join("\n")
    );
}

fn sources(folder: &Path, files: &mut Vec<PathBuf>) {
    let entries = fs::read_dir(folder).expect("a folder of sources can be read");
    for entry in entries {
        let path = entry.expect("its entries can be read").path();
        if path.is_dir() {
            sources(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
}
