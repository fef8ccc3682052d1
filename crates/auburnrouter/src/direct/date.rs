//! The date that answers bear, printed once a second.

use std::cell::RefCell;
use std::time::{SystemTime, UNIX_EPOCH};

struct Printed {
    second: u64,
    text: String,
}

thread_local! {
    static PRINTED: RefCell<Printed> = const {
        RefCell::new(Printed { second: u64::MAX, text: String::new() })
    };
}

/// Gives the date of now.
pub fn with<T>(take: impl FnOnce(&str) -> T) -> T {
    let now = SystemTime::now();
    // A clock before 1970 is wrong, and so is any date that it gives.
    let second = now.duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs());
    PRINTED.with_borrow_mut(|printed| {
        if printed.second != second {
            printed.second = second;
            printed.text = httpdate::fmt_http_date(now.max(UNIX_EPOCH));
        }
        take(&printed.text)
    })
}
