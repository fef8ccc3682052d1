//! Sends this instance's requests at targets to other instances while a service is short.
//!
//! Invariant: while no service is short, the task sleeps until one becomes short.

use std::sync::Arc;
use std::time::Duration;

use smol::net;
use steer::process::direct::loads::OutgoingReport;
use wire::direct::Message;

use super::{Shared, lock};

/// Minimum time between two rounds, so that the task never runs without a pause.
const PAUSE_MIN: Duration = Duration::from_millis(5);

/// Sends reports until the process ends.
pub async fn report(shared: Arc<Shared>, socket: net::UdpSocket) {
    loop {
        shared.until_load_report().await;
        let due = {
            let mut steering = lock(&shared.steering);
            let now = shared.now();
            steering.direct.load_reports(now)
        };
        for OutgoingReport { recipients, report } in due {
            let report = Message::TargetLoads(report.into()).encode();
            for addr in recipients {
                // A failed send counts as a lost datagram: the next report follows soon.
                let _ = socket.send_to(&report, addr).await;
                shared.metrics.target_loads.sent.inc();
            }
        }
        let pause = shared.read(|now, d| d.load_report_pause(now));
        if let Some(pause) = pause {
            smol::Timer::after(pause.max(PAUSE_MIN)).await;
        }
    }
}
