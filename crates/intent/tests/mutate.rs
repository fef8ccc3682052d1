//! No text makes the checks panic, however a file was damaged.

use intent::bundle::{Bundle, File};
use intent::plan::Plan;
use rstest::rstest;

const BASE: &str = include_str!("../../../deploy/bluestone/base.jsonc");
const OVERLAY: &str = r#"{
  "site": "cq-1",
  "services": { "sheetview": { "deadline_ms": 2500 }, "billing": { "sites": ["cq-1"] } },
  "links": [ { "from": "cq", "to": "seq", "mbit": 200 } ],
  "shifts": [ { "service": "sheetview", "from": "cq", "to": "seq", "cap_per_s": 150 } ],
}"#;
const BLOCKS: &str = "10.0.0.0/8 seq\n10.1.0.0/16 cq # inner\n\n10.2.0.0/16 fnq\n";

const ROUNDS: usize = 300;

/// Pieces that tend to break parsers.
const PIECES: [&str; 14] = [
    "{", "}", "[", "]", "\"", ",", ":", "//", "/*", "\\u", "-1", "1e999", "null", "ä",
];

fn mutate(text: &str, rng: &mut fastrand::Rng) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for _ in 0..rng.usize(1..6) {
        let at = rng.usize(..=chars.len());
        let end = (at + rng.usize(..12)).min(chars.len());
        let piece = PIECES[rng.usize(..PIECES.len())];
        match rng.u8(..3) {
            0 => drop(chars.drain(at..end)),
            1 => drop(chars.splice(at..end, piece.chars())),
            _ => drop(chars.splice(at..at, piece.chars())),
        }
    }
    chars.into_iter().collect()
}

/// Leaves the text whole half the time, so that the others' faults are reached.
fn perhaps(text: &str, rng: &mut fastrand::Rng) -> String {
    if rng.bool() {
        return text.to_owned();
    }
    mutate(text, rng)
}

fn file(name: &str, text: String) -> File {
    File {
        name: name.into(),
        text: text.into(),
    }
}

#[rstest]
#[case::first(1)]
#[case::second(2)]
fn check_survives_damage(#[case] seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut refused = 0;
    for round in 0..ROUNDS {
        println!("seed {seed} round {round}");
        let bundle = Bundle {
            base: file("base", perhaps(BASE, &mut rng)),
            overlays: vec![file("overlay", perhaps(OVERLAY, &mut rng))],
            blocks: vec![file("blocks.txt", perhaps(BLOCKS, &mut rng))],
        };
        if let Err(faults) = bundle.check() {
            assert!(!faults.is_empty(), "refused without a fault");
            refused += 1;
        }
    }
    assert!(refused > ROUNDS / 2, "only {refused} refused");
    assert!(refused < ROUNDS, "none accepted: the whole files don't fit");
}

#[test]
fn parse_survives_noise() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..ROUNDS {
        let text: String = (0..rng.usize(..64)).map(|_| rng.char(..)).collect();
        assert!(Plan::parse("noise", &text).is_err(), "{text:?}");
    }
}
