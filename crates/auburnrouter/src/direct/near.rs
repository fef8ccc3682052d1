//! Heartbeats among instances.
//!
//! They are datagrams: one that is lost is made up for by the next, and none
//! waits behind another. What has to arrive whole goes by `peer`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol::net;
use steer::process::direct::members;
use wire::near::{Beat, DATAGRAM};

use super::{Shared, events, lock};

/// Time between heartbeats to instances of the own region, which share targets
/// and so need each other's counts.
const SOON: Duration = Duration::from_millis(250);

/// Every how many of them goes to instances of other regions too.
const AFAR: u64 = 3;

/// Every how many of them carries the row.
const ROW: u64 = 6;

/// Instances of the own region that get each heartbeat, and all others; in
/// larger fleets counts of further ones aren't worth their bytes.
const NEAR_MOST: usize = 8;
const FAR_MOST: usize = 24;

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
        (beat, receivers(shared, now, &steering.direct))
    };
    // What targets of this region have and hold is of no use elsewhere, and
    // bytes between regions are the dearest.
    let far = members::Beat {
        flying: Vec::new(),
        held: Vec::new(),
        ..beat.clone()
    };
    let near = Beat::from(beat).encode();
    let far = Beat::from(far).encode();
    for addr in to.near {
        // As good as lost: the next one is due in a moment.
        let _ = socket.send_to(&near, addr).await;
    }
    for addr in to.far.into_iter().filter(|_| all) {
        let _ = socket.send_to(&far, addr).await;
    }
}

/// Who gets a heartbeat.
struct Receivers {
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
}

fn receivers(
    shared: &Shared,
    now: steer::clock::Time,
    direct: &steer::process::direct::Direct,
) -> Receivers {
    let own = &shared.settings.region;
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for (name, row) in direct.listeners(now) {
        let list = if row.region == *own {
            &mut near
        } else {
            &mut far
        };
        list.push((distance(&shared.settings.name, name), row.beats));
    }
    near.sort_unstable();
    near.truncate(NEAR_MOST);
    far.sort_unstable();
    far.truncate(FAR_MOST);
    let addrs = |list: Vec<(u64, SocketAddr)>| list.into_iter().map(|r| r.1).collect();
    Receivers {
        near: addrs(near),
        far: addrs(far),
    }
}

/// Spreads who tells whom, the same both ways.
fn distance(one: &str, other: &str) -> u64 {
    u64::from(members::mark(one) ^ members::mark(other))
}

/// Takes heartbeats until the process ends.
pub async fn hear(shared: Arc<Shared>, socket: net::UdpSocket) {
    let mut bytes = vec![0; DATAGRAM * 2];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut bytes).await else {
            // The system reports a peer that has gone here; the next datagram
            // comes all the same.
            smol::Timer::after(SOON).await;
            continue;
        };
        match Beat::decode(&bytes[..len]) {
            Ok(beat) => shared.note(|now, direct| direct.hear(now, beat.into())),
            Err(error) => events::refused(&shared, "heartbeat", &error.to_string()),
        }
    }
}
