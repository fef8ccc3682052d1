//! The traffic threads: one executor, run by a fixed number of threads.
//!
//! Invariant: every thread started here is joined by [`Workers::join`].

use std::io;
use std::sync::Arc;
use std::thread;

/// Where traffic tasks are spawned.
pub type Executor = Arc<smol::Executor<'static>>;

/// The running threads.
pub struct Workers {
    executor: Executor,
    stop: async_channel::Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Workers {
    /// Starts `count` threads.
    ///
    /// # Errors
    /// If the platform refuses a thread.
    pub fn start(count: usize) -> io::Result<Self> {
        let executor: Executor = Arc::new(smol::Executor::new());
        let (stop, stopped) = async_channel::bounded(1);
        let mut threads = Vec::with_capacity(count);
        for i in 0..count {
            let executor = Arc::clone(&executor);
            let stopped: async_channel::Receiver<()> = stopped.clone();
            let name = format!("traffic-{i}");
            let run = move || {
                // An error means that `stop` was dropped: the end was asked for.
                let _ = smol::block_on(executor.run(stopped.recv()));
            };
            threads.push(thread::Builder::new().name(name).spawn(run)?);
        }
        Ok(Self {
            executor,
            stop,
            threads,
        })
    }

    /// The executor the threads run.
    #[must_use]
    pub fn executor(&self) -> &Executor {
        &self.executor
    }

    /// Stops the threads and joins them.
    pub fn join(self) {
        self.stop.close();
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("event=thread-panicked");
            }
        }
    }
}
