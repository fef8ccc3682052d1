//! Data-driven scenarios for the gate and the dispatcher together: `run` takes one
//! event per line and prints the resulting actions below it.
//!
//! `REWRITE=1 cargo test -p steer --test gate_scenarios` rewrites the expected
//! outputs.

#[path = "gate_scenarios/command.rs"]
mod command;
#[path = "gate_scenarios/fixture.rs"]
mod fixture;
#[path = "gate_scenarios/script.rs"]
mod script;

#[test]
fn gate_scenarios_hold() {
    datadriven::walk("tests/gate", |file| {
        file.run(|case| match &*case.directive {
            "run" => script::run(&case.input),
            other => format!("no directive {other:?}; use run\n"),
        });
    });
}
