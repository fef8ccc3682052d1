//! Runs the shell examples of the pages against real processes.
//!
//! What a reader would type is typed here: all blocks of a page in one shell,
//! with the processes that the page itself starts. So that two runs never meet,
//! the pages' 127.0.0.1 becomes a loopback address of this run alone.

use std::fmt::Write;
use std::fs::{self, File, Permissions};
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use settings::limits;
use steer::request::outcome;

/// Longest time for all examples of a page.
const BOUND: Duration = Duration::from_mins(2);

/// Time between two looks at whether the shell has ended.
const POLL: Duration = Duration::from_millis(20);

/// Stands for any text in expected output.
const ANY: char = '…';

/// The address that pages use.
const LOOPBACK: &str = "127.0.0.1";

/// Lines of each log that a failure shows.
const LOG: usize = 40;

/// Printed after each example.
const END: &str = "--- end of example ---";

/// Ends what an example started; `3` is a pipe whose end ends an actor, in case
/// the shell itself is killed. The list goes through a file, since a shell's
/// substitution may run where it has no jobs.
const PREAMBLE: &str = "\
set -eu
exec 3<&0 </dev/null
trap 'jobs -p > jobs; kill $(cat jobs) 2>/dev/null || true; wait' EXIT
";

/// One example.
struct Example {
    line: usize,
    script: String,
    expected: Option<String>,
}

/// The examples of a page.
fn examples(page: &str) -> Vec<Example> {
    let mut found: Vec<Example> = Vec::new();
    let mut lines = page.lines().enumerate();
    while let Some((at, line)) = lines.next() {
        let Some(fence) = line.strip_prefix("```").filter(|f| !f.is_empty()) else {
            continue;
        };
        let inside = lines.by_ref().map(|(_, line)| line);
        let text = inside.take_while(|line| *line != "```");
        let text = text.fold(String::new(), |text, line| text + line + "\n");
        match (fence, found.last_mut()) {
            ("sh test", _) => found.push(Example {
                line: at + 1,
                script: text,
                expected: None,
            }),
            ("text", Some(last)) if last.expected.is_none() => last.expected = Some(text),
            _ => {}
        }
    }
    found
}

/// Whether a line is as expected.
fn fits(line: &str, expected: &str) -> bool {
    let mut pieces = expected.split(ANY);
    let first = pieces.next().unwrap_or_default();
    let Some(mut rest) = line.strip_prefix(first) else {
        return false;
    };
    let mut open = false;
    for piece in pieces {
        let Some(at) = rest.find(piece) else {
            return false;
        };
        rest = &rest[at + piece.len()..];
        open = piece.is_empty();
    }
    open || rest.is_empty()
}

fn same(said: &str, expected: &str) -> bool {
    said.lines().count() == expected.lines().count()
        && said.lines().zip(expected.lines()).all(|(s, e)| fits(s, e))
}

/// A shell that runs examples, in a folder of its own.
struct Shell {
    dir: PathBuf,
    address: String,
}

impl Shell {
    fn new(name: &str, number: u32) -> io::Result<Self> {
        // Its own for each process, so that two runs at a time never share one.
        let own = format!("{name}-{}", std::process::id());
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(own);
        fs::create_dir_all(dir.join("bin"))?;
        fs::create_dir(dir.join("trial"))?;
        for program in ["auburnrouter", "standin", "platform-standin"] {
            let path = dir.join("bin").join(program);
            let actor = env!("CARGO_BIN_EXE_actor");
            let text = format!("#!/bin/sh\nexec '{actor}' {program} \"$@\" <&3\n");
            fs::write(&path, text)?;
            fs::set_permissions(&path, Permissions::from_mode(0o755))?;
        }
        // Unlike ports, an address of 127.0.0.0/8 can't be taken by others.
        let [_, a, b, c] = ((std::process::id() << 2) | number).to_be_bytes();
        let address = format!("127.{a}.{b}.{c}");
        Ok(Self { dir, address })
    }

    /// Runs examples, and gives what each printed.
    fn run(&self, examples: &[Example]) -> io::Result<(ExitStatus, Vec<String>)> {
        let mut script = PREAMBLE.to_owned();
        for example in examples {
            let _ = write!(script, "{}\necho '{END}'\n", example.script);
        }
        let script = script.replace(LOOPBACK, &self.address);
        let path = std::env::var_os("PATH").unwrap_or_default();
        let mut paths = vec![self.dir.join("bin")];
        paths.extend(std::env::split_paths(&path));
        let path = std::env::join_paths(paths).map_err(io::Error::other)?;
        let mut child = Command::new("/bin/sh")
            .args(["-c", &script])
            .current_dir(self.dir.join("trial"))
            .env("PATH", path)
            .stdin(Stdio::piped())
            .stdout(File::create(self.dir.join("out"))?)
            .stderr(File::create(self.dir.join("err"))?)
            .spawn()?;
        let hold = child.stdin.take();
        let status = wait(&mut child)?;
        drop(hold);
        let said = fs::read_to_string(self.dir.join("out"))?;
        let said = said.replace(&self.address, LOOPBACK);
        let parts = said.split(&format!("{END}\n")).map(str::to_owned).collect();
        Ok((status, parts))
    }

    /// What the examples printed as errors, and the last lines of each log: a
    /// failure that comes once has to be told from its output alone.
    fn errors(&self) -> String {
        let mut text = fs::read_to_string(self.dir.join("err")).unwrap_or_default();
        let files = fs::read_dir(self.dir.join("trial")).into_iter().flatten();
        let paths = files.flatten().map(|file| file.path());
        for log in paths.filter(|path| path.extension().is_some_and(|e| e == "log")) {
            let lines = fs::read_to_string(&log).unwrap_or_default();
            let lines: Vec<&str> = lines.lines().collect();
            let last = &lines[lines.len().saturating_sub(LOG)..];
            let _ = write!(text, "\n{}:\n{}\n", log.display(), last.join("\n"));
        }
        text
    }
}

impl Drop for Shell {
    fn drop(&mut self) {
        // What a failure needs was printed; a folder that stays only takes room.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn wait(child: &mut Child) -> io::Result<ExitStatus> {
    let until = Instant::now() + BOUND;
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status);
        }
        if Instant::now() > until {
            child.kill()?;
            return child.wait();
        }
        thread::sleep(POLL);
    }
}

fn page(name: &str) -> String {
    let pages = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    fs::read_to_string(pages.join(name)).expect("the page can be read")
}

/// Runs a page's examples and compares what they print.
fn check(name: &str, number: u32, examples: &[Example]) {
    let shell = Shell::new(name, number).expect("the folder can be made");
    let (status, said) = shell.run(examples).expect("the shell runs");
    for (example, said) in examples.iter().zip(&said) {
        let Some(expected) = &example.expected else {
            continue;
        };
        assert!(
            same(said, expected),
            "{name}, example at line {}: expected\n{expected}\nbut got\n{said}\nerrors:\n{}",
            example.line,
            shell.errors()
        );
    }
    assert!(
        status.success() && said.len() > examples.len(),
        "{name}: {status} after {} of {} examples (curl has to be installed); errors:\n{}",
        said.len().saturating_sub(1),
        examples.len(),
        shell.errors()
    );
}

#[test]
fn examples_of_operators() {
    check("OPERATORS.md", 0, &examples(&page("OPERATORS.md")));
}

/// The deployment is the operators' page's, before it drains anything.
#[test]
fn examples_of_callers() {
    let operators = examples(&page("OPERATORS.md"));
    let whole = |e: &Example| !e.script.contains("auburnrouter drain");
    let mut all: Vec<Example> = operators.into_iter().take_while(whole).collect();
    all.extend(examples(&page("CALLERS.md")));
    check("CALLERS.md", 1, &all);
}

#[test]
fn examples_of_operations() {
    check("OPERATIONS.md", 2, &examples(&page("OPERATIONS.md")));
}

#[test]
fn callers_know_every_reason() {
    let page = page("CALLERS.md");
    for reason in outcome::Reason::ALL {
        let start = format!("| `{reason}` | {} | ", reason.status());
        let end = format!(" | {} |", reason.remedy());
        let told = page
            .lines()
            .any(|l| l.starts_with(&start) && l.ends_with(&end));
        assert!(told, "CALLERS.md lacks {start}…{end}");
    }
}

#[test]
fn operators_know_every_limit() {
    let page = page("OPERATORS.md");
    for bound in limits::LIMIT_DEFS {
        let (least, most) = (bound.range.start(), bound.range.end());
        let start = format!(
            "| `{}` | {} | {least} to {most} |",
            bound.name, bound.default
        );
        let told = page.lines().any(|line| line.starts_with(&start));
        assert!(told, "OPERATORS.md lacks {start}");
    }
}

#[rstest]
#[case::same("a b", "a b", true)]
#[case::other("a b", "a c", false)]
#[case::any("a 17 b", "a … b", true)]
#[case::any_at_end("a 17", "a …", true)]
#[case::cut("a 17 b", "a …", true)]
#[case::more("a 17 b c", "a … b", false)]
#[case::less("a 17", "a … b", false)]
fn fits_line(#[case] line: &str, #[case] expected: &str, #[case] verdict: bool) {
    assert_eq!(fits(line, expected), verdict);
}
