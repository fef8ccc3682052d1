//! One caller's connection: bytes in, requests side by side, answers in order.
//!
//! What may start, which answer is due and when reading stops is decided in
//! crate `http1`; here bytes and time come in, and futures are polled.
//!
//! Invariants: a request arrives whole and an answer is taken within the time
//! allowed, an idle connection ends, and a caller that leaves takes all its
//! requests with it: their futures are dropped.

use core::pin::Pin;
use core::task::{Context, Poll};
use std::io;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{Stream, future};
use futures_util::stream::FuturesUnordered;
use http1::answer::{self, Manner};
use http1::pipeline::{self, Pipeline, Place};
use http1::reader::{self, Reader, Step, Whole};
use hyper::{Method, Version};
use smol::net;

use super::date;
use super::server::{Limits, Refusal, Response, Service};
use super::socket::Socket;

/// Requests of one connection that are here unanswered, each of which may be at
/// a target. Callers that send ahead have a few under way; one that sends more
/// is read as its answers leave.
const AHEAD: usize = 16;

/// Bytes of a connection's answers that wait for their turn: a few dozen of the
/// usual ones of some kilobytes.
const ANSWERS: usize = 256 * 1024;

/// Bytes read at a time: a few heads.
const READ: usize = 4096;

/// Reads in one turn: more than a usual caller sends at once.
const READS: usize = 8;

/// Turns that one connection takes before others have theirs: a caller that
/// sends without end must not keep the thread.
const TURNS: usize = 32;

/// Longest body that is copied behind its head, so that both leave in one write.
const COPIED: usize = 16 * 1024;

/// Bytes of answers written in one piece, about.
const PIECE: usize = 64 * 1024;

/// Time to go on reading behind an answer that closes the connection. A socket
/// that is closed with bytes unread is reset, and the answer is lost on its way;
/// a few round trips between the farthest regions are enough for it to arrive.
const LINGER: Duration = Duration::from_millis(500);

/// A request that is whole.
pub struct Arrival<M> {
    /// The request.
    pub request: hyper::Request<Bytes>,
    /// Who sent it.
    pub caller: IpAddr,
    /// Number of its connection in this process.
    pub connection: u64,
    /// When its first byte was read.
    pub begun: Instant,
    /// When its head was whole.
    pub read: Instant,
    /// Requests ahead of it on its connection that were unanswered when it
    /// started.
    pub ahead: usize,
    /// Memory reserved for its body.
    pub reservation: Option<M>,
}

/// What an answer must know of its request.
#[derive(Clone, Copy)]
struct Note {
    head_only: bool,
    old: bool,
}

/// Who is at the other end.
#[derive(Clone, Copy)]
pub struct Caller {
    /// Its address.
    pub ip: IpAddr,
    /// Number of the connection.
    pub number: u64,
}

type Running = Pin<Box<dyn Future<Output = (Place, Response)> + Send>>;

/// The connection.
pub struct Connection<S: Service> {
    service: S,
    limits: Limits,
    socket: Socket,
    caller: Caller,
    reader: Reader,
    pipeline: Pipeline<Arrival<S::Reservation>, Response, Note>,
    running: FuturesUnordered<Running>,
    out: BytesMut,
    /// The rest of an answer that was too long to copy.
    tail: Bytes,
    clock: Clock,
    /// Memory reserved for the body that is arriving.
    reservation: Option<S::Reservation>,
    /// The caller waits for a word before it sends a body.
    expects: bool,
}

/// What the connection's bounds on time are counted from.
struct Clock {
    timer: Option<smol::Timer>,
    set: Option<Instant>,
    /// First byte of the request that is arriving.
    begun: Option<Instant>,
    /// Head of the request that is arriving.
    read: Option<Instant>,
    /// Since when bytes have waited to be written.
    writing: Option<Instant>,
    /// Since when nothing is here.
    idle: Instant,
}

/// What became of the connection after a turn.
enum Turn {
    /// Something moved; look again.
    On,
    /// It waits.
    Wait,
    /// The last answer is written.
    Answered,
    /// It ends, with nothing left to say.
    End,
}

impl<S: Service> Connection<S> {
    /// Serves what comes on `stream`.
    pub fn new(service: S, stream: net::TcpStream, caller: Caller) -> Self {
        let limits = service.limits();
        let bounds = pipeline::Bounds {
            requests: AHEAD,
            bytes: limits.head.saturating_add(limits.body),
            answers: ANSWERS,
        };
        let reader = Reader::new(reader::Limits {
            head: limits.head,
            body: limits.body,
        });
        Self {
            service,
            limits,
            socket: Socket::new(stream),
            caller,
            reader,
            pipeline: Pipeline::new(bounds),
            running: FuturesUnordered::new(),
            out: BytesMut::new(),
            tail: Bytes::new(),
            clock: Clock {
                timer: None,
                set: None,
                begun: None,
                read: None,
                writing: None,
                idle: Instant::now(),
            },
            reservation: None,
            expects: false,
        }
    }

    /// Serves until the connection ends; once `closing` ends, until what is
    /// here is answered.
    pub async fn serve(mut self, closing: impl Future<Output = ()>) {
        let mut closing = core::pin::pin!(closing);
        let mut closes = false;
        let answered = future::poll_fn(|cx| {
            if !closes && closing.as_mut().poll(cx).is_ready() {
                closes = true;
            }
            self.poll(cx, closes)
        });
        if answered.await {
            self.linger().await;
        }
    }

    /// Ready with whether a last answer was written.
    fn poll(&mut self, cx: &mut Context<'_>, closes: bool) -> Poll<bool> {
        for _ in 0..TURNS {
            // An error says that the caller has left.
            match self.turn(cx, closes).unwrap_or(Turn::End) {
                Turn::On => {}
                Turn::Wait => return Poll::Pending,
                Turn::Answered => return Poll::Ready(true),
                Turn::End => return Poll::Ready(false),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn turn(&mut self, cx: &mut Context<'_>, closes: bool) -> io::Result<Turn> {
        if closes || self.service.is_leaving() {
            self.pipeline.stop();
        }
        let mut moved = false;
        // All that is there, the caller's end too, before anything starts: under
        // a load beyond the process a request and its caller's leaving are read
        // in one turn, and it would run for nobody.
        for _ in 0..READS {
            if !self.poll_read(cx)? {
                break;
            }
            moved = true;
            self.take_requests();
        }
        self.take_requests();
        self.start();
        moved |= self.poll_answers(cx);
        self.queue_answers();
        moved |= self.poll_write(cx)?;
        let written = self.out.is_empty() && self.tail.is_empty();
        if written && self.pipeline.is_closed() {
            return Ok(Turn::Answered);
        }
        let bare = self.pipeline.is_empty() && !self.reader.is_partial();
        if written && closes && bare {
            return Ok(Turn::End);
        }
        if moved {
            return Ok(Turn::On);
        }
        self.poll_time(cx)
    }

    /// Reads while there is room; also when nothing more is taken, to notice a
    /// caller that leaves.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        if !self.reader.has_ended() && !self.pipeline.has_room() {
            return Ok(false);
        }
        let mut bytes = [0; READ];
        match self.socket.poll_read(cx, &mut bytes) {
            Poll::Pending => Ok(false),
            Poll::Ready(Ok(0)) => Err(io::ErrorKind::UnexpectedEof.into()),
            Poll::Ready(Ok(length)) => {
                self.reader.push(&bytes[..length]);
                Ok(true)
            }
            Poll::Ready(Err(error)) => Err(error),
        }
    }

    fn take_requests(&mut self) {
        while self.pipeline.has_room() {
            if self.reader.is_partial() && self.clock.begun.is_none() {
                self.clock.begun = Some(Instant::now());
                self.limit();
            }
            match self.reader.step() {
                Step::More => break,
                Step::Body { length, expects } => self.admit(length, expects),
                Step::Whole(whole) => self.take(whole),
                Step::Fault(fault) => self.refuse(Refusal::Fault(fault)),
            }
        }
        if !self.pipeline.has_room() {
            // What isn't read on isn't late.
            self.clock.begun = self.clock.begun.map(|_| Instant::now());
        }
        if self.expects && self.pipeline.is_empty() && self.reader.is_partial() {
            self.expects = false;
            self.out.extend_from_slice(answer::GO_ON);
        }
    }

    /// Bounds the next request by the configuration that is in force.
    fn limit(&mut self) {
        self.limits = self.service.limits();
        self.reader.limit(reader::Limits {
            head: self.limits.head,
            body: self.limits.body,
        });
    }

    /// A body follows: takes memory for it, or nothing more.
    fn admit(&mut self, length: Option<u64>, expects: bool) {
        self.clock.read = Some(Instant::now());
        self.reservation = self.service.reserve_body(length);
        self.expects = expects;
        if self.reservation.is_none() {
            self.refuse(Refusal::NoRoom);
        }
    }

    fn take(&mut self, whole: Whole) {
        let now = Instant::now();
        let request = whole.request;
        let note = Note {
            head_only: request.method() == Method::HEAD,
            old: request.version() == Version::HTTP_10,
        };
        let arrival = Arrival {
            request,
            caller: self.caller.ip,
            connection: self.caller.number,
            begun: self.clock.begun.take().unwrap_or(now),
            read: self.clock.read.take().unwrap_or(now),
            ahead: 0,
            reservation: self.reservation.take(),
        };
        self.expects = false;
        self.pipeline.push(arrival, note, whole.bytes, whole.closes);
    }

    /// Ends what is read; the caller is told why, in its turn.
    fn refuse(&mut self, why: Refusal) {
        let answer = self.service.refuse(self.caller, why);
        self.reader.end();
        self.reservation = None;
        self.expects = false;
        self.clock.begun = None;
        self.clock.read = None;
        let note = Note {
            head_only: false,
            old: false,
        };
        self.pipeline.refuse(answer, note);
    }

    fn start(&mut self) {
        let service = &self.service;
        let is_idempotent = |a: &Arrival<S::Reservation>| service.is_idempotent(&a.request);
        while let Some(start) = self.pipeline.start(is_idempotent) {
            let mut arrival = start.request;
            arrival.ahead = start.ahead;
            let answer = service.answer(arrival);
            let place = start.place;
            self.running
                .push(Box::pin(async move { (place, answer.await) }));
        }
    }

    fn poll_answers(&mut self, cx: &mut Context<'_>) -> bool {
        let mut moved = false;
        while let Poll::Ready(Some((place, answer))) = Pin::new(&mut self.running).poll_next(cx) {
            let bytes = answer.body().len();
            self.pipeline.answered(place, answer, bytes);
            moved = true;
        }
        moved
    }

    /// Prepares answers whose turn has come, as far as a piece holds them.
    fn queue_answers(&mut self) {
        while self.tail.is_empty() && self.out.len() < PIECE {
            let Some(due) = self.pipeline.due() else {
                return;
            };
            let manner = Manner {
                closes: due.closes,
                head_only: due.note.head_only,
                old: due.note.old,
            };
            let body = date::with(|date| answer::encode(&mut self.out, due.answer, manner, date));
            if body.len() <= COPIED {
                self.out.extend_from_slice(&body);
            } else {
                self.tail = body;
            }
            if due.closes {
                self.reader.end();
            }
            self.clock.idle = Instant::now();
        }
    }

    fn poll_write(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        let mut moved = false;
        while self.out.has_remaining() || self.tail.has_remaining() {
            let bytes: &[u8] = if self.out.has_remaining() {
                &self.out
            } else {
                &self.tail
            };
            match self.socket.poll_write(cx, bytes) {
                Poll::Pending => {
                    self.clock.writing.get_or_insert_with(Instant::now);
                    return Ok(moved);
                }
                Poll::Ready(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                Poll::Ready(Ok(length)) if self.out.has_remaining() => self.out.advance(length),
                Poll::Ready(Ok(length)) => self.tail.advance(length),
                Poll::Ready(Err(error)) => return Err(error),
            }
            self.clock.writing = None;
            moved = true;
        }
        Ok(moved)
    }

    /// Ends what has taken too long; else sees to being woken when it has.
    fn poll_time(&mut self, cx: &mut Context<'_>) -> io::Result<Turn> {
        loop {
            let Some(due) = self.due() else {
                self.clock.set = None;
                self.clock.timer = None;
                return Ok(Turn::Wait);
            };
            // A timer that is early is looked at when it ends; setting it anew
            // with each request would cost more.
            if self.clock.set.is_none_or(|set| set > due) {
                self.clock.set = Some(due);
                self.clock.timer = Some(smol::Timer::at(due));
            }
            let timer = self.clock.timer.as_mut().map(Pin::new);
            if timer.is_none_or(|timer| timer.poll(cx).is_pending()) {
                return Ok(Turn::Wait);
            }
            self.clock.set = None;
            if Instant::now() < due {
                continue;
            }
            return self.expire();
        }
    }

    /// When something will have taken too long.
    fn due(&self) -> Option<Instant> {
        let Limits { whole, idle, .. } = self.limits;
        // A time beyond what the clock can say is never over.
        let written = self.clock.writing.and_then(|s| s.checked_add(whole));
        let arrived = self.arriving().and_then(|s| s.checked_add(whole));
        let bare = self.pipeline.is_empty() && !self.reader.is_partial();
        let used = self.clock.idle.checked_add(idle).filter(|_| bare);
        [written, arrived, used].into_iter().flatten().min()
    }

    /// Since when a request arrives that is read on.
    fn arriving(&self) -> Option<Instant> {
        self.clock.begun.filter(|_| self.pipeline.has_room())
    }

    fn expire(&mut self) -> io::Result<Turn> {
        let now = Instant::now();
        let whole = self.limits.whole;
        let over = |since: Instant| now.saturating_duration_since(since) >= whole;
        if self.clock.writing.is_some_and(over) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if self.arriving().is_some_and(over) {
            self.refuse(Refusal::Slow);
            return Ok(Turn::On);
        }
        Ok(Turn::End)
    }

    /// Lets the last answer arrive before the socket is closed.
    async fn linger(mut self) {
        self.socket.close();
        let emptied = async {
            let mut bytes = [0; READ];
            let mut read = |cx: &mut Context<'_>| self.socket.poll_read(cx, &mut bytes);
            while matches!(future::poll_fn(&mut read).await, Ok(1..)) {}
        };
        let late = async {
            smol::Timer::after(LINGER).await;
        };
        future::or(emptied, late).await;
    }
}
