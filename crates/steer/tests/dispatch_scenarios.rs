//! Scripted scenarios for the dispatcher: each file in `tests/dispatch` tells
//! of one failure, runs it with the safeguard on, and again with it off.
//!
//! `REWRITE=1 cargo test -p steer --test dispatch_scenarios` records outputs.

#[path = "dispatch_scenarios/script.rs"]
mod script;
#[path = "dispatch_scenarios/world.rs"]
mod world;

#[test]
fn scenarios_hold() {
    datadriven::walk("tests/dispatch", |file| {
        file.run(|case| match &*case.directive {
            "run" => script::run(case),
            other => format!("no directive {other:?}; use run\n"),
        });
    });
}
