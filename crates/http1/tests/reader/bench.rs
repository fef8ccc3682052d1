//! Test driver that feeds split input to a reader and prints the result.

use http1::reader::{Limits, Reader, Step};

/// Reads `input`, split at `cuts`; returns a line for each request or fault, and one
/// for the final state.
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
            // The splits decide when this step comes; it only announces a body.
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
