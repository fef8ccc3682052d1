//! Steps and verdicts of an operator's change, with lost answers and conflicts.

use std::sync::Arc;

use rstest::rstest;
use steer::process::config::{Body, Change, File, Hash, Head, RECENT};
use steer::process::control::apply::{Apply, Base, Expect, Outcome, Step, Verdict};
use steer::process::control::store::StoredHead;
use steer::version::view::Version;

fn head(version: u64, id: &str) -> Head {
    let change = |v: u64| Change {
        version: Version(v),
        id: if v == version {
            id.into()
        } else {
            format!("other-{v}").into()
        },
    };
    Head {
        version: Version(version),
        recent: (1..=version).rev().take(RECENT).map(change).collect(),
        files: Vec::new(),
    }
}

fn stored(version: u64, id: &str, revision: u64) -> StoredHead {
    let head = Arc::new(head(version, id));
    StoredHead { head, revision }
}

/// The change `mine`, from version 3 at revision 7 to version 4, without
/// bodies.
fn change() -> Apply {
    let base = Base {
        stored: Some(stored(3, "old", 7)),
        force: Version(3),
    };
    Apply::new("mine".into(), base, Vec::new(), Vec::new())
}

fn written_head(step: Step) -> (Arc<Head>, Expect) {
    match step {
        Step::PutHead { head, expect } => (head, expect),
        other => panic!("no write of the head: {other:?}"),
    }
}

fn unknown() -> Step {
    Step::Done(Verdict::Unknown {
        version: Version(4),
        id: "mine".into(),
    })
}

#[test]
fn change_goes_through() {
    let body = Body {
        hash: Hash([1; 32]),
        bytes: b"text"[..].into(),
    };
    let file = File {
        name: "base".into(),
        hash: body.hash,
    };
    let base = Base {
        stored: Some(stored(3, "old", 7)),
        force: Version(3),
    };
    let mut apply = Apply::new("mine".into(), base, vec![file], vec![body.clone()]);
    assert_eq!(apply.missing_bodies(), []);
    assert_eq!(apply.start(), Step::PutBody(body));
    let (head, expect) = written_head(apply.next(Outcome::Written));
    assert_eq!(expect, Expect::Revision(7));
    assert_eq!(head.version, Version(4));
    assert_eq!(&*head.recent[0].id, "mine");
    assert_eq!(&*head.recent[1].id, "old");
    let done = apply.next(Outcome::Written);
    assert_eq!(done, Step::Done(Verdict::InForce(Version(4))));
}

#[test]
fn change_without_its_body() {
    let file = File {
        name: "base".into(),
        hash: Hash([1; 32]),
    };
    let base = Base {
        stored: None,
        force: Version(0),
    };
    let mut apply = Apply::new("mine".into(), base, vec![file], Vec::new());
    assert_eq!(apply.missing_bodies(), [Hash([1; 32])]);
    let (_, expect) = written_head(apply.start());
    assert_eq!(expect, Expect::Absent);
}

#[test]
fn store_behind() {
    let base = Base {
        stored: Some(stored(3, "old", 7)),
        force: Version(9),
    };
    let mut apply = Apply::new("mine".into(), base, Vec::new(), Vec::new());
    let verdict = Verdict::StoreBehind {
        stored: Version(3),
        force: Version(9),
    };
    assert_eq!(apply.start(), Step::Done(verdict));
}

/// The client's library sends the write twice, so the second one conflicts with
/// the first. The change must not be reported as refused.
#[test]
fn conflict_with_itself() {
    let mut apply = change();
    apply.start();
    let done = apply.next(Outcome::Conflict(Some(stored(4, "mine", 8))));
    assert_eq!(done, Step::Done(Verdict::InForce(Version(4))));
}

/// The answer to the write of the head is lost. The head that is read then
/// decides the verdict.
#[rstest]
#[case::landed(stored(4, "mine", 8), Verdict::InForce(Version(4)))]
#[case::landed_and_followed(stored(9, "theirs", 13), Verdict::Conflict(Version(9)))]
#[case::overtaken(stored(4, "theirs", 8), Verdict::Conflict(Version(4)))]
#[case::fenced_by_another(stored(3, "old", 8), Verdict::NotAccepted)]
fn lost_answer(#[case] found: StoredHead, #[case] verdict: Verdict) {
    let mut apply = change();
    apply.start();
    assert_eq!(apply.next(Outcome::Lost), Step::ReadHead);
    assert_eq!(apply.next(Outcome::Read(Some(found))), Step::Done(verdict));
}

/// After a lost answer the head is unchanged, so the write may still take
/// effect. The fence either replaces it or finds that it has taken effect
/// meanwhile.
#[rstest]
#[case::fence_first(Outcome::Written, Verdict::NotAccepted)]
#[case::landed_first(
    Outcome::Conflict(Some(stored(4, "mine", 8))),
    Verdict::InForce(Version(4))
)]
fn lost_answer_fenced(#[case] outcome: Outcome, #[case] verdict: Verdict) {
    let mut apply = change();
    apply.start();
    apply.next(Outcome::Lost);
    let old = stored(3, "old", 7);
    let fence = apply.next(Outcome::Read(Some(old.clone())));
    assert_eq!(written_head(fence), (old.head, Expect::Revision(7)));
    assert_eq!(apply.next(outcome), Step::Done(verdict));
}

/// More changes followed than a head records, so the verdict has to stay
/// unknown.
#[test]
fn lost_answer_forgotten() {
    let mut apply = change();
    apply.start();
    apply.next(Outcome::Lost);
    let found = stored(4 + RECENT as u64, "theirs", 30);
    assert_eq!(apply.next(Outcome::Read(Some(found))), unknown());
}

#[test]
fn lost_answers_for_ever() {
    let mut apply = change();
    apply.start();
    let mut step = apply.next(Outcome::Lost);
    let mut reads = 0;
    while step == Step::ReadHead {
        reads += 1;
        step = apply.next(Outcome::Lost);
    }
    assert_eq!(step, unknown());
    assert_eq!(reads, 5);
}
