//! Data-driven tests of the reader: the bytes of a connection, and the requests read
//! from them. The result must be the same for the input in one piece, split at each
//! position, and byte by byte.

#[path = "reader/bench.rs"]
mod bench;

use datadriven::TestCase;
use http1::reader::Limits;

/// Decodes the escapes of a text file; its own line breaks are removed.
fn bytes(text: &str) -> Vec<u8> {
    let text = text.replace('\n', "");
    let text = text.replace("\\r", "\r").replace("\\n", "\n");
    text.replace("\\0", "\0").into_bytes()
}

fn number(case: &TestCase, name: &str, default: usize) -> usize {
    let text = case.args.get(name).and_then(|values| values.first());
    text.map_or(default, |t| t.parse().expect("it is a number"))
}

#[test]
fn read_files() {
    datadriven::walk("tests/wire", |file| {
        file.run(|case| {
            assert_eq!(case.directive, "read");
            let limits = Limits {
                head_bytes_max: number(case, "head", 256),
                body_bytes_max: number(case, "body", 64),
            };
            let input = bytes(&case.input);
            let whole = bench::read(&input, limits, &[]);
            for at in 1..input.len() {
                assert_eq!(whole, bench::read(&input, limits, &[at]), "cut at {at}");
            }
            let all: Vec<usize> = (1..input.len()).collect();
            assert_eq!(whole, bench::read(&input, limits, &all), "byte by byte");
            whole.join("\n") + "\n"
        });
    });
}
