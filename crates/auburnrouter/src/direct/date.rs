//! `Date` header of answers, formatted at most once a second on each thread.

use std::cell::RefCell;
use std::time::{SystemTime, UNIX_EPOCH};

/// Formatted date and the second of the Unix epoch that it belongs to.
struct CachedDate {
    second: u64,
    text: String,
}

thread_local! {
    static CACHED: RefCell<CachedDate> = const {
        RefCell::new(CachedDate { second: u64::MAX, text: String::new() })
    };
}

/// Passes the current date, formatted for the `Date` header, to `use_date`.
pub fn with<T>(use_date: impl FnOnce(&str) -> T) -> T {
    let now = SystemTime::now();
    // A clock set before 1970 is wrong in any case; 1 January 1970 is used then.
    let second = now.duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs());
    CACHED.with_borrow_mut(|cached| {
        if cached.second != second {
            cached.second = second;
            cached.text = httpdate::fmt_http_date(now.max(UNIX_EPOCH));
        }
        use_date(&cached.text)
    })
}
