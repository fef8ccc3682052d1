//! A caller's HTTP/1.1 connection: reads pipelined requests, runs them concurrently
//! and writes their answers in order.
//!
//! Crate `http1` decides which request may start, which answer is due and when
//! reading stops. This module does the I/O, polls the requests' futures and enforces
//! timeouts.
//!
//! Invariants: a request that does not arrive within the request timeout is answered
//! with an error, a connection whose output stays blocked for that long or that is
//! idle for too long is closed, memory charged for an answer is held until it is
//! written, and when the caller disconnects, the futures of all its requests are
//! dropped.

mod timeouts;

use core::pin::Pin;
use core::task::{Context, Poll};
use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{Stream, future};
use futures_util::FutureExt;
use futures_util::stream::FuturesUnordered;
use http1::answer::{self, Options};
use http1::pipeline::{self, Pipeline, Slot};
use http1::reader::{self, CompleteRequest, Reader, Step};
use hyper::{Method, Version};
use smol::net;

use super::date;
use super::events;
use super::memory;
use super::server::{Limits, ReadError, Response, Service};
use super::socket::Socket;
use timeouts::Timeouts;

/// Unanswered requests read from one connection, each of which may be running at a
/// target. Usual callers pipeline a few; one that sends more is read on as its answers
/// are written.
const PIPELINED_REQUESTS_MAX: usize = 16;

/// Bytes of answers that wait behind an earlier one, from which on no further request
/// of the connection starts. Enough for a few dozen usual answers of some kilobytes.
const QUEUED_ANSWER_BYTES_MAX: usize = 256 * 1024;

/// Size of the read buffer: a few request heads.
const READ_BUFFER_BYTES: usize = 4096;

/// Reads before requests are started. Enough to read all that a usual caller sends at
/// once.
const READS_PER_STEP: usize = 8;

/// Steps in one poll of a connection, so that a caller that sends without pause can't
/// starve the other connections of the thread.
const STEPS_PER_POLL: usize = 32;

/// Longest answer body that is copied into the output buffer, so that head and body
/// are written in one call.
const COPIED_BODY_BYTES_MAX: usize = 16 * 1024;

/// Fill of the output buffer from which on no further answer is added.
const OUTPUT_BUFFER_BYTES: usize = 64 * 1024;

/// Largest output buffer that a connection keeps while it has nothing to write.
const OUTPUT_KEPT_BYTES_MAX: usize = 16 * 1024;

/// Time to go on reading after an answer that closes the connection. Closing a socket
/// with unread input resets the connection, and the answer may be lost. A few round
/// trips between the farthest regions are enough for the answer to arrive.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that has arrived completely.
pub struct IncomingRequest<M> {
    /// The request.
    pub request: hyper::Request<Bytes>,
    /// Address of its caller.
    pub caller: IpAddr,
    /// Number of its connection in this process.
    pub connection_id: u64,
    /// When its first byte was read; if reading was paused since, the end of the pause.
    pub first_byte: Instant,
    /// When its head was complete.
    pub head_read: Instant,
    /// Earlier requests on its connection that were unanswered when it started.
    pub ahead: usize,
    /// Memory reserved for its body.
    pub reservation: Option<M>,
}

/// Properties of a request that determine the form of its answer.
#[derive(Clone, Copy)]
struct AnswerContext {
    /// Its method is HEAD.
    is_head: bool,
    /// Its version is HTTP/1.0.
    is_http10: bool,
}

/// Peer of a connection.
#[derive(Clone, Copy)]
pub struct Caller {
    /// Address.
    pub ip: IpAddr,
    /// Number of the connection in this process.
    pub connection_id: u64,
}

type RunningRequest = Pin<Box<dyn Future<Output = (Slot, Response)> + Send>>;

/// A caller's connection and its requests.
pub struct Connection<S: Service> {
    service: S,
    limits: Limits,
    socket: Socket,
    caller: Caller,
    reader: Reader,
    pipeline: Pipeline<IncomingRequest<S::Reservation>, Response, AnswerContext>,
    running: FuturesUnordered<RunningRequest>,
    out: BytesMut,
    /// Unwritten rest of a body too long for the output buffer; follows `out`.
    body_tail: Bytes,
    /// Memory charged for the bodies in `out` and `body_tail`.
    unwritten: Vec<Arc<memory::AnswerCharge>>,
    /// Held while the caller takes nothing of them.
    stall: Option<memory::Stall>,
    timeouts: Timeouts,
    /// Memory reserved for the body that is arriving.
    reservation: Option<S::Reservation>,
    /// The caller waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

/// State of the connection after a step.
enum StepResult {
    /// Progress was made; step again.
    Again,
    /// Waiting; the task's waker is registered.
    Pending,
    /// The answer that closes the connection is written.
    Finished,
    /// The connection ends without another answer.
    Closed,
}

impl<S: Service> Connection<S> {
    /// Takes over an accepted stream.
    pub fn new(service: S, stream: net::TcpStream, caller: Caller) -> Self {
        let limits = service.limits();
        let bounds = pipeline::Bounds {
            requests_max: PIPELINED_REQUESTS_MAX,
            waiting_bytes_max: limits.head.saturating_add(limits.body),
            answer_bytes_max: QUEUED_ANSWER_BYTES_MAX,
        };
        let reader = Reader::new(reader::Limits {
            head_bytes_max: limits.head,
            body_bytes_max: limits.body,
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
            body_tail: Bytes::new(),
            unwritten: Vec::new(),
            stall: None,
            timeouts: Timeouts {
                timer: None,
                timer_at: None,
                arriving_since: None,
                head_read: None,
                write_blocked: None,
                idle_since: Instant::now(),
            },
            reservation: None,
            expects_continue: false,
        }
    }

    /// Serves requests until the connection ends. Once `closing` is ready, it ends when
    /// the requests that have started or are arriving are answered.
    pub async fn serve(mut self, closing: impl Future<Output = ()>) {
        let mut closing = core::pin::pin!(closing);
        let mut is_closing = false;
        let answered = future::poll_fn(|cx| {
            if !is_closing && closing.as_mut().poll(cx).is_ready() {
                is_closing = true;
            }
            self.poll(cx, is_closing)
        });
        if answered.await {
            self.linger().await;
        }
    }

    /// Drives the connection to its end. Returns whether it was closed by an answer,
    /// which may still have to reach the caller.
    fn poll(&mut self, cx: &mut Context<'_>, is_closing: bool) -> Poll<bool> {
        for _ in 0..STEPS_PER_POLL {
            // An I/O error means that the caller is gone or takes no output.
            match self.poll_step(cx, is_closing).unwrap_or(StepResult::Closed) {
                StepResult::Again => {}
                StepResult::Pending => return Poll::Pending,
                StepResult::Finished => return Poll::Ready(true),
                StepResult::Closed => return Poll::Ready(false),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Reads, starts requests, collects answers and writes, each as far as possible
    /// without waiting.
    fn poll_step(&mut self, cx: &mut Context<'_>, is_closing: bool) -> io::Result<StepResult> {
        if is_closing || self.service.is_leaving() {
            self.pipeline.stop();
        }
        let mut progressed = false;
        // Reads all available input, including the caller's end of stream, before any
        // request starts. When the process is overloaded, a request and the disconnect
        // of its caller are read together, and the request would run for nobody.
        for _ in 0..READS_PER_STEP {
            if !self.poll_read(cx)? {
                break;
            }
            progressed = true;
            self.take_requests();
        }
        self.take_requests();
        self.start_requests();
        progressed |= self.poll_answers(cx);
        self.queue_answers();
        progressed |= self.poll_write(cx)?;
        let is_flushed = self.is_flushed();
        if is_flushed && self.pipeline.is_closed() {
            return Ok(StepResult::Finished);
        }
        let is_empty = self.pipeline.is_empty() && !self.reader.is_partial();
        if is_flushed && is_closing && is_empty {
            return Ok(StepResult::Closed);
        }
        if progressed {
            return Ok(StepResult::Again);
        }
        self.poll_timeouts(cx)
    }

    /// Reads once while the pipeline has room. Goes on after the last request, to
    /// notice a disconnect. Returns whether bytes were read.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        if !self.reader.has_ended() && !self.pipeline.has_room() {
            return Ok(false);
        }
        let mut bytes = [0; READ_BUFFER_BYTES];
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

    /// Parses the input as far as the pipeline has room.
    fn take_requests(&mut self) {
        while self.pipeline.has_room() {
            if self.reader.is_partial() && self.timeouts.arriving_since.is_none() {
                self.timeouts.arriving_since = Some(Instant::now());
                self.refresh_limits();
            }
            match self.reader.step() {
                Step::NeedMore => break,
                Step::Body {
                    length,
                    expects_continue,
                } => self.start_body(length, expects_continue),
                Step::Request(complete) => self.enqueue(complete),
                Step::Fault(fault) => self.fail_read(ReadError::Fault(fault)),
            }
        }
        let is_next = self.pipeline.is_empty() && self.is_flushed();
        if self.expects_continue && self.reader.is_partial() && is_next {
            self.expects_continue = false;
            self.out.extend_from_slice(answer::CONTINUE);
        }
        if self.is_paused() {
            // The request timeout doesn't run.
            self.timeouts.arriving_since = self.timeouts.arriving_since.map(|_| Instant::now());
        }
    }

    /// Whether the caller can't be expected to send: nothing is read, or it waits for
    /// `100 Continue`, which follows all earlier answers.
    fn is_paused(&self) -> bool {
        !self.pipeline.has_room() || self.expects_continue
    }

    /// Applies the current limits to the next request.
    fn refresh_limits(&mut self) {
        self.limits = self.service.limits();
        self.reader.set_limits(reader::Limits {
            head_bytes_max: self.limits.head,
            body_bytes_max: self.limits.body,
        });
    }

    /// Reserves memory for the body that follows; without it, nothing more is read.
    fn start_body(&mut self, length: Option<u64>, expects_continue: bool) {
        self.timeouts.head_read = Some(Instant::now());
        self.reservation = self.service.reserve_body(length);
        self.expects_continue = expects_continue;
        if self.reservation.is_none() {
            self.fail_read(ReadError::NoMemory);
        }
    }

    /// Adds a complete request to the pipeline.
    fn enqueue(&mut self, complete: CompleteRequest) {
        let now = Instant::now();
        let request = complete.request;
        let context = AnswerContext {
            is_head: request.method() == Method::HEAD,
            is_http10: request.version() == Version::HTTP_10,
        };
        let incoming = IncomingRequest {
            request,
            caller: self.caller.ip,
            connection_id: self.caller.connection_id,
            first_byte: self.timeouts.arriving_since.take().unwrap_or(now),
            head_read: self.timeouts.head_read.take().unwrap_or(now),
            ahead: 0,
            reservation: self.reservation.take(),
        };
        self.expects_continue = false;
        self.pipeline
            .push(incoming, context, complete.bytes, complete.is_closing);
    }

    /// Stops reading for good, and queues the error's answer behind the others.
    fn fail_read(&mut self, error: ReadError) {
        let answer = self.service.error_response(self.caller, error);
        self.reader.end();
        self.reservation = None;
        self.expects_continue = false;
        self.timeouts.arriving_since = None;
        self.timeouts.head_read = None;
        let context = AnswerContext {
            is_head: false,
            is_http10: false,
        };
        self.pipeline.reject(answer, context);
    }

    /// Starts each request whose turn has come.
    fn start_requests(&mut self) {
        let service = &self.service;
        let is_idempotent = |a: &IncomingRequest<S::Reservation>| service.is_idempotent(&a.request);
        while let Some(start) = self.pipeline.start_next(is_idempotent) {
            let mut incoming = start.request;
            incoming.ahead = start.ahead;
            let slot = start.slot;
            // An async block would hold the future twice, before and while it runs.
            let answer = service.answer(incoming).map(move |answer| (slot, answer));
            self.running.push(Box::pin(answer));
        }
    }

    /// Collects answers that are ready; returns whether there were any.
    fn poll_answers(&mut self, cx: &mut Context<'_>) -> bool {
        let mut progressed = false;
        while let Poll::Ready(Some((slot, answer))) = Pin::new(&mut self.running).poll_next(cx) {
            let bytes = answer.body().len();
            self.pipeline.record_answer(slot, answer, bytes);
            progressed = true;
        }
        progressed
    }

    /// Encodes the answers whose turn has come, until the output buffer is filled.
    fn queue_answers(&mut self) {
        while self.body_tail.is_empty() && self.out.len() < OUTPUT_BUFFER_BYTES {
            let Some(due) = self.pipeline.next_answer() else {
                return;
            };
            let options = Options {
                is_closing: due.is_closing,
                is_head_only: due.context.is_head,
                is_http10: due.context.is_http10,
            };
            let mut answer = due.answer;
            self.unwritten.extend(answer.extensions_mut().remove());
            let body = date::with(|date| answer::encode(&mut self.out, answer, options, date));
            if body.len() <= COPIED_BODY_BYTES_MAX {
                self.out.extend_from_slice(&body);
            } else {
                self.body_tail = body;
            }
            if due.is_closing {
                self.reader.end();
            }
        }
    }

    /// Whether all queued output is written.
    fn is_flushed(&self) -> bool {
        self.out.is_empty() && self.body_tail.is_empty()
    }

    /// Writes queued output until the socket blocks; returns whether bytes were written.
    fn poll_write(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        let mut progressed = false;
        while self.out.has_remaining() || self.body_tail.has_remaining() {
            let bytes: &[u8] = if self.out.has_remaining() {
                &self.out
            } else {
                &self.body_tail
            };
            match self.socket.poll_write(cx, bytes) {
                Poll::Pending => {
                    self.timeouts.write_blocked.get_or_insert_with(Instant::now);
                    self.poll_stall(cx)?;
                    return Ok(progressed);
                }
                Poll::Ready(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                Poll::Ready(Ok(length)) if self.out.has_remaining() => self.out.advance(length),
                Poll::Ready(Ok(length)) => self.body_tail.advance(length),
                Poll::Ready(Err(error)) => return Err(error),
            }
            self.timeouts.write_blocked = None;
            self.stall = None;
            progressed = true;
        }
        if progressed {
            self.timeouts.idle_since = Instant::now();
        }
        self.unwritten.clear();
        // An empty rest keeps the whole body.
        self.body_tail = Bytes::new();
        if self.out.capacity() > OUTPUT_KEPT_BYTES_MAX {
            self.out = BytesMut::new();
        }
        Ok(progressed)
    }

    /// Fails if the caller has taken nothing for so long that memory is taken from it.
    fn poll_stall(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let shared = self.service.shared();
        let unwritten = &self.unwritten;
        let stall = self.stall.get_or_insert_with(|| {
            let bytes = unwritten.iter().map(|charge| charge.bytes()).sum();
            shared.memory.stall(bytes)
        });
        if !stall.is_evicted(cx.waker()) {
            return Ok(());
        }
        events::caller_evicted(shared, self.caller, stall);
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Shuts down the write side and discards input until the caller closes, for
    /// [`LINGER_TIMEOUT`] at most, so that the last answer arrives.
    async fn linger(mut self) {
        self.socket.shutdown_write();
        let drained = async {
            let mut bytes = [0; READ_BUFFER_BYTES];
            let mut read = |cx: &mut Context<'_>| self.socket.poll_read(cx, &mut bytes);
            while matches!(future::poll_fn(&mut read).await, Ok(1..)) {}
        };
        let timeout = async {
            smol::Timer::after(LINGER_TIMEOUT).await;
        };
        future::or(drained, timeout).await;
    }
}
