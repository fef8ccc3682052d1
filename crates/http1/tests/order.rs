//! Data-driven tests of the pipeline's order.
//!
//! `get N` and `put N` push request N, idempotent or not; `last N` pushes one that
//! closes its connection; `malformed` adds the answer to malformed input;
//! `answer N [BYTES]` answers a started request; `stop` begins a graceful stop. Each
//! line prints the requests that start and the answers that are written.

use datadriven::TestCase;
use http1::pipeline::{Bounds, Pipeline, Slot};

struct Bench {
    pipeline: Pipeline<(bool, String), String, ()>,
    running: Vec<(String, Slot)>,
}

impl Bench {
    fn new(case: &TestCase) -> Self {
        let number = |name: &str, default: usize| {
            let text = case.args.get(name).and_then(|values| values.first());
            text.map_or(default, |t| t.parse().expect("it is a number"))
        };
        Self {
            pipeline: Pipeline::new(Bounds {
                requests_max: number("requests", 8),
                waiting_bytes_max: number("bytes", 100),
                answer_bytes_max: number("answers", 100),
            }),
            running: Vec::new(),
        }
    }

    fn line(&mut self, line: &str) -> String {
        let words: Vec<&str> = line.split(' ').collect();
        let name = words.get(1).copied().unwrap_or_default().to_owned();
        match words[0] {
            "get" => self.pipeline.push((true, name), (), 10, false),
            "put" => self.pipeline.push((false, name), (), 10, false),
            "last" => self.pipeline.push((true, name), (), 10, true),
            "malformed" => self.pipeline.reject("400".into(), ()),
            "stop" => self.pipeline.stop(),
            "answer" => {
                let bytes = words.get(2).map_or(1, |b| b.parse().expect("a number"));
                let at = self.running.iter().position(|r| r.0 == name);
                let (name, slot) = self.running.remove(at.expect("it runs"));
                self.pipeline.record_answer(slot, name, bytes);
            }
            other => panic!("no such line: {other}"),
        }
        self.step(line)
    }

    fn step(&mut self, line: &str) -> String {
        let mut seen = Vec::new();
        loop {
            if let Some(start) = self.pipeline.start_next(|r| r.0) {
                seen.push(format!("{} starts behind {}", start.request.1, start.ahead));
                self.running.push((start.request.1, start.slot));
            } else if let Some(due) = self.pipeline.next_answer() {
                let closes = if due.is_closing { ", closes" } else { "" };
                seen.push(format!("{} leaves{closes}", due.answer));
            } else {
                break;
            }
        }
        if !self.pipeline.has_room() {
            seen.push("no room".into());
        }
        format!("{line}: {}\n", seen.join("; "))
    }
}

#[test]
fn order_files() {
    datadriven::walk("tests/order", |file| {
        file.run(|case| {
            assert_eq!(case.directive, "play");
            let mut bench = Bench::new(case);
            case.input
                .lines()
                .map(|line| bench.line(line))
                .collect::<String>()
        });
    });
}
