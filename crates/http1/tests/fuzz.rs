//! Any bytes, cut anywhere, and any order of events.
//!
//! `FUZZ_CASES=100000 FUZZ_SEED=7 cargo test --release -p http1 --test fuzz`
//! plays more. A case that failed becomes a line of the text files.

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

/// A request that callers send, and what is read of it.
#[derive(Clone, Debug)]
struct Sound {
    text: Vec<u8>,
    line: String,
}

fn sound() -> impl Strategy<Value = Sound> {
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
            Sound { text, line }
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

/// Places to cut `length` bytes at, in order.
fn cuts(places: &[u16], length: usize) -> Vec<usize> {
    let mut cuts: Vec<usize> = places
        .iter()
        .map(|p| usize::from(*p) % (length + 1))
        .collect();
    cuts.sort_unstable();
    cuts
}

/// Sound requests in a row, cut anywhere, are read as they were sent.
#[test]
fn read_sound_requests() {
    let strategy = (vec(sound(), 0..6), vec(any::<u16>(), 0..12));
    fuzz::check(&strategy, |(sent, places)| {
        let text: Vec<u8> = sent.iter().flat_map(|s| s.text.clone()).collect();
        let read = bench::read(&text, LIMITS, &cuts(&places, text.len()));
        let mut lines: Vec<String> = sent.into_iter().map(|s| s.line).collect();
        lines.push("idle".into());
        prop_assert_eq!(read, lines);
        Ok(())
    });
}

/// Pieces that requests are made of, sound and broken.
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

/// Whatever comes, cut anywhere, is read as when it comes whole, without a
/// panic; behind a fault nothing is read.
#[test]
fn read_alike_however_cut() {
    let strategy = (vec(piece(), 0..24), vec(any::<u16>(), 0..12));
    fuzz::check(&strategy, |(pieces, places)| {
        let text = pieces.concat();
        let whole = bench::read(&text, LIMITS, &[]);
        let read = bench::read(&text, LIMITS, &cuts(&places, text.len()));
        prop_assert_eq!(&whole, &read);
        let bytes: Vec<usize> = (1..text.len()).collect();
        prop_assert_eq!(&whole, &bench::read(&text, LIMITS, &bytes));
        // A method may begin with a digit too.
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

/// What happens on a connection.
#[derive(Clone, Copy, Debug)]
enum Event {
    Get,
    Put,
    Last,
    Malformed,
    /// The request that has run for the n-th longest is answered.
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

/// Requests by number, and what became of them.
struct World {
    pipeline: Pipeline<usize, usize, ()>,
    puts: Vec<bool>,
    running: Vec<(usize, Slot)>,
    left: Vec<usize>,
    ended: bool,
    closed: bool,
}

impl World {
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
            _ if self.ended || !self.pipeline.has_room() => {}
            Event::Malformed => {
                self.puts.push(false);
                self.pipeline.reject(number, ());
                self.ended = true;
            }
            Event::Get | Event::Put | Event::Last => {
                self.puts.push(matches!(event, Event::Put));
                self.ended = matches!(event, Event::Last);
                self.pipeline.push(number, (), 10, self.ended);
            }
        }
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
        loop {
            let puts = &self.puts;
            if let Some(start) = self.pipeline.start_next(|n| !puts[*n]) {
                let number = start.request;
                prop_assert!(!self.closed, "{number} started behind the end");
                let open = number - self.left.len();
                prop_assert_eq!(open, start.ahead);
                let alone = open == 0 || !puts[self.left.len()..=number].contains(&true);
                prop_assert!(
                    alone,
                    "{number} started beside a request that must not repeat"
                );
                self.running.push((number, start.slot));
            } else if let Some(due) = self.pipeline.next_answer() {
                prop_assert!(!self.closed, "{} left behind the end", due.answer);
                prop_assert_eq!(due.answer, self.left.len(), "out of order");
                self.left.push(due.answer);
                self.closed = due.is_closing;
                prop_assert!(
                    !due.is_closing || self.running.is_empty(),
                    "closed with requests at work"
                );
            } else {
                return Ok(());
            }
        }
    }
}

/// Answers leave in order; what must not repeat runs alone; nothing starts or
/// leaves behind the answer that closes; nothing that runs is cut by it; and
/// once all that runs is answered, nothing that may start is left over.
#[test]
fn keep_order() {
    fuzz::check(&vec(event(), 0..60), |events| {
        let mut world = World {
            pipeline: Pipeline::new(BOUNDS),
            puts: Vec::new(),
            running: Vec::new(),
            left: Vec::new(),
            ended: false,
            closed: false,
        };
        for event in events {
            world.event(event);
            world.step()?;
        }
        while !world.running.is_empty() {
            world.event(Event::Answer(0, 0));
            world.step()?;
        }
        let all = world.left.len() == world.puts.len();
        prop_assert!(world.closed || all, "{:?} of {:?}", world.left, world.puts);
        prop_assert_eq!(world.closed, world.pipeline.is_closed());
        Ok(())
    });
}
