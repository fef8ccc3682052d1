//! Text scenarios for the gate and the dispatcher together: `run` takes an
//! event a line and prints, below each, what the engine wants done.
//!
//! `REWRITE=1 cargo test -p steer --test gate_scenarios` records outputs.

#[path = "gate_scenarios/bench.rs"]
mod bench;
#[path = "gate_scenarios/line.rs"]
mod line;
#[path = "gate_scenarios/scene.rs"]
mod scene;

#[test]
fn gate_scenarios_hold() {
    datadriven::walk("tests/gate", |file| {
        file.run(|case| match &*case.directive {
            "run" => bench::run(&case.input),
            other => format!("no directive {other:?}; use run\n"),
        });
    });
}
