//! Reports on the load of this region to instances of other regions, while a service is
//! short here.
//!
//! Invariant: while no service is short, nothing is sent and nothing wakes the task.

use std::sync::Arc;
use std::time::Duration;

use smol::net;
use wire::direct::Message;

use super::{Shared, lock};

/// Time between two reports. Several of them may be lost before the values of the last one
/// end.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Sends reports until the process ends.
pub async fn report(shared: Arc<Shared>, socket: net::UdpSocket) {
    loop {
        shared.until_region_report().await;
        let due = {
            let mut steering = lock(&shared.steering);
            let now = shared.now();
            steering.direct.region_report(now)
        };
        if let Some((report, recipients)) = due {
            let message = Message::RegionLoads(report.into()).encode();
            for addr in recipients {
                // A failed send counts as a lost datagram: the next report follows soon.
                let _ = socket.send_to(&message, addr).await;
            }
        }
        smol::Timer::after(REPORT_INTERVAL).await;
    }
}
