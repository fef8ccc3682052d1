//! The account of a small log: two instances in two regions, eleven requests.
//! `REWRITE=1 cargo test -p report` records the tables anew; read them first.

use std::fs;
use std::path::Path;

use report::line::Event;
use report::log::Log;
use report::tally::Report;
use report::trace::{Cause, End, Request, Trace};
use report::{plot, table};
use rstest::rstest;

fn read(files: &[&str]) -> Log {
    let mut log = Log::default();
    for file in files {
        let path = format!("tests/logs/{file}.log");
        let text = fs::read_to_string(path).expect("the log is committed");
        log.read(file, &text);
    }
    log.finish();
    log
}

fn request(id: &str) -> Request {
    let log = read(&["collected"]);
    let only = log.entries.iter().filter(|e| match &e.event {
        Event::Attempt(a) => *a.request == *id,
        Event::OwnAnswer(o) => *o.request == *id,
        _ => false,
    });
    let first = only.map(|e| e.at).fold(f64::INFINITY, f64::min);
    assert!(first.is_finite(), "no line tells of {id}");
    let trace = Trace::of(&log);
    let found = trace.requests.iter().find(|r| *r.id == *id);
    found.expect("each request has its end").clone()
}

#[test]
fn print_tables() {
    let log = read(&["collected"]);
    let trace = Trace::of(&log);
    let report = Report::of(&log, &trace, 2.0);
    let printed = table::print(&report).expect("text can be written");
    let path = Path::new("tests/logs/collected.txt");
    if std::env::var_os("REWRITE").is_some() {
        fs::write(path, &printed).expect("the folder can be written to");
    }
    let expected = fs::read_to_string(path).expect("the tables are committed");
    assert_eq!(printed, expected);
}

/// Lines of each instance in a file of its own, without a word before them,
/// give the same account as the collected ones.
#[test]
fn read_files_of_instances() {
    let collected = read(&["collected"]);
    let apart = read(&["a-1", "b-1"]);
    let tables = |log: &Log| {
        let report = Report::of(log, &Trace::of(log), 2.0);
        (report.all, report.regions.names, report.late, report.missed)
    };
    assert_eq!(tables(&collected), tables(&apart));
    assert_eq!((collected.unread, apart.unread), (1, 0));
    assert_eq!(apart.left_out, 3);
}

#[rstest]
#[case::in_time("v1", End::InTime, Cause::Else, &[])]
#[case::begun_anew("v2", End::Late, Cause::Cold, &["far"])]
#[case::rejected_with_room_elsewhere("v3", End::Rejected("overload".into()), Cause::Else, &["far"])]
#[case::late_with_room_elsewhere("v5", End::Late, Cause::Cold, &["near"])]
#[case::held("v6", End::Late, Cause::Held, &["near"])]
#[case::queued_with_no_other_region("p1", End::Late, Cause::Slow, &[])]
#[case::rejected_without_room("p2", End::Rejected("overload".into()), Cause::Else, &[])]
#[case::unknown_fate("p3", End::Failed, Cause::Else, &[])]
#[case::sent_again("v7", End::Late, Cause::Again, &["near"])]
#[case::gone_target_has_no_room("v8", End::Rejected("no-target".into()), Cause::Else, &["near"])]
fn tell_end(#[case] id: &str, #[case] end: End, #[case] cause: Cause, #[case] room: &[&str]) {
    let found = request(id);
    assert_eq!(found.end, end, "{found:?}");
    if end == End::Late {
        assert_eq!(found.cause, cause, "{found:?}");
    }
    let regions: Vec<&str> = found.room.iter().map(|r| &**r).collect();
    assert_eq!(regions, room, "{found:?}");
}

#[test]
fn draw_plots() {
    let log = read(&["collected"]);
    let report = Report::of(&log, &Trace::of(&log), 2.0);
    let folder = std::env::temp_dir().join(format!("auburnrouter-plots-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the temporary place is writable");
    let files = plot::draw(&report, &folder).expect("the folder is there");
    let names: Vec<_> = files.iter().filter_map(|f| f.file_name()).collect();
    assert_eq!(
        names,
        [
            "outcomes.svg",
            "elsewhere.svg",
            "rejected.svg",
            "load-desk.svg",
            "load-sheets.svg"
        ]
    );
    for file in &files {
        let text = fs::read_to_string(file).expect("it was drawn");
        assert!(
            text.starts_with("<svg") && text.contains("polyline"),
            "{}",
            file.display()
        );
    }
    fs::remove_dir_all(&folder).expect("it is ours");
}

#[test]
fn name_folder_that_cannot_be_drawn_into() {
    let log = read(&["collected"]);
    let report = Report::of(&log, &Trace::of(&log), 2.0);
    let error = plot::draw(&report, Path::new("/nowhere/at/all"));
    let text = error.expect_err("there is no such folder").to_string();
    assert!(text.contains("/nowhere/at/all"), "{text}");
    assert!(text.contains("give a folder"), "{text}");
}
