//! Datagrams between instances: heartbeats, notices of what targets asked, reports of
//! requests that crash targets and permits to run those that may, reports and grants of
//! quota tokens, reports of requests at targets and of regions' loads, and rates of
//! callers' requests.
//!
//! Datagrams may be lost: counts and totals are repeated in later ones, and none
//! waits behind another. Data that must arrive complete goes over the calls of
//! [`super::peer`].

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use smol::net;
use steer::process::direct::members;
use steer::process::direct::permit;
use steer::process::direct::quota;
use steer::process::direct::suspect::SuspectMessage;
use wire::direct::suspects::Suspects;
use wire::direct::{DATAGRAM_MAX, Heartbeat, Message};

use super::{Shared, events, lock};

/// Time between heartbeats to the nearest instances, which share targets and so
/// need each other's in-flight counts. Also the pause after a receive error.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// One in this many heartbeats also goes to remote instances: further ones of the
/// region and those of other regions.
const REMOTE_EVERY: u64 = 3;

/// One in this many heartbeats carries this instance's registration.
const REGISTRATION_EVERY: u64 = 6;

/// Sends heartbeats until the process ends. Between those that go to remote
/// instances too, one is skipped if the in-flight counts are unchanged.
pub async fn broadcast(shared: Arc<Shared>, socket: net::UdpSocket) {
    let mut count = 0;
    let mut last_sent = Vec::new();
    loop {
        smol::Timer::after(HEARTBEAT_INTERVAL).await;
        count += 1;
        let all = count % REMOTE_EVERY == 0;
        send_notices(&shared, &socket, all).await;
        let in_flight = shared.read(|_, d| d.roster.in_flight());
        if !all && in_flight == last_sent {
            continue;
        }
        last_sent = in_flight;
        send(&shared, &socket, all, count % REGISTRATION_EVERY == 0).await;
    }
}

/// Sends a heartbeat to all recipients at once, to announce the shutdown.
pub async fn send_final(shared: &Shared, socket: &net::UdpSocket) {
    send(shared, socket, true, true).await;
}

/// Sends one heartbeat to the nearest instances, and with `all` to remote ones;
/// `with_registration` adds this instance's registration.
async fn send(shared: &Shared, socket: &net::UdpSocket, all: bool, with_registration: bool) {
    let (heartbeat, recipients) = {
        let mut steering = lock(&shared.steering);
        let now = shared.now();
        let heartbeat = steering.direct.heartbeat(now, with_registration);
        (heartbeat, steering.direct.recipients(now))
    };
    // The state of this region's targets is of no use in other regions, and
    // traffic between regions costs most.
    let reduced = members::Heartbeat {
        in_flight: Vec::new(),
        warm_objects: Vec::new(),
        observations: Vec::new(),
        ..heartbeat.clone()
    };
    let complete = Message::Heartbeat(Box::new(Heartbeat::from(heartbeat))).encode();
    let reduced = Message::Heartbeat(Box::new(Heartbeat::from(reduced))).encode();
    let region = recipients.region.into_iter().filter(|_| all);
    for addr in recipients.local.into_iter().chain(region) {
        // A failed send counts as a lost datagram: the next heartbeat follows soon.
        let _ = socket.send_to(&complete, addr).await;
    }
    for addr in recipients.remote.into_iter().filter(|_| all) {
        let _ = socket.send_to(&reduced, addr).await;
    }
}

/// Tells the nearest instances, and with `all` remote ones, what targets have asked of
/// this one, if there is anything. It goes to other regions too, as their requests come
/// to the same targets.
async fn send_notices(shared: &Shared, socket: &net::UdpSocket, all: bool) {
    let (notices, recipients) = {
        let mut steering = lock(&shared.steering);
        let now = shared.now();
        let notices = steering.direct.target_notices(now);
        if notices.is_empty() {
            return;
        }
        (notices, steering.direct.recipients(now))
    };
    let message = Message::Notices(notices.into()).encode();
    let remote = recipients.region.into_iter().chain(recipients.remote);
    let recipients = recipients.local.into_iter();
    for addr in recipients.chain(remote.filter(|_| all)) {
        // A failed send counts as a lost datagram: the next notices follow soon.
        let _ = socket.send_to(&message, addr).await;
    }
}

/// Time between two rounds of news about suspects, and of requests for permits to run them.
const NEWS_INTERVAL_MIN: Duration = Duration::from_millis(5);

/// Tells other instances which requests crash targets, or may, and requests permits to
/// run the latter, until the process ends: news at once, and everything in turn.
pub async fn report_suspects(shared: Arc<Shared>, socket: net::UdpSocket) {
    let mut told_at = shared.now();
    loop {
        let is_asking = shared.read(|_, d| d.is_requesting_permits());
        let pace = if is_asking {
            permit::REQUEST_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        let due = async {
            smol::Timer::after(pace).await;
        };
        future::or(shared.until_suspect_news(), due).await;
        let (asks, news, all) = {
            let mut steering = lock(&shared.steering);
            let now = shared.now();
            let direct = &mut steering.direct;
            let is_turn = now.since(told_at) >= HEARTBEAT_INTERVAL;
            if is_turn {
                told_at = now;
            }
            let all = is_turn.then(|| direct.suspect_message(now)).flatten();
            (direct.permit_requests(now), direct.suspect_news(now), all)
        };
        for (addr, ask) in asks {
            let ask = Message::PermitRequest(ask.into()).encode();
            // A failed send counts as a lost datagram: the request is repeated.
            let _ = socket.send_to(&ask, addr).await;
        }
        for message in news.into_iter().chain(all) {
            send_suspects(&shared, &socket, message).await;
        }
        // A permit that this instance issues to itself may let a request go.
        shared.decide(|_, _| ());
        smol::Timer::after(NEWS_INTERVAL_MIN).await;
    }
}

async fn send_suspects(shared: &Shared, socket: &net::UdpSocket, message: SuspectMessage) {
    let reports = Suspects::new(&shared.settings.name, &message.reports);
    let reports = Message::Suspects(reports).encode();
    for addr in message.recipients {
        // A failed send counts as a lost datagram: the next turn follows soon.
        let _ = socket.send_to(&reports, addr).await;
    }
}

/// Minimum time between two rounds of quota reports.
const QUOTA_REPORT_INTERVAL_MIN: Duration = Duration::from_millis(5);

/// Reports this instance's use of teams' quotas until the process ends: at a
/// regular pace, and at once when a request begins to wait for a token.
pub async fn report_quotas(shared: Arc<Shared>, socket: net::UdpSocket) {
    loop {
        let pace = shared.read(|_, d| d.report_interval());
        let due = async {
            smol::Timer::after(pace).await;
        };
        future::or(shared.until_quota_wait(), due).await;
        let due = {
            let mut steering = lock(&shared.steering);
            let now = shared.now();
            steering.direct.quota_reports(now)
        };
        for quota::OutgoingReport { addr, report } in due {
            let report = Message::Report(report.into()).encode();
            // A failed send counts as a lost datagram: the next report follows soon.
            let _ = socket.send_to(&report, addr).await;
        }
        // Tokens granted by this instance's own pool may admit waiting requests.
        shared.decide(|_, _| ());
        smol::Timer::after(QUOTA_REPORT_INTERVAL_MIN).await;
    }
}

/// Receives datagrams until the process ends: heartbeats, quota reports, which are
/// answered with a grant, and grants.
pub async fn receive(shared: Arc<Shared>, socket: net::UdpSocket) {
    let mut bytes = vec![0; DATAGRAM_MAX * 2];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut bytes).await else {
            // Errors of earlier sends, such as an unreachable peer, surface here;
            // later datagrams still arrive.
            smol::Timer::after(HEARTBEAT_INTERVAL).await;
            continue;
        };
        match Message::decode(&bytes[..len]) {
            Ok(Message::Heartbeat(beat)) => {
                shared.update(|now, d| d.receive_heartbeat(now, (*beat).into()));
            }
            Ok(Message::Report(report)) => {
                let grant = {
                    let mut steering = lock(&shared.steering);
                    let now = shared.now();
                    steering.direct.receive_report(now, report.into())
                };
                let grant = Message::Grant(grant.into()).encode();
                // A failed send counts as a lost datagram: the answer to the next
                // report repeats the totals.
                let _ = socket.send_to(&grant, from).await;
            }
            Ok(Message::Notices(notices)) => {
                let notices: Vec<_> = notices.into();
                shared.update(|now, d| d.receive_target_notices(now, &notices));
            }
            Ok(Message::Suspects(suspects)) => {
                let (sender, reports) = suspects.decode();
                shared.decide(|now, d| d.receive_suspects(now, &sender, &reports));
            }
            Ok(Message::PermitRequest(ask)) => {
                let ask = ask.into();
                let answer = shared.decide(|now, d| d.receive_permit_request(now, &ask));
                if let Some(answer) = answer {
                    let answer = Message::PermitReply(answer.into()).encode();
                    // A failed send counts as a lost datagram: the request is repeated.
                    let _ = socket.send_to(&answer, from).await;
                }
            }
            Ok(Message::PermitReply(answer)) => {
                let answer = answer.into();
                shared.decide(|now, d| d.receive_permit_reply(now, &answer));
            }
            Ok(Message::CallerRate(rate)) => {
                shared.update(|now, d| d.receive_caller_rate(now, rate.into()));
            }
            Ok(Message::Grant(grant)) => {
                let grant = quota::Grant::from(grant);
                shared.decide(|now, direct| direct.receive_grant(now, &grant));
            }
            Ok(Message::TargetLoads(loads)) => {
                let mut is_used = false;
                shared.update(|now, d| is_used = d.receive_loads(now, loads.into()));
                if is_used {
                    shared.metrics.target_loads.received.inc();
                }
            }
            Ok(Message::RegionLoads(loads)) => {
                shared.update(|now, d| d.receive_region_report(now, loads.into()));
            }
            Err(error) => events::input_rejected(&shared, "datagram", &error.to_string()),
        }
    }
}
