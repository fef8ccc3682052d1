//! Targets that name a limit of requests a second.

use super::bench::{Bench, await_line};

#[test]
fn log_limit_named_and_lifted() {
    let bench = Bench::start(1);
    let send = |id| bench.entry.send("GET", "/view/x", id, "");
    send("r1");
    bench.targets[0].limit(Some(2.5));
    let answer = send("r2");
    assert_eq!(
        answer.header("server-limit"),
        Some("2.5"),
        "it is passed on"
    );
    let line = await_line(&bench.entry, "target-limit");
    for part in [r#""target":"t0""#, r#""rate":2.5"#, r#""request":"r2""#] {
        assert!(line.contains(part), "{line}");
    }
    assert!(bench.entry.dump().contains(r#""limit":2.5"#));
    bench.targets[0].limit(None);
    send("r3");
    let line = await_line(&bench.entry, r#""request":"r3","route""#);
    assert!(line.contains(r#""limit_known":2.5"#), "{line}");
    await_line(&bench.entry, r#""rate":null,"request":"r3""#);
}
