//! The stand-ins as processes: one line when ready, and no process left behind.

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rstest::rstest;

/// Longest that a process may take to end.
const BOUND: Duration = Duration::from_secs(20);

/// A process that is ended and reaped however the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(args: &[&str]) -> Process {
    let child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn();
    Process(child.unwrap())
}

fn exit_code(process: &mut Process) -> Option<i32> {
    let until = Instant::now() + BOUND;
    while Instant::now() < until {
        if let Some(status) = process.0.try_wait().unwrap() {
            return status.code();
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    panic!("the process did not end within {BOUND:?}");
}

#[rstest]
#[case::store(&["store", "--listen", "127.0.0.1:0", "--until-stdin-closes"])]
#[case::target(&["target", "--name", "t1", "--slots", "3", "--until-stdin-closes"])]
fn process_ends_with_stdin(#[case] args: &[&str]) {
    let mut process = start(args);
    let mut out = BufReader::new(process.0.stdout.take().unwrap());
    let mut line = String::new();
    out.read_line(&mut line).unwrap();
    let addr = line.trim_end().strip_prefix("ready ").unwrap();
    assert!(addr.parse::<std::net::SocketAddr>().is_ok(), "{line}");
    drop(process.0.stdin.take());
    assert_eq!(exit_code(&mut process), Some(0));
    let mut rest = String::new();
    out.read_to_string(&mut rest).unwrap();
    assert_eq!(rest, "");
}

#[rstest]
#[case::nothing(&[], "store or target")]
#[case::option(&["store", "--nonsense", "1"], "--nonsense")]
#[case::number(&["target", "--slots", "many"], "many")]
fn process_names_fault(#[case] args: &[&str], #[case] named: &str) {
    let mut process = start(args);
    assert_eq!(exit_code(&mut process), Some(1));
    let mut said = String::new();
    let mut err = process.0.stderr.take().unwrap();
    err.read_to_string(&mut said).unwrap();
    assert!(said.contains(named), "{said}");
}
