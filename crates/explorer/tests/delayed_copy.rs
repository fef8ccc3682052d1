//! Why "not run" ends a key.

use explorer::{check, report, scene, world};
use steer::process::gate;

/// The caller's first copy reaches entry2, its second one the owner, entry0.
const COPIES: [world::Plan; 2] = [
    world::Plan {
        key: 0,
        body: 0,
        to: 2,
    },
    world::Plan {
        key: 0,
        body: 0,
        to: 0,
    },
];

/// Both copies are sent before anybody answers. The first is delayed on its way
/// from entry2 to the owner. The second arrives there, but the witness's word
/// doesn't, so the owner gives up and says "not run". Then the first arrives.
fn delayed_first_copy(safe: gate::Safeguards) -> world::World {
    let bounds = (scene::limits(), safe);
    let mut world = world::World::new(3, bounds, &[world::Source::Issued(0)], &COPIES);
    world.step(world::Step::Call);
    world.step(world::Step::Act(2));
    world.step(world::Step::Hold(last(&world)));
    world.step(world::Step::Call);
    world.step(world::Step::Act(0));
    world.step(world::Step::Hold(last(&world)));
    world.step(world::Step::Clock(0, world::Span::Wait));
    world.settle();
    println!("{}", world.trace.join("\n"));
    world
}

/// The message sent last.
fn last(world: &world::World) -> u32 {
    let serials = (1..100).rev();
    let sent = |serial: &u32| {
        let message = world.message(*serial);
        message.is_some_and(|m| matches!(m.kind, world::Kind::Hop { .. } | world::Kind::Ask { .. }))
    };
    serials
        .into_iter()
        .find(sent)
        .expect("a message is under way")
}

// The caller has been told "not run" and sends the lodgement anew under another
// key. Were the first key to be tried again, the delayed copy would run it a
// second time. The caller sent nothing after it was told, so no rule for callers
// could prevent it; the owner has to close the key.
#[test]
fn delayed_copy_runs_if_not_run_does_not_end_the_key() {
    let safe = report::without("not-run-final").expect("the name is listed");
    let world = delayed_first_copy(safe);
    assert_eq!(world.tally(), [1, 1, 0]);
    assert_eq!(
        check::end(&world),
        Some(check::Fault::FalseNotRun { key: 0 })
    );
}

#[test]
fn delayed_copy_does_not_run() {
    let world = delayed_first_copy(gate::Safeguards::ALL);
    assert_eq!(world.tally(), [0, 2, 0]);
    assert_eq!(check::end(&world), None);
    assert!(world.keys[0].runs.is_empty());
}
