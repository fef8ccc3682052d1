//! What can happen next, and making it happen.

use core::fmt;
use core::time::Duration;

use steer::process::{dispatch, traffic};
use steer::request::{arrival, record};

use super::message;
use crate::{scene, world};

/// How a message is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It never left: its sender knows.
    Unsent,
    /// It vanished; its sender's connection breaks.
    Gone,
    /// Its sender's connection breaks, but it is still under way.
    Late,
    /// Its sender's time for it runs out, but it is still under way.
    Slow,
    /// Only its beginning comes.
    Cut,
}

/// How far a process's clock moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Span {
    /// Less than any time limit.
    Tick,
    /// Past the wait for a witness.
    Wait,
    /// Past a caller's deadline.
    Deadline,
    /// Past the age up to which keys are accepted.
    Accept,
    /// Past the age up to which records are kept.
    Keep,
}

impl Span {
    fn length(self) -> Duration {
        let limits = scene::limits();
        let epochs = |count: u64| limits.epoch_length * u32::try_from(count).unwrap_or(u32::MAX);
        match self {
            Self::Tick => Duration::from_millis(10),
            Self::Wait => limits.ask_timeout + Duration::from_millis(1),
            Self::Deadline => scene::DEADLINE + Duration::from_millis(1),
            Self::Accept => epochs(limits.accept_epochs + 1),
            Self::Keep => epochs(limits.keep_epochs + 1),
        }
    }
}

/// One thing that can happen. Messages are named by their serial numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A process carries out its oldest decision.
    Act(usize),
    /// A message arrives.
    Deliver(u32),
    /// A caller sends the next copy.
    Call,
    /// A delayed message goes on.
    Release(u32),
    /// A frozen process goes on.
    Thaw(usize),
    /// A message is delayed until nothing else is left to do.
    Hold(u32),
    /// A message is lost.
    Lose(u32, Loss),
    /// A message is doubled.
    Double(u32),
    /// A target refuses a request before it runs it.
    Shed(u32),
    /// A process stops carrying out and taking anything.
    Freeze(usize),
    /// A process dies.
    Kill(usize),
    /// A dead process is replaced, at the same address.
    Restart(usize),
    /// A process's clock moves.
    Clock(usize, Span),
    /// A process hears who is alive.
    Refresh(usize),
    /// A process is told to stop.
    Leave(usize),
    /// The caller of a copy hangs up.
    Hang(usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Act(i) => write!(f, "entry{i} acts"),
            Self::Deliver(m) => write!(f, "deliver m{m}"),
            Self::Call => f.write_str("a caller sends"),
            Self::Release(m) => write!(f, "release m{m}"),
            Self::Thaw(i) => write!(f, "thaw entry{i}"),
            Self::Hold(m) => write!(f, "hold m{m}"),
            Self::Lose(m, loss) => write!(f, "lose m{m} ({loss:?})"),
            Self::Double(m) => write!(f, "double m{m}"),
            Self::Shed(m) => write!(f, "shed m{m}"),
            Self::Freeze(i) => write!(f, "freeze entry{i}"),
            Self::Kill(i) => write!(f, "kill entry{i}"),
            Self::Restart(i) => write!(f, "restart entry{i}"),
            Self::Clock(i, span) => write!(f, "clock of entry{i} +{span:?}"),
            Self::Refresh(i) => write!(f, "refresh entry{i}"),
            Self::Leave(i) => write!(f, "entry{i} leaves"),
            Self::Hang(copy) => write!(f, "caller of copy{copy} hangs up"),
        }
    }
}

impl world::World {
    /// What happens next if nothing fails; `None` if all is done.
    #[must_use]
    pub fn usual(&self) -> Option<Step> {
        let acts = |i: &usize| self.awake(*i) && !self.processes[*i].outbox.is_empty();
        if let Some(index) = (0..self.processes.len()).find(acts) {
            return Some(Step::Act(index));
        }
        let ready = self.net.iter().find(|m| !m.held && self.can_take(m.serial));
        if let Some(message) = ready {
            return Some(Step::Deliver(message.serial));
        }
        if !self.plans.is_empty() {
            return Some(Step::Call);
        }
        let frozen = |p: &super::Process| p.frozen && p.traffic.is_some();
        if let Some(index) = self.processes.iter().position(frozen) {
            return Some(Step::Thaw(index));
        }
        self.net.first().map(|m| Step::Release(m.serial))
    }

    /// All that may happen instead. The order is fixed, so that an index into
    /// it names a step in every run with the same past.
    #[must_use]
    pub fn unusual(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if !self.plans.is_empty() {
            steps.push(Step::Call);
        }
        for message in &self.net {
            faults_of(message, &mut steps);
        }
        for (index, process) in self.processes.iter().enumerate() {
            if process.traffic.is_none() {
                steps.push(Step::Restart(index));
                continue;
            }
            steps.push(Step::Kill(index));
            if !process.frozen {
                steps.push(Step::Freeze(index));
            }
            let spans = [Span::Wait, Span::Deadline, Span::Accept, Span::Keep];
            steps.extend(spans.map(|span| Step::Clock(index, span)));
            if !process.frozen {
                steps.push(Step::Refresh(index));
                steps.push(Step::Leave(index));
            }
        }
        let open = |&copy: &usize| self.sent[copy].said.is_empty() && !self.sent[copy].hung;
        steps.extend((0..self.sent.len()).filter(open).map(Step::Hang));
        steps
    }

    /// Makes a step happen and notes it.
    pub fn step(&mut self, step: Step) {
        self.note(self.describe(step));
        match step {
            Step::Act(index) => self.perform(index),
            Step::Deliver(serial) => {
                if let Some(message) = self.take(serial) {
                    self.hand(message);
                }
            }
            Step::Call => self.call_next(),
            Step::Release(serial) => self.mark(serial, |m| m.held = false),
            Step::Hold(serial) => self.mark(serial, |m| m.held = true),
            Step::Thaw(index) => self.processes[index].frozen = false,
            Step::Freeze(index) => self.processes[index].frozen = true,
            Step::Lose(serial, loss) => self.lose(serial, loss),
            Step::Double(serial) => {
                if let Some(at) = self.net.iter().position(|m| m.serial == serial) {
                    let message = self.net[at].clone();
                    self.post(message.sender, message.kind);
                }
            }
            Step::Shed(serial) => self.shed(serial),
            Step::Kill(index) => self.kill(index),
            Step::Restart(index) => self.restart(index),
            Step::Clock(index, span) => {
                let process = &mut self.processes[index];
                process.now = process.now + span.length();
                // A frozen process doesn't see its clock move until it wakes.
                if !process.frozen {
                    self.feed(index, traffic::Event::Tick);
                }
            }
            Step::Refresh(index) => self.refresh(index),
            Step::Leave(index) => self.feed(index, traffic::Event::Leave),
            Step::Hang(copy) => self.hang(copy),
        }
    }

    /// Lets everything come to its end without further faults.
    pub fn quiesce(&mut self) {
        while let Some(step) = self.usual() {
            self.step(step);
        }
    }

    /// Ends a run: what is under way arrives, and time passes until nobody
    /// waits any more.
    pub fn settle(&mut self) {
        for _ in 0..4 {
            self.quiesce();
            if self.drained() {
                return;
            }
            for index in 0..self.processes.len() {
                self.step(Step::Clock(index, Span::Deadline));
            }
        }
        self.quiesce();
    }

    fn describe(&self, step: Step) -> String {
        let (Step::Deliver(serial)
        | Step::Hold(serial)
        | Step::Lose(serial, _)
        | Step::Double(serial)) = step
        else {
            return step.to_string();
        };
        match self.message(serial) {
            Some(message) => format!("{step}: {message}"),
            None => step.to_string(),
        }
    }

    pub(super) fn awake(&self, index: usize) -> bool {
        let process = &self.processes[index];
        process.traffic.is_some() && !process.frozen
    }

    /// Whether the message's receiver can take it now. A dead receiver can: its
    /// sender is told, or nobody is.
    fn can_take(&self, serial: u32) -> bool {
        let Some(message) = self.message(serial) else {
            return false;
        };
        let to = match message.kind {
            message::Kind::Hop { to, .. } | message::Kind::Ask { to, .. } => Some(to),
            message::Kind::Run(_) | message::Kind::Store(..) => None,
            message::Kind::Ended(_) | message::Kind::Told(_) | message::Kind::Stored(_) => {
                message.sender.process().map(|(process, _)| process)
            }
        };
        to.is_none_or(|i| !self.processes[i].frozen)
    }

    fn take(&mut self, serial: u32) -> Option<message::Message> {
        let at = self.net.iter().position(|m| m.serial == serial)?;
        Some(self.net.remove(at))
    }

    fn mark(&mut self, serial: u32, change: impl Fn(&mut message::Message)) {
        if let Some(message) = self.net.iter_mut().find(|m| m.serial == serial) {
            change(message);
        }
    }

    fn call_next(&mut self) {
        let Some(plan) = self.plans.pop_front() else {
            return;
        };
        let world::Plan { key, body, to } = plan;
        if self.processes[to].traffic.is_none() || self.key_text(key).is_none() {
            return self.note("  but can't connect or look up".into());
        }
        let copy = self.sent.len();
        self.sent.push(world::Sent {
            plan,
            at: self.processes[to].incarnation,
            hung: false,
            said: Vec::new(),
        });
        let payload = message::Payload { key, body };
        self.note(format!("  copy{copy}: {payload} to entry{to}"));
        self.arrive(
            to,
            payload,
            message::Sender::Caller(copy),
            arrival::Origin::Caller,
        );
    }

    fn lose(&mut self, serial: u32, loss: Loss) {
        let Some(message) = self.take(serial) else {
            return;
        };
        let sender = message.sender;
        let failure = match (&message.kind, loss) {
            (message::Kind::Hop { .. } | message::Kind::Run(_), Loss::Unsent) => {
                message::Kind::Ended(dispatch::AttemptOutcome::Unreachable)
            }
            (
                message::Kind::Hop { .. } | message::Kind::Run(_) | message::Kind::Ended(_),
                Loss::Slow,
            ) => message::Kind::Ended(dispatch::AttemptOutcome::TimedOut),
            (
                message::Kind::Hop { .. } | message::Kind::Run(_) | message::Kind::Ended(_),
                Loss::Cut,
            ) => message::Kind::Ended(dispatch::AttemptOutcome::BadAnswer),
            (message::Kind::Hop { .. } | message::Kind::Run(_) | message::Kind::Ended(_), _) => {
                message::Kind::Ended(dispatch::AttemptOutcome::Broken)
            }
            (message::Kind::Store(..), Loss::Unsent) => {
                message::Kind::Stored(record::StoreResult::Unreachable)
            }
            (message::Kind::Store(..) | message::Kind::Stored(_), _) => {
                message::Kind::Stored(record::StoreResult::Unknown)
            }
            (message::Kind::Ask { .. } | message::Kind::Told(_), _) => message::Kind::Told(None),
        };
        if !message.detached {
            self.post(sender, failure);
        }
        if matches!(loss, Loss::Late | Loss::Slow) {
            let late = message::Message {
                held: true,
                detached: true,
                ..message
            };
            self.net.push(late);
        }
    }

    fn shed(&mut self, serial: u32) {
        let Some(message) = self.take(serial) else {
            return;
        };
        let ending = dispatch::AttemptOutcome::Refused {
            after: None,
            leaving: false,
        };
        self.post(message.sender, message::Kind::Ended(ending));
    }

    /// What the dead process had decided but not carried out is lost; whoever
    /// waits for it sees a broken connection.
    fn kill(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.traffic = None;
        process.frozen = false;
        process.issued = None;
        process.outbox.clear();
        let asked = core::mem::take(&mut process.asked);
        for (_, sender) in asked {
            self.post(sender, message::Kind::Told(None));
        }
        for request in core::mem::take(&mut self.processes[index].requests) {
            if let message::Sender::Hop { .. } = request.from {
                self.post(
                    request.from,
                    message::Kind::Ended(dispatch::AttemptOutcome::Broken),
                );
            }
        }
    }

    fn restart(&mut self, index: usize) {
        self.processes[index] = self.start(index);
        self.refresh(index);
        self.feed(index, traffic::Event::Tick);
    }

    fn hang(&mut self, copy: usize) {
        let at = self.sent[copy].at;
        let Some(index) = self.processes.iter().position(|p| p.incarnation == at) else {
            return;
        };
        let requests = &self.processes[index].requests;
        let own = requests
            .iter()
            .find(|r| r.from == message::Sender::Caller(copy));
        if let Some(id) = own.map(|r| r.id)
            && self.awake(index)
        {
            self.sent[copy].hung = true;
            self.feed(index, traffic::Event::Disconnected(id));
        }
    }
}

fn faults_of(message: &message::Message, steps: &mut Vec<Step>) {
    let serial = message.serial;
    if !message.held {
        steps.push(Step::Hold(serial));
    }
    match message.kind {
        message::Kind::Hop { .. } | message::Kind::Run(_) | message::Kind::Store(..)
            if message.detached =>
        {
            steps.push(Step::Lose(serial, Loss::Gone));
        }
        message::Kind::Hop { .. } | message::Kind::Run(_) | message::Kind::Store(..) => {
            let losses = [Loss::Unsent, Loss::Gone, Loss::Late, Loss::Slow];
            steps.extend(losses.map(|loss| Step::Lose(serial, loss)));
        }
        // Only questions and words are doubled: a request goes over one
        // connection, once, and nothing below the decisions repeats it.
        message::Kind::Ask { .. } | message::Kind::Told(_) => {
            steps.push(Step::Lose(serial, Loss::Gone));
            steps.push(Step::Double(serial));
        }
        message::Kind::Ended(_) => {
            let losses = [Loss::Gone, Loss::Slow, Loss::Cut];
            steps.extend(losses.map(|loss| Step::Lose(serial, loss)));
        }
        message::Kind::Stored(_) => steps.push(Step::Lose(serial, Loss::Gone)),
    }
    if matches!(message.kind, message::Kind::Run(_)) && !message.detached {
        steps.push(Step::Shed(serial));
    }
}
