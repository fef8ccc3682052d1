//! The directives of a scenario.
//!
//! | directive | does, and prints |
//! |---|---|
//! | `store [lag=MS]` | starts the store |
//! | `target name= service= site= domain= [slots=] [queue=] [work=MS] [crash=WORD]` | starts a target |
//! | `entry name= domain=` | starts an entry instance, or its replacement |
//! | `command` | runs the line in its input as a subcommand of the product |
//! | `config [use=FILE]` | puts the base file `config/FILE.jsonc`, or else its input, into the store |
//! | `race` | runs each line of its input as a subcommand, all at once; prints how they ended, sorted |
//! | `same` | runs each line of its input as a subcommand; prints whether all said the same |
//! | `lookup at= [service=] [client=]` | prints the entry instances to use |
//! | `key at= name=` | asks for an idempotency key, later known by its name; prints whether it has a witness |
//! | `request at= service= [method=] [key=] [caller=] [deadline=MS] [bytes=N] [body=] [named] [later=ID] [times=N] [within=MS]` | prints the answer, or how many of N were alike, and `late` if it took longer; `later` leaves it to `answer` |
//! | `burst at=(…) service= count= [resend=N] [keyed] [deadline=MS] [later=ID]` | sends many different requests; prints what their callers know, held against what the targets ran |
//! | `answer id=` | waits for the answer of an earlier request or burst |
//! | `dump at= show=(…)` | prints parts of an entry instance's state: `version`, `standing`, `targets`, `entries` |
//! | `fault name=` | switches the fault in its input on |
//! | `executed [name=] [key=]` | prints how many runs began |
//! | `alive` | prints how many targets run |
//! | `kill`, `freeze`, `thaw`, `term`, `exit`, each `name=` | signals a process; `exit` waits for its end |
//! | `unlist name=`, `leaving name=` | changes the platform's list |
//! | `await D … [for=MS]` | repeats directive `D` until it prints what the input says |
//!
//! In the input of `command`, `{NAME.callers}`, `{NAME.peers}` and
//! `{NAME.operators}` stand for addresses, `{secret}` for the secret's file and
//! `{FILE}` for a file written by `file name=FILE`.

use std::fs;
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use datadriven::TestCase;
use rustix::process::Signal;
use serde::Deserialize;
use trillium_client::Method;
use wire::instance::State;

use crate::BOUND;
use crate::error::Error;
use crate::http::{Answer, Call};
use crate::process;
use crate::settings;
use crate::world::{TargetFacts, World};

mod burst;
mod print;

/// Pause between two tries of an `await`.
const PAUSE: Duration = Duration::from_millis(20);

/// Makes the nonces of keys as long as they have to be.
const NONCE: &str = "0123456789abcdef";

#[derive(Deserialize)]
struct Issued {
    prefix: String,
}

/// What an `answer` waits for.
enum Later {
    Request {
        named: bool,
        thread: JoinHandle<Result<Answer, Error>>,
    },
    Burst {
        keyed: bool,
        thread: JoinHandle<Result<Vec<burst::Sent>, Error>>,
    },
}

/// Runs the directives of one scenario.
pub struct Script {
    folder: PathBuf,
    world: World,
    later: Vec<(String, Later)>,
    files: Vec<(String, String)>,
    keys: Vec<(String, String)>,
    bursts: usize,
}

impl Script {
    /// A script that has not begun. `folder` holds the scenarios, `dir` what a
    /// run of this one needs.
    ///
    /// # Errors
    /// The scenario's folder can't be made.
    pub fn new(program: &Path, folder: &Path, dir: &Path) -> Result<Self, Error> {
        Ok(Self {
            folder: folder.to_owned(),
            world: World::new(program, dir)?,
            later: Vec::new(),
            files: Vec::new(),
            keys: Vec::new(),
            bursts: 0,
        })
    }

    /// Runs one directive. What goes wrong is printed, too.
    pub fn run(&mut self, case: &mut TestCase) -> String {
        let directive = case.directive.clone();
        let mut text = match self.directive(&directive, case) {
            Ok(text) => text,
            Err(error) => format!("error: {error}"),
        };
        if let Err(error) = case.expect_empty() {
            text = format!("error: {error}");
        }
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        text
    }

    fn directive(&mut self, directive: &str, case: &mut TestCase) -> Result<String, Error> {
        match directive {
            "store" => self.store(case),
            "target" => self.target(case),
            "entry" => self.entry(case),
            "file" => self.file(case),
            "config" => self.config(case),
            "key" => self.key(case),
            "command" => self.command(case),
            "race" => self.race(case),
            "same" => self.same(case),
            "alive" => Ok(self.world.alive()?.to_string()),
            "lookup" => self.lookup(case),
            "request" => self.request(case),
            "burst" => self.burst(case),
            "answer" => self.answer(case),
            "dump" => self.dump(case),
            "fault" => self.fault(case),
            "executed" => self.executed(case),
            "kill" => self.kill(case),
            "freeze" => self.freeze(case),
            "thaw" => self.signal(case, Signal::CONT),
            "term" => self.signal(case, Signal::TERM),
            "exit" => self.exit(case),
            "unlist" => self.relist(case, None),
            "leaving" => self.relist(case, Some(State::Leaving)),
            "await" => self.wait(case),
            other => Err(Error::Directive(other.to_owned())),
        }
    }

    fn store(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let lag = case.try_take_arg("lag")?.unwrap_or(0);
        self.world.start_store(lag)?;
        Ok(String::new())
    }

    fn target(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let mut options = Vec::new();
        for (arg, option) in [
            ("queue", "--queue"),
            ("work", "--work-ms"),
            ("crash", "--crash-on"),
            ("cold", "--cold-ms"),
            ("coldwork", "--cold-work-ms"),
        ] {
            if let Some(value) = case.try_take_arg::<String>(arg)? {
                options.extend([option.to_owned(), value]);
            }
        }
        let facts = TargetFacts {
            name: case.take_arg("name")?,
            service: case.take_arg("service")?,
            site: case.take_arg("site")?,
            domain: case.take_arg("domain")?,
            slots: case.try_take_arg("slots")?.unwrap_or(3),
            options,
        };
        self.world.start_target(&facts)?;
        Ok(String::new())
    }

    fn entry(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let name: String = case.take_arg("name")?;
        let domain: String = case.take_arg("domain")?;
        self.world.start_entry(&name, &domain)?;
        Ok(String::new())
    }

    fn file(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let name: String = case.take_arg("name")?;
        let path = self.world.file(&name, &case.input)?;
        self.files.push((name, path.display().to_string()));
        Ok(String::new())
    }

    fn config(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let Some(name) = case.try_take_arg::<String>("use")? else {
            self.world.put_config(&case.input)?;
            return Ok(String::new());
        };
        let path = self.folder.join("config").join(name + ".jsonc");
        self.world.put_config(&fs::read_to_string(path)?)?;
        Ok(String::new())
    }

    fn key(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let at: String = case.take_arg("at")?;
        let name: String = case.take_arg("name")?;
        let answer = Call::new(Method::Get, self.world.addr(&at)?, "/key", "").make()?;
        let Ok(issued) = serde_json::from_str::<Issued>(&answer.body) else {
            return Ok(print::head(&answer));
        };
        let alone = issued.prefix.ends_with(".0.0.");
        let key = format!("{}{name}-{NONCE}", issued.prefix);
        self.keys.retain(|(known, _)| *known != name);
        self.keys.push((name, key));
        let said = if alone { "no witness" } else { "with witness" };
        Ok(said.to_owned())
    }

    /// The key known by a name, or else the name itself.
    fn known(&self, name: String) -> String {
        let found = self.keys.iter().find(|(known, _)| *known == name);
        found.map_or(name, |(_, key)| key.clone())
    }

    fn command(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let args = self.words(&case.input)?;
        let ended = self.world.command(args).run()?;
        Ok(print::ended(&ended, &self.files))
    }

    fn race(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let mut threads = Vec::new();
        for line in case.input.lines() {
            let command = self.world.command(self.words(line)?);
            threads.push(std::thread::spawn(move || command.run()));
        }
        let mut said = Vec::new();
        for thread in threads {
            let ended = thread.join().unwrap_or_else(|_| Err(panicked()))?;
            said.push(print::last(&ended));
        }
        said.sort();
        Ok(said.join("\n"))
    }

    fn same(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let mut said = Vec::new();
        for line in case.input.lines() {
            let ended = self.world.command(self.words(line)?).run()?;
            said.push(print::ended(&ended, &self.files));
        }
        said.dedup();
        let word = if said.len() == 1 { "same" } else { "different" };
        Ok(word.to_owned())
    }

    fn words(&self, line: &str) -> Result<Vec<String>, Error> {
        line.split_whitespace().map(|w| self.expand(w)).collect()
    }

    /// Replaces `{…}` by what it stands for.
    fn expand(&self, word: &str) -> Result<String, Error> {
        let inner = word.strip_prefix('{').and_then(|w| w.strip_suffix('}'));
        let Some(inner) = inner else {
            return Ok(word.to_owned());
        };
        if inner == "secret" {
            return Ok(self.world.secret().display().to_string());
        }
        if let Some((_, path)) = self.files.iter().rev().find(|(name, _)| name == inner) {
            return Ok(path.clone());
        }
        let unknown = || Error::Unknown(inner.to_owned());
        let (name, which) = inner.split_once('.').ok_or_else(unknown)?;
        let listens = self.world.listens(name)?;
        match which {
            "callers" => Ok(listens.callers.to_string()),
            "peers" => Ok(listens.peers.to_string()),
            "operators" => Ok(listens.operators.to_string()),
            _ => Err(unknown()),
        }
    }

    fn lookup(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let at: String = case.take_arg("at")?;
        let service: Option<String> = case.try_take_arg("service")?;
        let client: Option<String> = case.try_take_arg("client")?;
        let query = [("service", service), ("client", client)];
        let query = query
            .into_iter()
            .filter_map(|(name, value)| Some(format!("{name}={}", value?)));
        let path = format!("/lookup?{}", query.collect::<Vec<_>>().join("&"));
        let answer = Call::new(Method::Get, self.world.addr(&at)?, &path, "").make()?;
        Ok(print::lookup(&answer))
    }

    fn request(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let call = self.call(case)?;
        let named = case.take_flag("named")?;
        let times = case.try_take_arg("times")?.unwrap_or(1);
        let within: Option<u64> = case.try_take_arg("within")?;
        let began = Instant::now();
        let Some(id) = case.try_take_arg::<String>("later")? else {
            let answers = (0..times).map(|_| print::answer(&self.world, named, call.make()));
            let text = print::counted(answers.collect());
            let late = within.is_some_and(|ms| began.elapsed() > Duration::from_millis(ms));
            return Ok(if late { text + ", late" } else { text });
        };
        let thread = std::thread::spawn(move || call.make());
        self.later.push((id, Later::Request { named, thread }));
        Ok(String::new())
    }

    fn call(&self, case: &mut TestCase) -> Result<Call, Error> {
        let at: String = case.take_arg("at")?;
        let service: String = case.take_arg("service")?;
        let method: Option<String> = case.try_take_arg("method")?;
        let method = method.as_deref().unwrap_or("POST").parse();
        let method = method.map_err(|_| Error::Http("no such method".to_owned()))?;
        let bytes: Option<u64> = case.try_take_arg("bytes")?;
        let query = bytes.map_or(String::new(), |n| format!("?bytes={n}"));
        let body: Option<String> = case.try_take_arg("body")?;
        let body = body.unwrap_or_else(|| case.input.trim_end().to_owned());
        let path = format!("/s/{service}/work{query}");
        let mut call = Call::new(method, self.world.addr(&at)?, &path, &body);
        for (arg, header) in [
            ("key", wire::headers::IDEMPOTENCY_KEY),
            ("caller", wire::headers::CALLER_NAME),
            ("deadline", wire::headers::DEADLINE_MS),
        ] {
            if let Some(value) = case.try_take_arg::<String>(arg)? {
                call.headers.push((header, self.known(value)));
            }
        }
        Ok(call)
    }

    fn burst(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let names: Vec<String> = case.take_args("at")?;
        let at: Result<_, Error> = names.iter().map(|name| self.world.addr(name)).collect();
        self.bursts += 1;
        let burst = burst::Burst {
            number: self.bursts,
            at: at?,
            service: case.take_arg("service")?,
            count: case.take_arg("count")?,
            resend: case.try_take_arg("resend")?.unwrap_or(0),
            keyed: case.take_flag("keyed")?,
            deadline: case.try_take_arg("deadline")?,
        };
        let keyed = burst.keyed;
        let thread = std::thread::spawn(move || burst.send());
        let later = Later::Burst { keyed, thread };
        match case.try_take_arg::<String>("later")? {
            Some(id) => {
                self.later.push((id, later));
                Ok(String::new())
            }
            None => self.finish(later),
        }
    }

    fn answer(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let id: String = case.take_arg("id")?;
        let at = self.later.iter().position(|(known, _)| *known == id);
        let (_, later) = self.later.remove(at.ok_or(Error::Unknown(id))?);
        self.finish(later)
    }

    fn finish(&mut self, later: Later) -> Result<String, Error> {
        match later {
            Later::Request { named, thread } => {
                let result = thread.join().unwrap_or_else(|_| Err(panicked()));
                Ok(print::answer(&self.world, named, result))
            }
            Later::Burst { keyed, thread } => {
                let sent = thread.join().unwrap_or_else(|_| Err(panicked()))?;
                let executed = self.world.executed(None, None)?;
                Ok(burst::check(&sent, &executed, keyed))
            }
        }
    }

    fn dump(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let at: String = case.take_arg("at")?;
        let show: Vec<String> = case.take_args("show")?;
        let mut call = Call::new(Method::Get, self.world.listens(&at)?.operators, "/dump", "");
        let bearer = format!("Bearer {}", settings::SECRET);
        call.headers.push(("Authorization", bearer));
        let answer = call.make()?;
        Ok(print::dump(&answer, &show))
    }

    fn fault(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let name: String = case.take_arg("name")?;
        self.world.fault(&name, &case.input)?;
        Ok(String::new())
    }

    fn executed(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let name: Option<String> = case.try_take_arg("name")?;
        let key: Option<String> = case.try_take_arg("key")?;
        let key = key.map(|name| self.known(name));
        let executed = self.world.executed(name.as_deref(), key.as_deref())?;
        Ok(executed.runs.len().to_string())
    }

    fn kill(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let name: String = case.take_arg("name")?;
        self.world.signal(&name, Signal::KILL)?;
        self.world.wait(&name)?;
        Ok(String::new())
    }

    fn signal(&mut self, case: &mut TestCase, signal: Signal) -> Result<String, Error> {
        let name: String = case.take_arg("name")?;
        self.world.signal(&name, signal)?;
        Ok(String::new())
    }

    fn freeze(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let name: String = case.take_arg("name")?;
        self.world.freeze(&name)?;
        Ok(String::new())
    }

    fn exit(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let name: String = case.take_arg("name")?;
        Ok(process::ending(self.world.wait(&name)?))
    }

    fn relist(&mut self, case: &mut TestCase, state: Option<State>) -> Result<String, Error> {
        let name: String = case.take_arg("name")?;
        self.world.relist(&name, state)?;
        Ok(String::new())
    }

    /// The only way of synchronising: repeats until the wanted output comes.
    fn wait(&mut self, case: &mut TestCase) -> Result<String, Error> {
        let wanted = case.input.trim_end().to_owned();
        let directive = awaited(case)?;
        let bound = case.try_take_arg("for")?.map(Duration::from_millis);
        let args = case.args.clone();
        let until = Instant::now() + bound.unwrap_or(BOUND);
        loop {
            case.args.clone_from(&args);
            case.input.clear();
            let got = match self.directive(&directive, case) {
                Ok(text) => text,
                Err(error) => format!("error: {error}"),
            };
            if got.trim_end() == wanted {
                return Ok(String::new());
            }
            if Instant::now() > until {
                return Ok(format!("still: {got}"));
            }
            std::thread::sleep(PAUSE);
        }
    }
}

fn panicked() -> Error {
    Error::Http("a caller's thread panicked".to_owned())
}

/// The directive that an `await` repeats: its argument without a value.
fn awaited(case: &mut TestCase) -> Result<String, Error> {
    for directive in ["lookup", "key", "request", "executed", "command", "dump"] {
        if case.args.get(directive).is_some_and(Vec::is_empty) {
            case.args.remove(directive);
            return Ok(directive.to_owned());
        }
    }
    Err(Error::Directive("await".to_owned()))
}
