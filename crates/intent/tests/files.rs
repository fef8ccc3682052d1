//! Runs the text files under `tests/files`: a directive, files, what they give.
//!
//! - `base`: the base file that the following directives use; prints the plan.
//! - `check`: overlays, or a whole base if a file has that name; prints the faults.
//! - `merge`: one overlay; prints every value with the file it comes from.
//! - `diff`: a new base; prints what changes, what moves, and what is refused.
//!   Arguments: `rate=(service,region,per_s)`, `cap=(service,from,to,cap)`.
//!
//! Several files in one input are parted by lines `--- NAME`.

use core::fmt::{Display, Write};

use datadriven::TestCase;
use intent::bundle::{Bundle, Checked, File};
use intent::moves::judge::{self, Rate, Stated};
use intent::{diff, listing};

fn files(input: &str, first: &str) -> Vec<File> {
    let mut files = vec![(first.to_owned(), String::new())];
    for line in input.lines() {
        if let Some(name) = line.strip_prefix("--- ") {
            files.push((name.to_owned(), String::new()));
            continue;
        }
        let text = &mut files.last_mut().unwrap().1;
        text.push_str(line);
        text.push('\n');
    }
    let given = files.into_iter().filter(|(_, text)| !text.is_empty());
    given
        .map(|(name, text)| File {
            name: name.into(),
            text: text.into(),
        })
        .collect()
}

fn bundle(given: Vec<File>, base: &str) -> Bundle {
    let mut bundle = Bundle {
        base: File {
            name: "base".into(),
            text: base.into(),
        },
        overlays: Vec::new(),
        blocks: Vec::new(),
    };
    for file in given {
        if &*file.name == "base" {
            bundle.base = file;
        } else if file.name.ends_with(".txt") {
            bundle.blocks.push(file);
        } else {
            bundle.overlays.push(file);
        }
    }
    bundle
}

fn print<T: Display>(items: impl Iterator<Item = T>) -> String {
    items.fold(String::new(), |mut text, item| {
        writeln!(text, "{item}").unwrap();
        text
    })
}

fn checked(given: Vec<File>, base: &str) -> Result<Checked, String> {
    bundle(given, base)
        .check()
        .map_err(|faults| print(faults.iter()))
}

fn merge(case: &TestCase, base: &str) -> Result<String, String> {
    let checked = checked(files(&case.input, "overlay"), base)?;
    let settings = listing::settings(&checked.root_at(&checked.overlays[0].site));
    let all = case.args.contains_key("all");
    let shown = settings.iter().filter(|s| all || &*s.place.file != "base");
    Ok(print(shown))
}

fn compare(case: &TestCase, base: &str) -> Result<String, String> {
    let old = checked(Vec::new(), base)?;
    let new = checked(files(&case.input, "base"), base)?;
    let diff = diff::diff(&old, &new);
    let rates: Vec<Rate> = args(case, "rate").chunks(3).map(rate).collect();
    let caps: Vec<Stated> = args(case, "cap").chunks(4).map(cap).collect();
    let refusals = judge::refusals(&diff.moves, new.base.move_percent, &rates, &caps);
    let refused = refusals.iter().map(|r| format!("refused: {r}"));
    Ok(diff.to_string() + &print(refused))
}

fn args<'a>(case: &'a TestCase, name: &str) -> &'a [String] {
    case.args.get(name).map_or(&[], Vec::as_slice)
}

fn rate(words: &[String]) -> Rate {
    Rate {
        service: words[0].as_str().into(),
        region: words[1].as_str().into(),
        per_s: words[2].parse().unwrap(),
    }
}

fn cap(words: &[String]) -> Stated {
    let text = format!("{}={}", words[..3].join(":"), words[3]);
    text.parse().unwrap()
}

#[test]
fn run_files() {
    datadriven::walk("tests/files", |file| {
        let mut base = String::new();
        file.run(|case| -> String {
            let result = match case.directive.as_str() {
                "base" => {
                    base.clone_from(&case.input);
                    checked(Vec::new(), &base).map(|c| c.base.to_string())
                }
                "check" => checked(files(&case.input, "base"), &base).map(|_| "good\n".into()),
                "merge" => merge(case, &base),
                "diff" => compare(case, &base),
                other => panic!("no directive {other}"),
            };
            result.unwrap_or_else(|faults| faults)
        });
    });
}
