//! Applies and logs what the heads of targets' answers report of the targets.

use std::sync::Arc;

use hyper::header::HeaderMap;
use platform::headers;
use steer::process::direct::target::Feedback;

use super::{Shared, events};

/// Applies the report of a target, of the given incarnation, in its answer to `request`.
pub fn apply(
    shared: &Shared,
    (target, incarnation): (&Arc<str>, u64),
    feedback: Feedback,
    fields: &HeaderMap,
    request: &str,
) {
    let effect = shared.decide(|now, d| d.apply_feedback(now, target, incarnation, feedback));
    if effect.limit_changed {
        events::limit_changed(shared, target, feedback.limit, request);
    }
    if let Some(backoff) = feedback.backoff {
        shared.metrics.backoffs.inc();
        events::backoff_asked(shared, target, backoff, request);
    }
    if effect.began_leaving {
        events::target_leaving(shared, target, request);
    }
    for name in headers::unknown_answer_headers(fields) {
        if shared.metrics.count_unknown_header(name.as_str()) {
            events::unknown_header(shared, target, name.as_str(), request);
        }
    }
    for name in headers::unread_answer_values(fields) {
        let value = fields.get(name).map_or(&[][..], |v| v.as_bytes());
        shared.metrics.count_unread_value(name.as_str());
        events::unread_value(shared, target, name.as_str(), value, request);
    }
}
