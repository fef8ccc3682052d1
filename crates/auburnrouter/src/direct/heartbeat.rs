//! Heartbeats among instances, and what they tell each other of teams' tokens.
//!
//! All are datagrams: one that is lost is made up for by the next, and none
//! waits behind another. What has to arrive whole goes by `peer`.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use smol::net;
use steer::process::direct::members;
use steer::process::direct::quota;
use wire::near::{Beat, DATAGRAM, Message};

use super::{Shared, events, lock};

/// Time between heartbeats to the nearest instances, which share targets and so
/// need each other's counts.
const SOON: Duration = Duration::from_millis(250);

/// Every how many of them goes to further instances too.
const AFAR: u64 = 3;

/// Every how many of them carries the row.
const ROW: u64 = 6;

/// Sends heartbeats until the process ends, then says that it leaves.
pub async fn beat(shared: Arc<Shared>, socket: net::UdpSocket) {
    let mut count = 0;
    let mut quiet = Vec::new();
    loop {
        smol::Timer::after(SOON).await;
        count += 1;
        let all = count % AFAR == 0;
        let flying = shared.read(|_, d| d.roster.flying());
        if !all && flying == quiet {
            continue;
        }
        quiet = flying;
        send(&shared, &socket, all, count % ROW == 0).await;
    }
}

/// Tells everybody at once that this instance leaves.
pub async fn farewell(shared: &Shared, socket: &net::UdpSocket) {
    send(shared, socket, true, true).await;
}

async fn send(shared: &Shared, socket: &net::UdpSocket, all: bool, row: bool) {
    let (beat, to) = {
        let mut steering = lock(&shared.steering);
        let now = shared.now();
        let beat = steering.direct.beat(now, row);
        (beat, steering.direct.audience(now))
    };
    // What targets of this region have and hold is of no use elsewhere, and
    // bytes between regions are the dearest.
    let far = members::Beat {
        flying: Vec::new(),
        held: Vec::new(),
        observations: Vec::new(),
        ..beat.clone()
    };
    let near = Message::Beat(Box::new(Beat::from(beat))).encode();
    let far = Message::Beat(Box::new(Beat::from(far))).encode();
    let region = to.region.into_iter().filter(|_| all);
    for addr in to.near.into_iter().chain(region) {
        // As good as lost: the next one is due in a moment.
        let _ = socket.send_to(&near, addr).await;
    }
    for addr in to.far.into_iter().filter(|_| all) {
        let _ = socket.send_to(&far, addr).await;
    }
}

/// Shortest time between two reports of teams' tokens.
const URGENT: Duration = Duration::from_millis(5);

/// Reports teams' tokens until the process ends, and at once when a request
/// waits for one.
pub async fn report(shared: Arc<Shared>, socket: net::UdpSocket) {
    loop {
        let pace = shared.read(|_, d| d.report_pace());
        let due = async {
            smol::Timer::after(pace).await;
        };
        future::or(shared.until_quota_wait(), due).await;
        let due = {
            let mut steering = lock(&shared.steering);
            let now = shared.now();
            steering.direct.report_quotas(now)
        };
        for quota::Due { addr, report } in due {
            let report = Message::Report(report.into()).encode();
            // As good as lost: the next one is due in a moment.
            let _ = socket.send_to(&report, addr).await;
        }
        // What this instance's own pool has handed out may let requests go on.
        shared.decide(|_, _| ());
        smol::Timer::after(URGENT).await;
    }
}

/// Takes heartbeats until the process ends.
pub async fn hear(shared: Arc<Shared>, socket: net::UdpSocket) {
    let mut bytes = vec![0; DATAGRAM * 2];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut bytes).await else {
            // The system reports a peer that has gone here; the next datagram
            // comes all the same.
            smol::Timer::after(SOON).await;
            continue;
        };
        match Message::decode(&bytes[..len]) {
            Ok(Message::Beat(beat)) => {
                shared.update(|now, direct| direct.hear(now, (*beat).into()))
            }
            Ok(Message::Report(report)) => {
                let grant = {
                    let mut steering = lock(&shared.steering);
                    let now = shared.now();
                    steering.direct.take_report(now, report.into())
                };
                let grant = Message::Grant(grant.into()).encode();
                // As good as lost: the next report brings it again.
                let _ = socket.send_to(&grant, from).await;
            }
            Ok(Message::Grant(grant)) => {
                let grant = quota::Grant::from(grant);
                shared.decide(|now, direct| direct.take_grant(now, &grant));
            }
            Err(error) => events::refused(&shared, "datagram", &error.to_string()),
        }
    }
}
