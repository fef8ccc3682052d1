//! Reports of the rate of callers' requests to other instances of the region, and changes
//! of the instances that callers are told.
//!
//! Answers regions whose instances differ in size, where the load decides how many of them
//! callers are told; nothing is sent in others.
//!
//! Invariant: a report carries the whole rate, so a lost one costs nothing but time.

use std::sync::Arc;

use smol::net;
use steer::process::direct::referral;
use wire::direct::Message;

use super::{Shared, events, lock};

/// Sends this instance's rate and logs changes, until the process ends.
pub async fn report(shared: Arc<Shared>, socket: net::UdpSocket) {
    loop {
        smol::Timer::after(referral::RATE_INTERVAL).await;
        let (change, rate) = {
            let mut steering = lock(&shared.steering);
            let now = shared.now();
            let change = steering.direct.take_referral_change(now);
            (change, steering.direct.caller_rate(now))
        };
        if let Some(status) = change {
            events::referral_changed(&shared, &status);
        }
        let Some((rate, recipients)) = rate else {
            continue;
        };
        let rate = Message::CallerRate(rate.into()).encode();
        for addr in recipients {
            // A failed send counts as a lost datagram: the next rate follows soon.
            let _ = socket.send_to(&rate, addr).await;
        }
    }
}
