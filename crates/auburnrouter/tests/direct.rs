//! End-to-end tests on the users' platform: entry instances as processes, with
//! stand-ins for the store, the operator and the targets.

#[path = "direct/fleet.rs"]
mod fleet;
#[path = "direct/harness.rs"]
mod harness;

#[path = "direct/answers.rs"]
mod answers;
#[path = "direct/backoff.rs"]
mod backoff;
#[path = "direct/bystanders.rs"]
mod bystanders;
#[path = "direct/crashes.rs"]
mod crashes;
#[path = "direct/cut.rs"]
mod cut;
#[path = "direct/early_answers.rs"]
mod early_answers;
#[path = "direct/endless.rs"]
mod endless;
#[path = "direct/follow.rs"]
mod follow;
#[path = "direct/keys.rs"]
mod keys;
#[path = "direct/late_reports.rs"]
mod late_reports;
#[path = "direct/leaving.rs"]
mod leaving;
#[path = "direct/limits.rs"]
mod limits;
#[path = "direct/loads.rs"]
mod loads;
#[path = "direct/operators.rs"]
mod operators;
#[path = "direct/pipeline.rs"]
mod pipeline;
#[path = "direct/referral.rs"]
mod referral;
#[path = "direct/regions.rs"]
mod regions;
#[path = "direct/repeats.rs"]
mod repeats;
#[path = "direct/reports.rs"]
mod reports;
#[path = "direct/requests.rs"]
mod requests;
#[path = "direct/slow_readers.rs"]
mod slow_readers;
#[path = "direct/stop.rs"]
mod stop;
#[path = "direct/unread.rs"]
mod unread;
#[path = "direct/uploads.rs"]
mod uploads;
