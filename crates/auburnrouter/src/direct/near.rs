//! Heartbeats among instances, and asking one of them for what was missed.
//!
//! Heartbeats are datagrams: one that is lost is made up for by the next, and
//! none waits behind another. What has to arrive whole goes by `tarpc`.
//!
//! Invariant: an instance that can't read the store knows what any instance
//! that it hears knows, a moment later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_compat::CompatExt;
use futures_lite::{StreamExt, future};
use smol::net;
use steer::process::direct::members;
use tarpc::server::{self, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use wire::near::{Beat, DATAGRAM, Picture};

use super::{Executor, Shared, events, lock, source};
use crate::daemon::peers;

/// Calls that an instance takes from others.
#[tarpc::service]
pub trait Near {
    /// What it knows of the platform's store, if it knows more than up to
    /// revision `known`.
    async fn picture(known: u64) -> Option<Picture>;
}

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

/// Time between looks at whether another instance knows more.
const LOOK: Duration = Duration::from_millis(300);

/// Time for a call to another instance, with opening its connection.
const CALL: Duration = Duration::from_secs(1);

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

/// Answers other instances until the process ends.
pub async fn serve(shared: Arc<Shared>, socket: net::TcpListener, executor: Executor) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            smol::Timer::after(SOON).await;
            continue;
        };
        let transport = serde_transport::new(peers::frames(stream), Bincode::default());
        let channel = server::BaseChannel::with_defaults(transport);
        let calls = channel.execute(Answering(Arc::clone(&shared)).serve());
        let calls_on = Arc::clone(&executor);
        let run = async move {
            let mut calls = std::pin::pin!(calls);
            while let Some(call) = calls.next().await {
                calls_on.spawn(call.compat()).detach();
            }
        };
        executor.spawn(run.compat()).detach();
    }
}

#[derive(Clone)]
struct Answering(Arc<Shared>);

impl Near for Answering {
    async fn picture(self, _: context::Context, known: u64) -> Option<Picture> {
        let picture = source::picture(&self.0);
        (picture.revision > known).then_some(picture)
    }
}

/// Asks another instance whenever one has known more than this one for two
/// looks in a row. One look isn't enough: what the store has just told one
/// instance is on its way to the others.
pub async fn catch_up(shared: Arc<Shared>) {
    let mut before = None;
    loop {
        smol::Timer::after(LOOK).await;
        let (ahead, revision) = shared.read(|now, d| (d.ahead(now), d.revision()));
        let stuck = before == Some(revision);
        before = ahead.map(|_| revision);
        if let Some(addr) = ahead
            && stuck
        {
            ask(&shared, addr).await;
        }
    }
}

/// Asks the instances that the settings name, until anything is known: a
/// process may start while the store is away.
pub async fn first(shared: Arc<Shared>) {
    smol::Timer::after(LOOK).await;
    while shared.read(|_, d| d.revision()) == 0 {
        for seed in &shared.settings.seeds {
            if *seed != shared.settings.listen.peers {
                ask(&shared, *seed).await;
            }
        }
        smol::Timer::after(LOOK).await;
    }
}

async fn ask(shared: &Arc<Shared>, addr: SocketAddr) {
    let known = shared.read(|_, d| d.revision());
    let late = async {
        smol::Timer::after(CALL).await;
        None
    };
    let asked = future::or(call(addr, known).compat(), late).await;
    let outcome = if asked.is_some() { "told" } else { "nothing" };
    events::asked(shared, addr, known, outcome);
    if let Some(picture) = asked {
        source::take(shared, picture);
    }
}

async fn call(addr: SocketAddr, known: u64) -> Option<Picture> {
    let stream = net::TcpStream::connect(addr).await.ok()?;
    let transport = serde_transport::new(peers::frames(stream), Bincode::default());
    let calls = NearClient::new(client::Config::default(), transport);
    let dispatch = calls.dispatch;
    let mut context = context::current();
    context.deadline = Instant::now() + CALL;
    let answer = async { calls.client.picture(context, known).await.ok().flatten() };
    let moved = async {
        // It ends with the connection; the answer tells what became of the call.
        let _ = dispatch.await;
        future::pending().await
    };
    future::or(answer, moved).await
}
