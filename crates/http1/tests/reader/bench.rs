//! Reads bytes in pieces and prints what comes of them.

use http1::reader::{Limits, Reader, Step};

/// What is read of `input`, cut at `cuts`, a line each.
pub fn read(input: &[u8], limits: Limits, cuts: &[usize]) -> Vec<String> {
    let mut reader = Reader::new(limits);
    let mut lines = Vec::new();
    let mut from = 0;
    for to in cuts.iter().copied().chain([input.len()]) {
        reader.push(&input[from..to]);
        from = to;
        take(&mut reader, &mut lines);
        let bytes_max = limits.head_bytes_max + limits.body_bytes_max + input.len();
        assert!(
            reader.buffered() <= bytes_max,
            "{} bytes are held",
            reader.buffered()
        );
    }
    let left = match (reader.has_ended(), reader.is_partial()) {
        (true, _) => "ended",
        (false, true) => "needs more",
        (false, false) => "idle",
    };
    lines.push(left.to_owned());
    lines
}

fn take(reader: &mut Reader, lines: &mut Vec<String>) {
    loop {
        match reader.step() {
            Step::NeedMore => return,
            // Told at a moment that depends on the cuts, and only to make room.
            Step::Body { .. } => {}
            Step::Request(complete) => {
                let request = &complete.request;
                let fields = request.headers().iter().map(|(name, value)| {
                    format!(" {name}={:?}", String::from_utf8_lossy(value.as_bytes()))
                });
                let fields: String = fields.collect();
                let closes = if complete.is_closing { " closes" } else { "" };
                lines.push(format!(
                    "{} {}{fields} body={:?}{closes}",
                    request.method(),
                    request.uri(),
                    String::from_utf8_lossy(request.body()),
                ));
            }
            Step::Fault(fault) => {
                lines.push(format!("{} {fault:?}", fault.status().as_str()));
            }
        }
    }
}
