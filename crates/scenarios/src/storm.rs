//! A storm: callers that behave well, over real processes that don't.
//!
//! All that goes wrong, and when, is drawn from a seed; what the threads of the
//! operating system make of it is not, so a seed repeats the schedule and not
//! each interleaving. Invariants checked are those that hold in any: see
//! [`check`] and [`Report::faults`]. Whatever is waited for is waited for in
//! bounded time, and sleeping serves the schedule's pace alone.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fastrand::Rng;
use rustix::process::Signal;
use serde::Deserialize;
use trillium_client::Method;
use wire::instance::State;
use wire::kv;

use crate::error::Error;
use crate::http::Call;
use crate::process;
use crate::world::{STORE, World};

mod board;
mod caller;
mod check;
mod schedule;
mod setup;
mod watch;

use board::{Board, Stop, Verdict};
use caller::Caller;
use schedule::Event;

/// Callers that send at a time.
const CALLERS: u64 = 8;

/// Longest that the processes may take to recover once all is mended.
const RECOVERY: Duration = Duration::from_secs(20);

/// Pause between two looks at whether they have.
const PAUSE: Duration = Duration::from_millis(100);

/// Which storm.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// What the schedule is drawn from.
    pub seed: u64,
    /// How long things go wrong.
    pub span: Duration,
}

/// What came of a storm.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What must not be; none if all is well.
    pub faults: Vec<String>,
    /// The schedule as it was performed, and what was seen, in order.
    pub trace: Vec<String>,
    /// Tries of callers: in all, ran, not run, unknown, broken or late.
    pub tries: [usize; 5],
    /// What callers were told, each with its count.
    pub told: Vec<String>,
    /// Runs of targets.
    pub runs: usize,
    /// Changes of the configuration that were accepted.
    pub accepted: usize,
}

impl Report {
    /// The report in a line, and what must not be in a line each.
    #[must_use]
    pub fn summary(&self, seed: u64) -> String {
        let [all, ran, not, unknown, none] = self.tries;
        let (runs, accepted) = (self.runs, self.accepted);
        let head = format!(
            "seed {seed}: {all} tries, {ran} ran, {not} not run, {unknown} unknown, {none} \
             without an answer; {runs} runs; {accepted} changes; {} faults; {}",
            self.faults.len(),
            self.told.join(", ")
        );
        let faults = self.faults.iter().map(String::as_str);
        std::iter::once(&*head)
            .chain(faults)
            .collect::<Vec<_>>()
            .join("\n")
    }
}

#[derive(Deserialize)]
struct Head {
    version: u64,
    recent: Vec<Made>,
}

/// A change that is in the store.
#[derive(Deserialize)]
struct Made {
    id: String,
}

/// Exit code of an operator's change whose fate nobody can tell yet.
const UNDECIDED: &str = "exit 4";

/// Runs a storm; `program` is the actor, `dir` is made anew.
///
/// # Errors
/// A process can't be started, or the stand-ins don't answer.
pub fn run(program: &Path, dir: &Path, plan: Plan) -> Result<Report, Error> {
    let mut storm = Storm {
        world: setup::start(program, dir)?,
        board: Arc::new(Board::new()),
        threads: Vec::new(),
    };
    for (name, _) in setup::ENTRIES {
        storm.board.set(name, storm.world.listens(name)?);
    }
    storm.settle("before the storm")?;
    storm.callers(plan.seed);
    let result = storm.perform(plan);
    storm.board.end();
    for thread in storm.threads.drain(..) {
        if thread.join().is_err() {
            storm.board.fault("a caller's thread panicked".to_owned());
        }
    }
    result?;
    storm.settle("after the storm")?;
    storm.serves();
    Ok(storm.report())
}

struct Storm {
    world: World,
    board: Arc<Board>,
    threads: Vec<JoinHandle<()>>,
}

impl Storm {
    fn callers(&mut self, seed: u64) {
        for number in 0..CALLERS {
            let board = Arc::clone(&self.board);
            let rng = Rng::with_seed(seed.wrapping_mul(1000).wrapping_add(number));
            self.threads.push(thread::spawn(move || {
                let board = &*board;
                let name = format!("caller-{number}");
                Caller { board, name, rng }.run();
            }));
        }
        let board = Arc::clone(&self.board);
        self.threads
            .push(thread::spawn(move || watch::versions(&board)));
    }

    fn perform(&mut self, plan: Plan) -> Result<(), Error> {
        let began = Instant::now();
        for (at, event) in schedule::draw(plan.seed, plan.span) {
            let wait = Duration::from_millis(at).saturating_sub(began.elapsed());
            thread::sleep(wait);
            self.board.trace(event.to_string());
            self.event(event)?;
        }
        Ok(())
    }

    fn event(&mut self, event: Event) -> Result<(), Error> {
        match event {
            Event::Kill(name) => self.kill(name),
            Event::Freeze(name) => self.freeze(name),
            Event::Thaw(name) => self.signal(name, Signal::CONT),
            Event::Term(name, listed) => self.term(name, listed),
            Event::Reap(name) => self.reap(name),
            Event::Start(name) => self.start(name),
            Event::Fault(name, fault) => self.fault(name, &fault),
            Event::Apply(at, deadlines) => self.apply(at, deadlines),
            Event::Poison(number) => {
                self.poison(number);
                Ok(())
            }
            Event::Revive => self.revive(),
        }
    }

    /// A target may have crashed meanwhile; that is no fault of the storm.
    fn signal(&mut self, name: &str, signal: Signal) -> Result<(), Error> {
        if self.world.runs(name)? {
            self.world.signal(name, signal)?;
        }
        Ok(())
    }

    /// As [`Storm::signal`].
    fn freeze(&mut self, name: &str) -> Result<(), Error> {
        if self.world.runs(name)? {
            self.world.freeze(name)?;
        }
        Ok(())
    }

    fn kill(&mut self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::KILL)?;
        self.world.wait(name)?;
        Ok(())
    }

    /// Nothing is asked of a target that crashed.
    fn fault(&mut self, name: &str, fault: &str) -> Result<(), Error> {
        if self.world.runs(name)? && self.world.fault(name, fault).is_err() {
            self.board.trace(format!("{name} took no fault"));
        }
        Ok(())
    }

    fn term(&mut self, name: &'static str, listed: bool) -> Result<(), Error> {
        if listed {
            self.world.relist(name, Some(State::Leaving))?;
        }
        let at = self.world.addr(name)?;
        let told = self.board.now();
        self.world.signal(name, Signal::TERM)?;
        self.board.stopped(Stop { at, told });
        Ok(())
    }

    fn reap(&mut self, name: &str) -> Result<(), Error> {
        let ending = process::ending(self.world.wait(name)?);
        self.board.trace(format!("{name} ended: {ending}"));
        if ending != "exit 0" {
            self.board
                .fault(format!("planned stop of {name}: {ending}"));
        }
        Ok(())
    }

    fn start(&mut self, name: &'static str) -> Result<(), Error> {
        if let Some((name, domain)) = setup::ENTRIES.iter().find(|(n, _)| *n == name) {
            self.world.start_entry(name, domain)?;
            self.board.set(name, self.world.listens(name)?);
            return Ok(());
        }
        if !self.world.runs(name)? {
            setup::start_target(&mut self.world, name)?;
        }
        Ok(())
    }

    fn revive(&mut self) -> Result<(), Error> {
        for (name, ..) in setup::TARGETS {
            if !self.world.runs(name)? {
                self.board.trace(format!("replace {name}"));
                setup::start_target(&mut self.world, name)?;
            }
        }
        Ok(())
    }

    fn poison(&mut self, number: usize) {
        let board = Arc::clone(&self.board);
        let word = if number == 0 { "calm" } else { "rough" };
        let body = format!("{word}-{number}-{}", setup::POISON);
        self.threads.push(thread::spawn(move || {
            let name = format!("poisoner-{number}");
            let rng = Rng::with_seed(number as u64);
            let board = &*board;
            let mut caller = Caller { board, name, rng };
            caller.poison(&body);
        }));
    }

    /// Two operators at once.
    fn apply(&mut self, at: [usize; 2], deadlines: [u64; 2]) -> Result<(), Error> {
        for (entry, deadline) in at.into_iter().zip(deadlines) {
            let (name, _) = setup::ENTRIES[entry];
            let file = format!("change-{entry}-{deadline}.jsonc");
            let file = self.world.file(&file, &setup::config(deadline))?;
            let operators = self.world.listens(name)?.operators.to_string();
            let secret = self.world.secret().display().to_string();
            let file = file.display().to_string();
            let args = ["apply", &file, "--operators", &operators];
            let mut args = args.map(str::to_owned).to_vec();
            args.extend(["--secret-file".to_owned(), secret]);
            // Named by entry and time: no two operators share a name.
            let id = format!("{name}-{deadline}-{}", self.board.now().as_millis());
            args.extend(["--id".to_owned(), id.clone()]);
            let command = self.world.command(args);
            let board = Arc::clone(&self.board);
            self.threads
                .push(thread::spawn(move || told(&board, &id, &command)));
        }
        Ok(())
    }

    /// Waits until every entry instance has the newest version and nothing to do. Names
    /// those that have not, with their state or why they give none.
    fn settle(&self, when: &str) -> Result<(), Error> {
        let until = Instant::now() + RECOVERY;
        let head = self.head()?;
        let newest = head.version;
        for id in self.board.denied() {
            if head.recent.iter().any(|made| made.id == id) {
                let text = format!("{id} was said not to be made, but is stored");
                self.board.fault(text);
            }
        }
        if self.board.versions().last().is_some_and(|v| *v > newest) {
            let text = format!("v{newest} stored, {:?} accepted", self.board.versions());
            self.board.fault(text);
        }
        loop {
            let mut behind = Vec::new();
            for entry in self.board.entries() {
                match watch::dump(&entry) {
                    Ok(d) if is_settled(entry.name, &d, newest) => {}
                    other => behind.push(format!("{}: {other:?}", entry.name)),
                }
            }
            if behind.is_empty() {
                return Ok(());
            }
            if Instant::now() > until {
                let text = format!("{when}, not settled at v{newest}: {}", behind.join("; "));
                self.board.fault(text);
                return Ok(());
            }
            thread::sleep(PAUSE);
        }
    }

    /// The newest changes in the store.
    fn head(&self) -> Result<Head, Error> {
        let path = "/kv/auburnrouter/config/head";
        let answer = Call::new(Method::Get, self.world.addr(STORE)?, path, "").make()?;
        let wrong = |e: serde_json::Error| Error::Http(e.to_string());
        let entry: kv::Entry = serde_json::from_str(&answer.body).map_err(wrong)?;
        serde_json::from_str(&entry.value).map_err(wrong)
    }

    /// Sees to it that both services are served again.
    fn serves(&self) {
        let board = &*self.board;
        let name = "last".to_owned();
        let rng = Rng::with_seed(0);
        let mut caller = Caller { board, name, rng };
        let until = Instant::now() + RECOVERY;
        for service in [setup::STOCK, setup::PAYOUT] {
            let mut number = 0;
            while !has_run(board, service) {
                if Instant::now() > until {
                    board.fault(format!("{service} is not served after the storm"));
                    break;
                }
                let body = format!("last-{service}-{number}");
                number += 1;
                if service == setup::STOCK {
                    caller.repeatable(&body);
                } else {
                    caller.keyed(&body);
                }
            }
        }
    }

    fn report(&self) -> Report {
        let runs = check::ledger(&self.world.path(setup::LEDGER));
        check::all(&self.board, &runs);
        let errors = fs::read_to_string(self.world.path(setup::ERRORS)).unwrap_or_default();
        for line in errors.lines().filter(|line| line.contains("panicked")) {
            self.board.fault(line.to_owned());
        }
        for (name, _) in setup::ENTRIES {
            let log = fs::read_to_string(self.world.path(&format!("{name}.log")));
            let log = log.unwrap_or_default();
            let stops = log.lines().filter(|line| line.contains("event=stopped"));
            for line in stops.filter(|line| !line.ends_with("cut=0")) {
                self.board.fault(format!("{name}: {line}"));
            }
        }
        let mut tries = [0; 5];
        for one in self.board.tries() {
            tries[0] += 1;
            tries[place(&one.verdict)] += 1;
        }
        Report {
            faults: self.board.faults(),
            trace: self.board.story(),
            tries,
            told: counted(&self.board),
            runs: runs.len(),
            accepted: self.board.versions().len(),
        }
    }
}

fn is_settled(name: &str, dump: &watch::Dump, newest: u64) -> bool {
    let domain = setup::ENTRIES.iter().find(|(entry, _)| *entry == name);
    let domain = domain.map(|(_, domain)| domain);
    let mut near = setup::TARGETS.iter().filter(|t| Some(&t.3) == domain);
    let sees = near.all(|t| dump.targets.iter().any(|k| k.name == t.0));
    let idle = dump.drained && dump.in_flight == 0;
    let lives = |name: &str| {
        dump.entries
            .iter()
            .any(|e| e.name == name && e.life == "live")
    };
    let knows = setup::ENTRIES.iter().all(|(name, _)| lives(name));
    idle && knows && sees && dump.version == newest && dump.standing == "current"
}

/// Whether a request sent after the storm ran.
fn has_run(board: &Board, service: &str) -> bool {
    let tries = board.tries();
    let mut last = tries.iter().filter(|t| t.service == service);
    last.any(|t| t.body.starts_with("last") && matches!(t.verdict, Verdict::Ran { .. }))
}

/// What callers were told, each service and word with its count.
fn counted(board: &Board) -> Vec<String> {
    let word = |verdict: &Verdict| match verdict {
        Verdict::Ran { .. } => "ran".to_owned(),
        Verdict::NotRun(reason) => format!("not-run {reason}"),
        Verdict::Unknown(reason) => format!("unknown {reason}"),
        Verdict::Broken(_) => "broken".to_owned(),
        Verdict::Late => "late".to_owned(),
    };
    let tries = board.tries();
    let poison = Verdict::Unknown("poison".to_owned());
    let words = tries.iter().map(|t| {
        let innocent = t.verdict == poison && !t.body.contains(setup::POISON);
        let note = if innocent { " (innocent)" } else { "" };
        format!("{} {}{note}", t.service, word(&t.verdict))
    });
    let mut words: Vec<String> = words.collect();
    words.sort();
    let alike = words.chunk_by(|a, b| a == b);
    alike.map(|w| format!("{} {}", w.len(), w[0])).collect()
}

/// Place of a verdict among the counts of a [`Report`].
const fn place(verdict: &Verdict) -> usize {
    match verdict {
        Verdict::Ran { .. } => 1,
        Verdict::NotRun(_) => 2,
        Verdict::Unknown(_) => 3,
        Verdict::Broken(_) | Verdict::Late => 4,
    }
}

/// Runs an operator's change and notes what it was told.
fn told(board: &Board, id: &str, command: &process::Subcommand) {
    let ended = match command.run() {
        Ok(ended) => ended,
        Err(error) => return board.fault(format!("apply: {error}")),
    };
    let said = ended.said.lines().last().unwrap_or_default();
    board.trace(format!("apply: {said}, {}", process::ending(ended.status)));
    if ended.said.contains("panicked") {
        board.fault(format!("apply: {}", ended.said));
    }
    let version = said.strip_prefix("accepted as v");
    if let Some(version) = version.and_then(|v| v.trim().parse().ok()) {
        board.accepted(version);
    } else if process::ending(ended.status) != UNDECIDED {
        board.deny(id);
    }
}
