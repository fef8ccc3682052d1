//! Parsing of keys: an issued key is parsed back to its prefix, and other texts
//! are not taken for issued keys.

use std::sync::Arc;

use rstest::rstest;
use steer::request::{key, record};
use steer::version::view;

use proptest::prelude::*;

fn stamps() -> impl Strategy<Value = key::Stamp> {
    (any::<u64>(), any::<u64>()).prop_map(|(incarnation, epoch)| key::Stamp {
        incarnation: view::Incarnation(incarnation),
        epoch,
    })
}

proptest! {
    #[test]
    fn issued_keys_read_back(
        owner in stamps(),
        witness in proptest::option::of(stamps()),
        nonce in "[A-Za-z0-9_:-]{16,64}",
    ) {
        let prefix = key::Prefix { owner, witness };
        let text: Arc<str> = format!("{prefix}{nonce}").into();
        match key::Key::try_from(&text) {
            Ok(key::Key::Issued(key)) => prop_assert_eq!(key.prefix, prefix),
            other => prop_assert!(false, "{:?}", other),
        }
    }

    // Each prefix has exactly one spelling. Two spellings of a key would get two
    // records, and the request would run twice.
    #[test]
    fn issued_keys_have_one_spelling(text in "a1\\.[0-9a-fA-F+]{0,17}\\.[0-9+]{1,3}\\.(0|[0-9a-f]{16})\\.[0-9]{1,3}\\.[a-z]{16}") {
        let text: Arc<str> = text.into();
        if let Ok(key::Key::Issued(key)) = key::Key::try_from(&text) {
            prop_assert!(text.starts_with(&key.prefix.to_string()), "{}", text);
        }
    }

    #[test]
    fn any_text_is_read_or_refused(text in ".{0,200}") {
        let text: Arc<str> = text.into();
        let _ = key::Key::try_from(&text);
        let _ = record::Claim::try_from(&*text);
    }
}

#[rstest]
#[case("", key::KeyError::Length(0))]
#[case("fifteen-letters", key::KeyError::Length(15))]
#[case("white space is no part of keys", key::KeyError::Character(' '))]
#[case("\"quoted-by-the-caller\"", key::KeyError::Character('"'))]
#[case("a1.00", key::KeyError::Parts(1))]
#[case("a1.00000000000000a0.0.0.0.fifteen-letters", key::KeyError::Nonce(15))]
#[case("a1.a0.0.0.0.nonce-of-sixteen", key::KeyError::Incarnation)]
#[case(
    "a1.00000000000000a0.+1.0.0.nonce-of-sixteen",
    key::KeyError::Character('+')
)]
#[case("a1.00000000000000a0.01.0.0.nonce-of-sixteen", key::KeyError::Epoch)]
#[case(
    "a1.00000000000000a0.1.0.7.nonce-of-sixteen",
    key::KeyError::Incarnation
)]
fn malformed_keys_are_refused(#[case] text: &str, #[case] error: key::KeyError) {
    assert_eq!(key::Key::try_from(&Arc::from(text)), Err(error));
}
