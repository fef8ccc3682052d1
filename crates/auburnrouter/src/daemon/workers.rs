//! A fixed number of threads that run one executor.
//!
//! Invariant: every thread started here is joined by [`Workers::join`].

use std::io;
use std::sync::Arc;
use std::thread;

/// Executor on which tasks are spawned.
pub type Executor = Arc<smol::Executor<'static>>;

/// Running threads and their executor.
pub struct Workers {
    executor: Executor,
    stop: async_channel::Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Workers {
    /// Starts `count` threads.
    ///
    /// # Errors
    /// If the platform can't start a thread.
    pub fn start(count: usize) -> io::Result<Self> {
        let executor: Executor = Arc::new(smol::Executor::new());
        let (stop, stopped) = async_channel::bounded(1);
        let mut threads = Vec::with_capacity(count);
        for i in 0..count {
            let executor = Arc::clone(&executor);
            let stopped: async_channel::Receiver<()> = stopped.clone();
            let name = format!("traffic-{i}");
            let run = move || {
                // An error means that `stop` was closed, which ends the thread.
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

    /// Executor that the threads run.
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
