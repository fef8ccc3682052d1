//! Processes of the instances, and what happens to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use rustix::process::Signal;

use super::super::harness::{self, Entry};
use super::super::requests::Process;
use super::super::{news, store_faults};
use super::{Cluster, ENTRY_DOMAINS, Recovery};

impl Cluster {
    pub(super) fn start_entry(&mut self, number: usize) -> Entry {
        let seeds: Vec<SocketAddr> = self.entries.iter().flatten().map(|e| e.peers).collect();
        let name = format!("i{number}");
        let store = self.store_proxies[number].addr;
        let settings = platform_standin::settings(&name, ENTRY_DOMAINS[number], store, &seeds);
        let settings = harness::with_retries(&settings, self.retries.ratio, self.retries.slack);
        let bounds = [
            ("drain_s", news::DRAIN),
            ("evacuate_s", news::EVACUATION),
            ("config_s", news::CONFIG),
        ];
        let settings = bounds.iter().fold(settings, |settings, (name, span)| {
            harness::with_bound(&settings, (name, span.as_secs_f64()))
        });
        let settings = with_value_bytes(&settings);
        let settings = self.links.translate(&settings, number);
        let entry = Entry::start_with(&settings);
        self.running[number] = self.processes.len();
        self.processes.push(Process {
            lines: Arc::clone(&entry.lines),
            instance: number,
            started_at: Instant::now(),
            ended_at: None,
            frozen_at: Vec::new(),
        });
        entry
    }

    pub(super) fn kill(&mut self, number: usize) {
        if self.frozen.contains(&number) || self.entries[number].take().is_none() {
            return;
        }
        self.end_process(number);
        self.schedule(Recovery::Restart(number));
    }

    /// Records that the process of an instance ends.
    fn end_process(&mut self, number: usize) {
        let process = &mut self.processes[self.running[number]];
        process.ended_at = Some(Instant::now());
    }

    pub(super) fn freeze(&mut self, number: usize) {
        let Some(entry) = &self.entries[number] else {
            return;
        };
        if self.frozen.contains(&number) {
            return;
        }
        entry.signal(Signal::STOP);
        self.processes[self.running[number]]
            .frozen_at
            .push(Instant::now());
        self.frozen.push(number);
        self.schedule(Recovery::Wake(number));
    }

    /// Stops an instance gracefully; callers keep using their connections meanwhile.
    pub(super) fn terminate(&mut self, number: usize) {
        if self.frozen.contains(&number) {
            return;
        }
        let Some(entry) = self.entries[number].take() else {
            return;
        };
        self.end_process(number);
        entry.signal(Signal::TERM);
        self.leaving.push(entry);
        // A replacement starts at once, as in a rolling release.
        let entry = self.start_entry(number);
        self.entries[number] = Some(entry);
    }

    pub(super) fn send_hangup(&self, number: usize) {
        if let Some(entry) = &self.entries[number] {
            entry.signal(Signal::HUP);
        }
    }
}

/// Settings by which the store holds small values, so that few fill an answer.
fn with_value_bytes(settings: &str) -> String {
    let mut settings: serde_json::Value = serde_json::from_str(settings).expect("it is JSON");
    settings["value_bytes"] = store_faults::VALUE_BYTES.into();
    settings.to_string()
}
