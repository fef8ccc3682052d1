//! Fuzz tests of the reader with arbitrary bytes and splits, and of the pipeline with
//! arbitrary events.
//!
//! `FUZZ_CASES=100000 FUZZ_SEED=7 cargo test --release -p http1 --test fuzz` runs
//! more cases. Cases that failed are added to the text files of the other tests.

#[path = "reader/bench.rs"]
mod bench;

use http1::pipeline::{Bounds, Pipeline, Slot};
use http1::reader::Limits;
use proptest::collection::vec;
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    head_bytes_max: 160,
    body_bytes_max: 24,
};

/// Valid request, and the line that the reader's output must show for it.
#[derive(Clone, Debug)]
struct ValidRequest {
    text: Vec<u8>,
    line: String,
}

fn valid_request() -> impl Strategy<Value = ValidRequest> {
    let body = prop_oneof![Just(None), vec(any::<u8>(), 0..20).prop_map(Some)];
    ("[a-z]{0,6}", body, vec(1..7_usize, 0..3), any::<bool>()).prop_map(
        |(path, body, sizes, chunked)| {
            let method = if body.is_some() { "PUT" } else { "GET" };
            let mut text = format!("{method} /{path} HTTP/1.1\r\nHost: h\r\n").into_bytes();
            let mut fields = String::from(" host=\"h\"");
            match &body {
                None => text.extend(b"\r\n"),
                Some(body) if chunked => {
                    fields += " transfer-encoding=\"chunked\"";
                    text.extend(b"Transfer-Encoding: chunked\r\n\r\n");
                    chunks(&mut text, body, &sizes);
                }
                Some(body) => {
                    fields = format!("{fields} content-length=\"{}\"", body.len());
                    text.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
                    text.extend(body);
                }
            }
            let body = body.unwrap_or_default();
            let body = String::from_utf8_lossy(&body);
            let line = format!("{method} /{path}{fields} body={body:?}");
            ValidRequest { text, line }
        },
    )
}

fn chunks(text: &mut Vec<u8>, body: &[u8], sizes: &[usize]) {
    let mut left = body;
    for size in sizes.iter().copied().chain([body.len()]) {
        let (chunk, rest) = left.split_at(size.min(left.len()));
        left = rest;
        if !chunk.is_empty() {
            text.extend(format!("{:x}\r\n", chunk.len()).bytes());
            text.extend(chunk);
            text.extend(b"\r\n");
        }
    }
    text.extend(b"0\r\n\r\n");
}

/// Maps arbitrary numbers to sorted split positions within `length` bytes.
fn cuts(positions: &[u16], length: usize) -> Vec<usize> {
    let mut cuts: Vec<usize> = positions
        .iter()
        .map(|p| usize::from(*p) % (length + 1))
        .collect();
    cuts.sort_unstable();
    cuts
}

/// Valid pipelined requests are read as sent, however they are split.
#[test]
fn read_sound_requests() {
    let strategy = (vec(valid_request(), 0..6), vec(any::<u16>(), 0..12));
    fuzz::check(&strategy, |(sent, positions)| {
        let text: Vec<u8> = sent.iter().flat_map(|s| s.text.clone()).collect();
        let read = bench::read(&text, LIMITS, &cuts(&positions, text.len()));
        let mut lines: Vec<String> = sent.into_iter().map(|s| s.line).collect();
        lines.push("idle".into());
        prop_assert_eq!(read, lines);
        Ok(())
    });
}

/// Generates fragments of requests, valid and malformed.
fn piece() -> impl Strategy<Value = Vec<u8>> {
    let known: &[&[u8]] = &[
        b"GET /a HTTP/1.1\r\n",
        b"PUT /b HTTP/1.1\r\n",
        b"GET /c HTTP/1.0\r\n",
        b"Host: h\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 0\r\n",
        b"Content-Length: 99\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"Connection: close\r\n",
        b"Expect: 100-continue\r\n",
        b"\r\n",
        b"\n",
        b"\r",
        b"abc",
        b"3\r\nabc\r\n",
        b"3;x\r\n",
        b"0\r\n",
        b"0\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b" ",
        b":",
        b"\0",
    ];
    let known: Vec<Vec<u8>> = known.iter().map(|k| k.to_vec()).collect();
    prop_oneof![
        8 => proptest::sample::select(known),
        1 => vec(any::<u8>(), 0..8),
    ]
}

/// Arbitrary input is read the same however it is split, without a panic, and
/// nothing is read after a fault.
#[test]
fn read_alike_however_cut() {
    let strategy = (vec(piece(), 0..24), vec(any::<u16>(), 0..12));
    fuzz::check(&strategy, |(pieces, positions)| {
        let text = pieces.concat();
        let whole = bench::read(&text, LIMITS, &[]);
        let read = bench::read(&text, LIMITS, &cuts(&positions, text.len()));
        prop_assert_eq!(&whole, &read);
        let bytes: Vec<usize> = (1..text.len()).collect();
        prop_assert_eq!(&whole, &bench::read(&text, LIMITS, &bytes));
        // A method may begin with a digit too, so the body tells requests from faults.
        let is_fault = |l: &String| l.starts_with('4') && !l.contains(" body=");
        let faults = whole.iter().filter(|l| is_fault(l)).count();
        let last = whole.len().checked_sub(2).map(|at| is_fault(&whole[at]));
        prop_assert!(
            faults == 0 || (faults == 1 && last == Some(true)),
            "{:?}",
            whole
        );
        Ok(())
    });
}

/// Event on a connection.
#[derive(Clone, Copy, Debug)]
enum Event {
    Get,
    Put,
    Last,
    Malformed,
    /// Answers one of the running requests, selected by the first number modulo their
    /// count, with an answer of the second number of bytes.
    Answer(u8, u8),
    Stop,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Get),
        3 => Just(Event::Put),
        1 => Just(Event::Last),
        1 => Just(Event::Malformed),
        8 => any::<(u8, u8)>().prop_map(|(at, bytes)| Event::Answer(at, bytes)),
        1 => Just(Event::Stop),
    ]
}

const BOUNDS: Bounds = Bounds {
    requests_max: 5,
    waiting_bytes_max: 40,
    answer_bytes_max: 300,
};

/// Model of a connection: requests by number, and their states.
struct Model {
    pipeline: Pipeline<usize, usize, ()>,
    puts: Vec<bool>,
    running: Vec<(usize, Slot)>,
    written: Vec<usize>,
    has_ended: bool,
    is_closed: bool,
}

impl Model {
    fn event(&mut self, event: Event) {
        let number = self.puts.len();
        match event {
            Event::Answer(at, bytes) if !self.running.is_empty() => {
                let (number, slot) = self.running.remove(usize::from(at) % self.running.len());
                self.pipeline
                    .record_answer(slot, number, usize::from(bytes));
            }
            Event::Answer(..) => {}
            Event::Stop => self.pipeline.stop(),
            _ if self.has_ended || !self.pipeline.has_room() => {}
            Event::Malformed => {
                self.puts.push(false);
                self.pipeline.reject(number, ());
                self.has_ended = true;
            }
            Event::Get | Event::Put | Event::Last => {
                self.puts.push(matches!(event, Event::Put));
                self.has_ended = matches!(event, Event::Last);
                self.pipeline.push(number, (), 10, self.has_ended);
            }
        }
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
        loop {
            let puts = &self.puts;
            if let Some(start) = self.pipeline.start_next(|n| !puts[*n]) {
                let number = start.request;
                prop_assert!(!self.is_closed, "{number} started after the closing answer");
                let open = number - self.written.len();
                prop_assert_eq!(open, start.ahead);
                let is_alone = open == 0 || !puts[self.written.len()..=number].contains(&true);
                prop_assert!(
                    is_alone,
                    "{number} started beside a request that is not idempotent"
                );
                self.running.push((number, start.slot));
            } else if let Some(due) = self.pipeline.next_answer() {
                prop_assert!(
                    !self.is_closed,
                    "{} written after the closing answer",
                    due.answer
                );
                prop_assert_eq!(due.answer, self.written.len(), "out of order");
                self.written.push(due.answer);
                self.is_closed = due.is_closing;
                prop_assert!(
                    !due.is_closing || self.running.is_empty(),
                    "closed with requests running"
                );
            } else {
                return Ok(());
            }
        }
    }
}

/// Answers are written in order; a request that is not idempotent runs alone; after
/// the closing answer nothing starts or is written, and it leaves no request unanswered;
/// once all running requests are answered, none that may start remains.
#[test]
fn keep_order() {
    fuzz::check(&vec(event(), 0..60), |events| {
        let mut model = Model {
            pipeline: Pipeline::new(BOUNDS),
            puts: Vec::new(),
            running: Vec::new(),
            written: Vec::new(),
            has_ended: false,
            is_closed: false,
        };
        for event in events {
            model.event(event);
            model.step()?;
        }
        while !model.running.is_empty() {
            model.event(Event::Answer(0, 0));
            model.step()?;
        }
        let is_complete = model.written.len() == model.puts.len();
        prop_assert!(is_complete, "{:?} of {:?}", model.written, model.puts);
        prop_assert_eq!(model.is_closed, model.pipeline.is_closed());
        Ok(())
    });
}
