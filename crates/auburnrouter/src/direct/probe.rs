//! Probes of targets: connections that are opened to see whether this instance reaches
//! targets, and closed without sending anything.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::{StreamExt, future};
use futures_util::stream::FuturesUnordered;
use steer::process::direct::reach::Probe;

use super::{Shared, events};

/// Longest wait for the next round while this instance is cut off; otherwise rounds begin
/// when a request shows that one is needed.
const CUT_OFF_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Probes targets whenever steering asks for it, until the process ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        until_due(&shared).await;
        let (probes, is_cut) = {
            let mut steering = super::lock(&shared.steering);
            let now = shared.now();
            (
                steering.direct.begin_probes(now),
                steering.direct.is_cut_off(),
            )
        };
        let count = probes.len();
        let reached = count_reached(&shared, &probes, is_cut).await;
        let change = shared.decide(|now, d| d.finish_probes(now, reached, count));
        if let Some(change) = change {
            events::reach_changed(&shared, &change);
            if change.is_cut {
                // Whether idle connections still work shows only when a request is lost.
                shared.target_pool.close_idle();
            } else {
                shared.relays.clear();
            }
        }
    }
}

/// Completes when a round of probes is due.
async fn until_due(shared: &Shared) {
    loop {
        let next = shared.probe_due.listen();
        let (is_due, is_cut) = shared.read(|now, d| (d.is_probe_due(now), d.is_cut_off()));
        if is_due {
            return;
        }
        if is_cut {
            let pause = async {
                smol::Timer::after(CUT_OFF_POLL_INTERVAL).await;
            };
            future::or(next, pause).await;
        } else {
            next.await;
        }
    }
}

/// Opens the connections side by side and counts those that open. Unless `is_cut`, a single
/// one is enough to tell.
async fn count_reached(shared: &Shared, probes: &[Probe], is_cut: bool) -> usize {
    let pool = &shared.target_pool;
    let probe = |probe: &Probe| {
        let addr = probe.addr;
        async move { pool.probe(addr).await.is_ok() }
    };
    let mut running: FuturesUnordered<_> = probes.iter().map(probe).collect();
    let mut reached = 0;
    while let Some(is_reached) = running.next().await {
        reached += usize::from(is_reached);
        if is_reached && !is_cut {
            break;
        }
    }
    reached
}
