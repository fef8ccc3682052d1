//! Scripted scenarios of the dispatcher. Each file in `tests/dispatch` describes
//! a failure, and runs it with the safeguard enabled and disabled.
//!
//! `REWRITE=1 cargo test -p steer --test dispatch_scenarios` records the outputs.

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
