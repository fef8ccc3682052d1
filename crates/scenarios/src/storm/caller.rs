//! A caller that behaves as the callers' page says.
//!
//! Invariant: every request has a body of its own and, if it must not repeat, a
//! key of its own; one without a key has a new body at each try. So a second
//! run, an untrue refusal and a mixed-up answer can't go unseen.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use fastrand::Rng;
use serde::Deserialize;
use standin::target::Echo;
use trillium_client::Method;
use wire::headers;

use super::board::{Board, PATIENCE, Try, Verdict};
use super::setup::{PAYOUT, STOCK};
use crate::error::Error;
use crate::http::{Answer, Call};

/// Times that a request is sent in all, under whatever key.
const TRIES: usize = 6;

/// Longest that a refused caller stays away.
const AWAY_MAX: Duration = Duration::from_millis(400);

/// Longest wait for a look-up or a key.
const ASK: Duration = Duration::from_millis(700);

#[derive(Deserialize)]
struct Issued {
    prefix: String,
}

#[derive(Deserialize)]
struct Found {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    addr: SocketAddr,
}

/// One caller.
pub(super) struct Caller<'a> {
    /// What all share.
    pub(super) board: &'a Board,
    /// Its name, part of each body.
    pub(super) name: String,
    /// Draws what it does.
    pub(super) rng: Rng,
}

impl Caller<'_> {
    /// Sends until the storm is over.
    pub(super) fn run(&mut self) {
        for number in 0.. {
            if self.board.is_over() {
                return;
            }
            let body = format!("{}-{number:05}", self.name);
            if self.rng.u8(..10) < 7 {
                self.keyed(&body);
            } else {
                self.repeatable(&body);
            }
            thread::sleep(Duration::from_millis(self.rng.u64(..10)));
        }
    }

    /// Where to send, in order: what a look-up says, else whoever is known.
    fn choices(&mut self, service: &str) -> Vec<SocketAddr> {
        let entries = self.board.entries();
        let mut known: Vec<SocketAddr> = entries.iter().map(|e| e.listens.callers).collect();
        self.rng.shuffle(&mut known);
        let path = format!("/lookup?service={service}&client={}", self.client());
        let ask = |&addr: &SocketAddr| {
            let call = Call::new(Method::Get, addr, &path, "");
            let answer = call.make_within(ASK).ok()?;
            serde_json::from_str::<Found>(&answer.body).ok()
        };
        let found = known.iter().find_map(ask);
        let mut all: Vec<SocketAddr> =
            found.map_or_else(Vec::new, |f| f.choices.iter().map(|c| c.addr).collect());
        all.extend(known);
        all
    }

    /// Its own address, or now and then that of somebody in the other region:
    /// it is then sent there, against the cap of the shift from its own region.
    fn client(&mut self) -> &'static str {
        match self.rng.u8(..8) {
            0 => "127.200.0.1",
            _ => "127.0.0.1",
        }
    }

    /// A new key, and the instance that issued it.
    fn key(&mut self, choices: &[SocketAddr]) -> Option<(SocketAddr, String)> {
        let ask = |&addr: &SocketAddr| {
            let call = Call::new(Method::Get, addr, "/key", "");
            let answer = call.make_within(ASK).ok()?;
            let issued = serde_json::from_str::<Issued>(&answer.body).ok()?;
            Some((addr, issued.prefix))
        };
        let (addr, prefix) = choices.iter().find_map(ask)?;
        let nonce = self.rng.u128(..);
        Some((addr, format!("{prefix}{nonce:032x}")))
    }

    /// A request that must not repeat: the same key after doubt, a new one only
    /// after "not run".
    pub(super) fn keyed(&mut self, body: &str) {
        let choices = self.choices(PAYOUT);
        let mut under: Option<(SocketAddr, String)> = None;
        for round in 0..TRIES {
            let fresh = under.is_none();
            let Some((owner, key)) = under.take().or_else(|| self.key(&choices)) else {
                return;
            };
            let at = if fresh {
                owner
            } else {
                choices[round % choices.len()]
            };
            let (verdict, after) = self.send(PAYOUT, Some(key.clone()), body, at);
            match verdict {
                // Now and then a caller forgets the answer and asks again.
                Verdict::Ran { .. } if self.rng.u8(..4) > 0 => return,
                Verdict::NotRun(_) => {}
                Verdict::Unknown(reason) if is_final(&reason) => return,
                _ => under = Some((owner, key)),
            }
            self.stay_away(after);
        }
    }

    /// A request that may repeat.
    pub(super) fn repeatable(&mut self, body: &str) {
        let choices = self.choices(STOCK);
        for round in 0..TRIES {
            let body = format!("{body}-{round}");
            let at = choices[round % choices.len()];
            let (verdict, after) = self.send(STOCK, None, &body, at);
            match verdict {
                Verdict::Ran { .. } => return,
                Verdict::Unknown(reason) if is_final(&reason) => return,
                _ => self.stay_away(after),
            }
        }
    }

    /// Sends what crashes targets, again and again under one body.
    pub(super) fn poison(&mut self, body: &str) {
        let choices = self.choices(STOCK);
        for round in 0..TRIES {
            let at = choices[round % choices.len()];
            let (_, after) = self.send(STOCK, None, body, at);
            self.stay_away(after);
        }
    }

    fn stay_away(&mut self, after: Option<Duration>) {
        let least = Duration::from_millis(self.rng.u64(10..80));
        thread::sleep(after.unwrap_or_default().max(least).min(AWAY_MAX));
    }

    fn send(
        &mut self,
        service: &'static str,
        key: Option<String>,
        body: &str,
        at: SocketAddr,
    ) -> (Verdict, Option<Duration>) {
        let path = format!("/s/{service}/work");
        let mut call = Call::new(Method::Post, at, &path, body);
        call.headers.push((headers::CALLER_NAME, self.name.clone()));
        let line = key.clone().map(|k| (headers::IDEMPOTENCY_KEY, k));
        call.headers.extend(line);
        let began = self.board.now();
        let answer = call.make_within(PATIENCE);
        let after = answer.as_ref().ok().and_then(come_back);
        let verdict = judge(answer);
        self.board.tried(Try {
            service,
            key,
            body: body.to_owned(),
            at,
            began,
            ended: self.board.now(),
            verdict: verdict.clone(),
        });
        (verdict, after)
    }
}

/// Whether asking again under the key can't help.
fn is_final(reason: &str) -> bool {
    ["poison", "key-expired", "forgotten"].contains(&reason)
}

/// When a refused caller is told to come back.
fn come_back(answer: &Answer) -> Option<Duration> {
    let ms = answer.header(headers::RETRY_AFTER_MS)?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

fn judge(answer: Result<Answer, Error>) -> Verdict {
    let answer = match answer {
        Ok(answer) => answer,
        Err(Error::Late(_)) => return Verdict::Late,
        Err(error) => return Verdict::Broken(error.to_string()),
    };
    let reason = answer.header(headers::REASON).unwrap_or("none").to_owned();
    match answer.header(headers::OUTCOME) {
        Some("ran") => match serde_json::from_str::<Echo>(&answer.body) {
            Ok(echo) => Verdict::Ran {
                body: echo.body,
                attempt: echo.attempt,
            },
            // The target's own word that its deadline came first.
            Err(_) if answer.status == 504 => Verdict::Unknown("target-stopped".to_owned()),
            Err(_) => Verdict::Ran {
                body: format!("not an echo: {}", answer.body),
                attempt: None,
            },
        },
        Some("not-run") => Verdict::NotRun(reason),
        _ => Verdict::Unknown(reason),
    }
}
